"""Coordination: replicated log, leases, membership, settings history and shares."""
