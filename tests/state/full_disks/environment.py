"""Behave hooks of the state member's tests."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
