"""Traffic steering across failure domains."""
