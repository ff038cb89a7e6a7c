"""Hooks of the tests of outcomes."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
