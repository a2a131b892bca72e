"""Open-loop load on an installation."""
