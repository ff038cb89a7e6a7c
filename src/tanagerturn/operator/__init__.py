"""The operators' command tanager."""
