"""What becomes of running requests when hosts are reclaimed."""
