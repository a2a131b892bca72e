"""Console scripts, and the hosts that an embedding program can run."""
