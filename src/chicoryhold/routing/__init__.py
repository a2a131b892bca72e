"""Which target a request may go to, and which it should."""
