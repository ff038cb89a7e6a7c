"""Requests of callers: what they are told, and when."""
