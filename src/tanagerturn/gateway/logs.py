"""Structured logs of a gateway: one JSON line an event, within a budget.

A line is dropped and counted when the budget is used up or the reader does not
read; a process never waits for its log.
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
"""Lines a second on average; about 1% of a small host's core."""

LINES_BURST: Final = 1_000.0
"""Lines that may be written at once."""

RESERVED_SHARE: Final = 0.25
"""Part of the burst that is kept for warnings and errors."""


class LineBudget:
    """Decides which lines are written; warnings and errors go first.

    Args:
        now_s: Present monotonic time.
    """

    def __init__(self, now_s: float) -> None:
        self.bucket = TokenBucket(LINES_PER_S, LINES_BURST, now_s)
        """Lines at hand."""
        self.dropped = 0
        """Lines dropped since the last that was written."""

    def allows(self, is_urgent: bool, now_s: float) -> bool:
        """Take one line out of the budget, if there is one."""
        floor = 1.0 if is_urgent else 1.0 + RESERVED_SHARE * LINES_BURST
        if self.bucket.wait_s(floor, now_s) > 0:
            self.dropped += 1
            return False
        self.bucket.take(1.0, now_s)
        return True


class LineWriter:
    """Writes lines to a descriptor without ever waiting for its reader.

    Args:
        descriptor: Open descriptor.
        process: Name of the process, in each line.
    """

    def __init__(self, descriptor: int, process: str) -> None:
        self.descriptor = descriptor
        """Open descriptor."""
        self.process = process
        """Name of the process, in each line."""
        self.budget = LineBudget(time.monotonic())
        """Which lines are written."""
        os.set_blocking(descriptor, False)

    def __call__(self, message: Message) -> None:
        """Write one record."""
        record = message.record
        is_urgent = record["level"].no >= logger.level("WARNING").no
        if not self.budget.allows(is_urgent, time.monotonic()):
            return
        dropped = self.budget.dropped
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
            self.budget.dropped -= dropped
        except BlockingIOError:
            self.budget.dropped += 1


class PartLog:
    """Logs events of one part of the process.

    Args:
        part: Name of the part.
    """

    def __init__(self, part: str) -> None:
        self.bound = logger.bind(part=part)
        """Logger of the part."""

    def debug(self, event: str, **fields: object) -> None:
        """Log an event of interest while something is examined."""
        self.bound.bind(**fields).debug(event)

    def info(self, event: str, **fields: object) -> None:
        """Log a decision or a change."""
        self.bound.bind(**fields).info(event)

    def warning(self, event: str, **fields: object) -> None:
        """Log something that an operator may have to know."""
        self.bound.bind(**fields).warning(event)

    def error(self, event: str, **fields: object) -> None:
        """Log a failure of the process itself."""
        self.bound.bind(**fields).error(event)


def part_log(part: str) -> PartLog:
    """Return the log of a part of the process."""
    return PartLog(part)


def set_up_logs(process: str, level: str = "INFO") -> None:
    """Write JSON lines to standard output.

    Args:
        process: Name of the process, in each line.
        level: Lowest level that is written.
    """
    logger.remove()
    # Without the defaults of the other programs each line holds its fields only.
    logger.configure(extra={})
    writer = LineWriter(sys.stdout.fileno(), process)
    logger.add(writer, format="{message}", level=level, backtrace=False, diagnose=False)
