"""Steers request traffic across failure domains."""
