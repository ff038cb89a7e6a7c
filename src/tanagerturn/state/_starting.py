"""Starts a replication group once its files can be written."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeVar

from tanagerturn.coordination.storage.files import DiskFullError
from tanagerturn.state._log import log

if TYPE_CHECKING:
    import threading
    from collections.abc import Callable

START_RETRY_S: Final = 0.5
"""Time in seconds before another attempt to start on a disk that was full."""

Started = TypeVar("Started")


def start_once_writable(
    start: Callable[[], Started], stopped: threading.Event
) -> Started | None:
    """Start until the disk has room.

    Args:
        start: Starts; may be called again after a `DiskFullError`.
        stopped: Set when the process stops.

    Returns:
        What was started; None if the process stopped before.
    """
    while not stopped.is_set():
        try:
            return start()
        except DiskFullError as error:
            log.warning("Disk is full; the group starts later: {}.", error)
        stopped.wait(START_RETRY_S)
    return None
