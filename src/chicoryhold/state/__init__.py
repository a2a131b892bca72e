"""The control state, the changes that modify it, and the table."""
