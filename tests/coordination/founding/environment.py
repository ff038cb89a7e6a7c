"""Hooks of the tests of coordination."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
