"""Stand-in of a model engine: a pure model and an HTTP server around it."""
