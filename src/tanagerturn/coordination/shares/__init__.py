"""Limits of client accounts that hold across all entry hosts.

A fixed part of each limit is divided equally: the safe shares, one per host. The
rest is a pool whose shares follow demand and are leased by one allocator, so an
isolated host falls back to its safe share when its grant expires.
"""
