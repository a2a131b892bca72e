"""Measures how state, messages, CPU time and memory grow with size."""
