"""The control replica process: storage, replication and distribution."""
