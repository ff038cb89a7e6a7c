"""Logging: human lines or JSON lines on standard error, a prefix for each part."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, Final

from loguru import logger

from tanagerturn.schema.settings_pb2 import JSON, Logging

if TYPE_CHECKING:
    from loguru import Logger, Record

HUMAN_FORMAT: Final = (
    "{time:YYYY-MM-DD HH:mm:ss.SSS} {level:<7} {extra[part]}: {message}{extra[tail]}\n"
)

logger.configure(extra={"part": "process", "tail": ""})


def set_up_logs(settings: Logging, process_id: str) -> None:
    """Send logs to standard error as the settings say.

    Args:
        settings: Format and level.
        process_id: Bound to each line.
    """
    logger.remove()
    logger.configure(
        extra={"part": "process", "tail": "", "process_id": process_id},
        patcher=_set_tail,
    )
    # Waitress tells of each request that waits for a thread; the gate bounds them.
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)
    as_json = settings.format == JSON
    logger.add(
        sys.stderr,
        format="{message}" if as_json else HUMAN_FORMAT,
        level=settings.level or "INFO",
        serialize=as_json,
        backtrace=False,
        diagnose=False,
    )


def part_logger(part: str) -> Logger:
    """Return the logger of a part; its name is the prefix of each line."""
    return logger.bind(part=part)


def _set_tail(record: Record) -> None:
    request_id = record["extra"].get("request_id")
    record["extra"]["tail"] = f" [request {request_id}]" if request_id else ""
