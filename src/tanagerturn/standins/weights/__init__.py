"""Stand-in of a weight store with a rate limit."""
