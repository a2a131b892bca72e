"""One module for each console script."""
