"""Helpers used by several test folders."""
