"""The HTTP side that callers talk to."""
