"""Keeps requests that crash the targets that run them from being sent again."""
