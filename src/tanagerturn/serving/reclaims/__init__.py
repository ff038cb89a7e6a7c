"""Handling of running requests and notices when hosts are reclaimed."""
