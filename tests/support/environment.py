"""Hooks that each test folder's environment.py takes over."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

from hypothesis import HealthCheck, settings
from loguru import logger

if TYPE_CHECKING:
    from behave.model import Scenario
    from behave.runner import Context

KNOWN_RED = Path(__file__).parents[2] / "KNOWN-RED.txt"

settings.register_profile(
    "check",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("check")
# The schedules lose thousands of messages; a failing step says what is wrong.
logger.remove()


def long_run() -> bool:
    """Tell whether the nightly sizes were asked for."""
    return os.environ.get("LONG") == "1"


def known_red() -> set[str]:
    """Read the scenario names that stand in KNOWN-RED.txt after `scenario: `."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    start = "scenario: "
    return {line[len(start) :] for line in lines if line.startswith(start)}


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Pass over the scenarios that are known to fail."""
    context.closers = []
    if scenario.name in known_red():
        scenario.skip("known red")


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Close what the scenario opened, last first."""
    for close in reversed(context.closers):
        close()
