"""Hooks of the tests of capacity."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
