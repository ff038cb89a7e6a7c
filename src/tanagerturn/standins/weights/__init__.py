"""Stand-in weight store with a rate limit."""
