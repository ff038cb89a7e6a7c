"""Coordination parts: replicated log, leases, membership, settings history."""
