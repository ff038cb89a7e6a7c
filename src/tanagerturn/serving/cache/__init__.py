"""What prefix caches of engines hold, from late events with gaps."""
