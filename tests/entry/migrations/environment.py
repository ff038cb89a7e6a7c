"""Hooks of the tests of migrations off leaving engines."""

from support.environment import after_scenario, before_scenario

__all__ = ["after_scenario", "before_scenario"]
