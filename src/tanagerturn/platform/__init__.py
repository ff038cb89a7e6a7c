"""Adapter of the users' platform: it translates, and decides nothing.

Nothing outside this folder knows a name of the platform.
"""
