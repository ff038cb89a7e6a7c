"""Behave hooks of the tests of replays and expected outcomes."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
