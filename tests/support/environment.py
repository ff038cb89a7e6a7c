"""Hooks that the environment.py of each test folder imports."""

from __future__ import annotations

import os
import re
import shutil
from collections import deque
from pathlib import Path
from typing import TYPE_CHECKING

import orjson
from behave.model import Status
from hypothesis import HealthCheck, settings
from loguru import logger

if TYPE_CHECKING:
    from behave.model import Scenario
    from behave.runner import Context
    from loguru import Message

ROOT = Path(__file__).parents[2]
KNOWN_FAILURES_PATH = ROOT / "KNOWN-RED.txt"

FAILURES_FOLDER = ROOT / "target" / "failed-scenarios"
"""Folder that keeps the logs of failed scenarios."""

MAX_LOG_LINES = 20_000
"""Number of the latest log lines of a scenario that are kept."""

settings.register_profile(
    "check",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("check")
# The seeded schedules drop thousands of messages, each of which would be logged. Only
# folders whose scenarios run in real time keep their logs, see `keep_logs`.
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
    context.log_paths = []
    if scenario.name in known_failures():
        scenario.skip("listed in KNOWN-RED.txt")


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Keep the logs of a failed scenario, and close what it opened."""
    if scenario.status in (Status.failed, Status.error):
        keep_files(scenario.name, context.log_paths)
    for close in reversed(context.closers):
        close()


def before_logged_scenario(context: Context, scenario: Scenario) -> None:
    """Also collect the log lines of the components in this process."""
    before_scenario(context, scenario)
    lines: deque[bytes] = deque(maxlen=MAX_LOG_LINES)
    context.log_lines = lines

    def collect(message: Message) -> None:
        record = message.record
        line = {
            "at": round(record["time"].timestamp(), 4),
            "level": record["level"].name,
            "event": record["message"],
            **record["extra"],
        }
        lines.append(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    sink = logger.add(collect, format="{message}", level="INFO")
    context.closers.append(lambda: logger.remove(sink))


def after_logged_scenario(context: Context, scenario: Scenario) -> None:
    """Also keep the collected log lines of a failed scenario."""
    if scenario.status in (Status.failed, Status.error):
        folder = failure_folder(scenario.name)
        (folder / "process.log").write_bytes(b"".join(context.log_lines))
    after_scenario(context, scenario)


def keep_files(scenario: str, paths: list[Path]) -> None:
    """Copy the log files of a failed scenario's processes."""
    existing = [path for path in paths if path.exists()]
    if not existing:
        return
    folder = failure_folder(scenario)
    for path in existing:
        shutil.copy(path, folder / path.name)


def failure_folder(scenario: str) -> Path:
    """Return the folder that keeps the logs of a failed scenario; created if needed."""
    name = re.sub(r"[^A-Za-z0-9]+", "-", scenario).strip("-")
    folder = FAILURES_FOLDER / f"{name}-{os.getpid()}"
    folder.mkdir(parents=True, exist_ok=True)
    print(f"\nlogs of the failed scenario: {folder.relative_to(ROOT)}")
    return folder
