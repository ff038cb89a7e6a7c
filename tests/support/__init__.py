"""Helpers shared by the test folders."""
