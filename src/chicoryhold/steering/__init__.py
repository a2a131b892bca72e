"""Selection of entry hosts and targets, slot admission and fair queueing."""
