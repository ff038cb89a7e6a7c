"""Limits of client accounts that hold across all entry hosts.

`SAFE_FRACTION` of each limit is divided equally into safe shares, one per host. The
remainder is the account's pool: one allocator grants shares of it by demand and for a
limited time, so an isolated host has only its safe share once its grant expires.
"""
