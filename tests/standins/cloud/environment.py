"""Hooks of the tests of the stand-in cloud and weight store."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
