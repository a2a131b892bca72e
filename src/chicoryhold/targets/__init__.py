"""HTTP client side: connections to targets, exchanges and their cancellation."""
