"""Hooks of the tests of reclaim notices."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
