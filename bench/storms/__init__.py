"""A soak run that changes the configuration in storms while hosts can't keep up."""
