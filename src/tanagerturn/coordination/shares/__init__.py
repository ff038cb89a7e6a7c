"""Limits of client accounts that hold over all entry hosts.

A part of each limit is divided for good: the safe shares, one for each host.
The rest is a pool whose shares follow demand and are leased by one allocator,
so that a host that is cut off falls back to its safe share in time.
"""
