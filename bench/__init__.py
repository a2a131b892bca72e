"""Measurements of the decision classes and of the processes' parts."""
