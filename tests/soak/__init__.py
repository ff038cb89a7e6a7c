"""Randomized soak: real gateway processes under faults from outside."""
