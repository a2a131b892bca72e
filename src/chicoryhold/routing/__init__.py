"""Routes of requests and the choice of a target for each request."""
