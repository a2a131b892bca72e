"""Compares the coordinators' decisions with simpler algorithms."""
