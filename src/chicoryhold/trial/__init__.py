"""Simulated callers and targets, and local fleets, for the demo and the tests."""
