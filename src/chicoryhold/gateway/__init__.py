"""The path of one request on an entry host that steers by the configuration."""
