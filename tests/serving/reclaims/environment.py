"""Behave hooks for the reclaims tests."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
