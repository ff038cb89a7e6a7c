"""Behave hooks of the tests of `tanager explain`."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
