"""Service-level burn from recorded metrics."""
