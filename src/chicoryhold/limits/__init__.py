"""Rates and bursts of organisations, divided over failure domains."""
