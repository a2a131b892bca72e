"""The replicated log: leader election, replication, membership."""
