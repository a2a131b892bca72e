"""A seeded run of real processes that are stopped, reloaded and reconfigured."""
