"""Stand-in model engine: a simulation without I/O, and an HTTP server for it."""
