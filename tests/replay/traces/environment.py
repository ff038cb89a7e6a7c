"""Behave hooks of the trace format tests."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
