"""Behave hooks of the tests with untrusted input."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
