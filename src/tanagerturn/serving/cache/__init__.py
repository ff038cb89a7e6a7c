"""Index of the prefix caches of engines, built from late events with gaps."""
