"""Error budget burn rates, computed from recorded metrics."""
