"""Randomized soak test: real gateway processes under injected faults."""
