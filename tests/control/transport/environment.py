"""Hooks of the tests of calls to backend servers."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
