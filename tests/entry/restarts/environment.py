"""Hooks of the tests of the entry program's restarts."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
