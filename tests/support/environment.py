"""Hooks that the environment.py of each test folder imports."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

from hypothesis import HealthCheck, settings
from loguru import logger

if TYPE_CHECKING:
    from behave.model import Scenario
    from behave.runner import Context

KNOWN_FAILURES_PATH = Path(__file__).parents[2] / "KNOWN-RED.txt"

settings.register_profile(
    "check",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("check")
# The seeded schedules drop thousands of messages, each of which would be logged; a
# failing step reports its cause in its assertion.
logger.remove()


def long_run() -> bool:
    """Return whether LONG=1 requests the nightly sizes of randomized tests."""
    return os.environ.get("LONG") == "1"


def known_failures() -> set[str]:
    """Return the scenario names that KNOWN-RED.txt lists after `scenario: `."""
    if not KNOWN_FAILURES_PATH.exists():
        return set()
    lines = KNOWN_FAILURES_PATH.read_text(encoding="utf-8").splitlines()
    prefix = "scenario: "
    return {line[len(prefix) :] for line in lines if line.startswith(prefix)}


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Skip the scenarios that are known to fail."""
    context.closers = []
    if scenario.name in known_failures():
        scenario.skip("listed in KNOWN-RED.txt")


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Call the closers of the scenario in reverse order of registration."""
    for close in reversed(context.closers):
        close()
