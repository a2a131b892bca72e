"""Handling of one request on an entry host, according to the configuration."""
