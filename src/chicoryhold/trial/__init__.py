"""Stand-ins and small fleets on loopback, for the demo, the tests and trials."""
