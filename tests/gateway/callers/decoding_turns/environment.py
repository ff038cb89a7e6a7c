"""Hooks of the tests of this folder."""

from support.environment import after_logged_scenario as after_scenario
from support.environment import before_logged_scenario as before_scenario

__all__ = ["after_scenario", "before_scenario"]
