"""Open-loop load generator."""
