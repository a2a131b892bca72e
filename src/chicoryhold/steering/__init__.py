"""Choice of entry host and target, slots and fair queueing."""
