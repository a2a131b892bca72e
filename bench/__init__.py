"""Benchmarks of the admission decisions, of components and of running processes."""
