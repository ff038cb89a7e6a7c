"""Hooks of the tests of holding hosts."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
