"""Rates and bursts of organisations, divided between the failure domains."""
