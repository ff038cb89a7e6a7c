"""Logging to standard error, as text or JSON lines that name the component."""

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
"""Format of text lines; `tail` holds the request id in brackets, or is empty."""

logger.configure(extra={"part": "process", "tail": ""})


def set_up_logs(settings: Logging, process_id: str) -> None:
    """Configure logging to standard error.

    Args:
        settings: Format and minimum level of the log lines.
        process_id: Id of the process for the `process_id` field of JSON lines.
    """
    logger.remove()
    logger.configure(
        extra={"part": "process", "tail": "", "process_id": process_id},
        patcher=_add_request_suffix,
    )
    # Waitress warns of each request that waits for a thread. That is expected under
    # load: on an entry host, admission limits how many requests wait.
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


def component_logger(part: str) -> Logger:
    """Return the logger of a component, whose name precedes each message."""
    return logger.bind(part=part)


def _add_request_suffix(record: Record) -> None:
    request_id = record["extra"].get("request_id")
    record["extra"]["tail"] = f" [request {request_id}]" if request_id else ""
