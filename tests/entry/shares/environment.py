"""Hooks of the tests of limit shares at entry hosts."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
