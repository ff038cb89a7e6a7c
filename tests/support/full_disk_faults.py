"""Faults to plant into members whose disks are full in turn."""

from __future__ import annotations

from contextlib import nullcontext, suppress
from typing import TYPE_CHECKING, Any, Final
from unittest import mock

from support.full_disk_schedule import Host
from tanagerturn.coordination import replica
from tanagerturn.coordination.log.core import Core
from tanagerturn.coordination.storage import snapshots
from tanagerturn.coordination.storage.files import DiskFullError
from tanagerturn.coordination.storage.group import GroupStorage
from tanagerturn.coordination.storage.segments import SegmentedLog

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from tanagerturn.coordination.log.ready import ReceivedChunk
    from tanagerturn.schema import coordination_pb2 as pb


class RefusesAtOnce(Core):
    """Defect: a chunk that can't be stored is answered, so that it is sent again."""

    def chunk_dropped(self, meta: pb.SnapshotMeta, next_offset: int) -> None:
        """Refuse the snapshot."""
        self.snapshot_rejected(meta)


class ConfirmsEarly(Core):
    """Defect: a chunk is acknowledged before it is stored."""

    def step(self, message: pb.LogMessage, now_s: float) -> None:
        """Process a message, and acknowledge a chunk at once."""
        count = len(self.ready.received_chunks)
        super().step(message, now_s)
        for chunk in self.ready.received_chunks[count:]:
            if not chunk.last:
                super().chunk_stored(chunk)

    def chunk_stored(self, chunk: ReceivedChunk) -> None:
        """Do nothing: the chunk is acknowledged already."""


class GivesUp(GroupStorage):
    """Defect: a batch without room counts as written."""

    def write(self, hard_state: pb.HardState | None, entries: list[pb.Entry]) -> None:
        """Write a batch if there is room."""
        with suppress(DiskFullError):
            super().write(hard_state, entries)


def _raise_full(log: SegmentedLog, error: OSError) -> None:
    raise DiskFullError("write log", log.folder, str(error)) from error


def _in_host(name: str, defect: type) -> Callable[[], Any]:
    return lambda: mock.patch.object(Host, name, defect)


FAULTS: Final[Mapping[str, Callable[[], Any]]] = {
    "a snapshot that is retried at once": lambda: mock.patch.object(
        replica, "SNAPSHOT_RETRY_S", 0.0
    ),
    "a chunk that is refused at once": _in_host("core_class", RefusesAtOnce),
    "a chunk that is confirmed too early": _in_host("core_class", ConfirmsEarly),
    "a writer that ends without room": lambda: mock.patch.object(
        snapshots, "storage_errors", lambda step, path: nullcontext()
    ),
    "a batch that is given up without room": _in_host("storage_class", GivesUp),
    "a torn write that stays in the log": lambda: mock.patch.object(
        SegmentedLog, "_undo_append", _raise_full
    ),
}
"""Function that returns the patch with a fault, by the name of the fault."""
