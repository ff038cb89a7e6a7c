"""Structured logs of a gateway: one JSON line per event, limited by a budget.

A line is dropped and counted if the budget is exhausted or writing it would block:
the process never waits for the reader of its log.
"""

from __future__ import annotations

import os
import sys
import time
from typing import TYPE_CHECKING, Any, Final

import orjson
from loguru import logger

from tanagerturn.serving.limits.buckets import TokenBucket

if TYPE_CHECKING:
    from loguru import Message

LINES_PER_S: Final = 200.0
"""Average number of lines per second; they take about 1% of a small host's core."""

MAX_BURST_LINES: Final = 1_000.0
"""Number of lines that may be written in a burst."""

URGENT_RESERVE_FRACTION: Final = 0.25
"""Fraction of the burst that is reserved for warnings and errors."""


class LineBudget:
    """Limits the rate of lines, with a reserve for warnings and errors.

    Args:
        now_s: Current monotonic time in seconds.
    """

    def __init__(self, now_s: float) -> None:
        self.bucket = TokenBucket(LINES_PER_S, MAX_BURST_LINES, now_s)
        """Bucket that holds the number of lines that may be written now."""
        self.dropped_count = 0
        """Number of lines dropped since the last line that was written."""

    def try_charge(self, is_urgent: bool, now_s: float) -> bool:
        """Charge one line to the budget, or count it as dropped.

        Args:
            is_urgent: The line is a warning or an error and may use the reserve.
            now_s: Current monotonic time in seconds.

        Returns:
            Whether the line may be written.
        """
        floor = 1.0 if is_urgent else 1.0 + URGENT_RESERVE_FRACTION * MAX_BURST_LINES
        if self.bucket.wait_s(floor, now_s) > 0:
            self.dropped_count += 1
            return False
        self.bucket.charge(1.0, now_s)
        return True


class LineWriter:
    """Writes log records to a file descriptor without blocking.

    Args:
        descriptor: Open file descriptor, which is made non-blocking.
        process: Name of the process for the `process` field of each line.
    """

    def __init__(self, descriptor: int, process: str) -> None:
        self.descriptor = descriptor
        """Open file descriptor."""
        self.process = process
        """Name of the process for the `process` field of each line."""
        self.budget = LineBudget(time.monotonic())
        """Limits the rate of lines."""
        os.set_blocking(descriptor, False)

    def __call__(self, message: Message) -> None:
        """Write one record as a line, or drop it."""
        record = message.record
        is_urgent = record["level"].no >= logger.level("WARNING").no
        if not self.budget.try_charge(is_urgent, time.monotonic()):
            return
        dropped = self.budget.dropped_count
        line: dict[str, Any] = {
            "at": round(record["time"].timestamp(), 4),
            "process": self.process,
            "level": record["level"].name,
            "event": record["message"],
            **record["extra"],
        }
        if dropped:
            line["dropped_before"] = dropped
        data = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        try:
            os.write(self.descriptor, data)
            self.budget.dropped_count -= dropped
        except BlockingIOError:
            self.budget.dropped_count += 1


class ComponentLog:
    """Logs the events of one component of the process.

    Args:
        part: Name of the component for the `part` field of each line.
    """

    def __init__(self, part: str) -> None:
        self.bound = logger.bind(part=part)
        """Logger with the `part` field set."""

    def debug(self, event: str, **fields: object) -> None:
        """Log an event that is only of interest during an investigation."""
        self.bound.bind(**fields).debug(event)

    def info(self, event: str, **fields: object) -> None:
        """Log a decision or a change."""
        self.bound.bind(**fields).info(event)

    def warning(self, event: str, **fields: object) -> None:
        """Log a problem that may need an operator's attention."""
        self.bound.bind(**fields).warning(event)

    def error(self, event: str, **fields: object) -> None:
        """Log a failure of the process itself."""
        self.bound.bind(**fields).error(event)


def component_log(part: str) -> ComponentLog:
    """Return the log of a component of the process."""
    return ComponentLog(part)


def set_up_logs(process: str, level: str = "INFO") -> None:
    """Configure logging to write JSON lines to standard output.

    Args:
        process: Name of the process for the `process` field of each line.
        level: Minimum level of the written lines.
    """
    logger.remove()
    # Remove the default `extra` fields, which the other programs of this project
    # configure for every record.
    logger.configure(extra={})
    writer = LineWriter(sys.stdout.fileno(), process)
    logger.add(writer, format="{message}", level=level, backtrace=False, diagnose=False)
