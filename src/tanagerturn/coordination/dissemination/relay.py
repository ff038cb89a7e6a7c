"""Settings that a process sends to its followers."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.dissemination.delta import make_delta

if TYPE_CHECKING:
    from tanagerturn.schema import coordination_pb2 as pb
    from tanagerturn.schema import dissemination_pb2 as dpb

MAX_KEPT_REVISIONS: Final = 16
"""Recent revisions from which a delta can be made; other followers get all files."""


class RelayHub:
    """Makes deltas for followers from recent revisions, and counts them.

    A slow follower needs no queue: when it is ready, it gets one delta from its
    revision to the one in force.
    """

    def __init__(self) -> None:
        self.revisions: OrderedDict[int, pb.SettingsRevision] = OrderedDict()
        """Recent revisions by number, newest last."""
        self.deltas_sent = 0
        """Number of deltas returned to followers."""
        self.snapshots_sent = 0
        """Number of full revisions returned to followers."""
        self.bytes_sent = 0
        """Total size of both in bytes."""

    @property
    def number(self) -> int:
        """Number of the newest revision; 0 before the first."""
        return next(reversed(self.revisions), 0)

    def publish(self, revision: pb.SettingsRevision) -> None:
        """Add a revision; ignored unless it is newer."""
        if revision.number <= self.number:
            return
        self.revisions[revision.number] = revision
        if len(self.revisions) > MAX_KEPT_REVISIONS:
            self.revisions.popitem(last=False)

    def delta_for(self, number: int) -> dpb.SettingsDelta | None:
        """Return the delta from a revision to the newest; None when there is none."""
        if number >= self.number:
            return None
        before = self.revisions.get(number)
        delta = make_delta(before, self.revisions[self.number])
        if delta.from_number:
            self.deltas_sent += 1
        else:
            self.snapshots_sent += 1
        self.bytes_sent += delta.ByteSize()
        return delta

    def dump(self) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            "number": self.number,
            "deltas_sent": self.deltas_sent,
            "snapshots_sent": self.snapshots_sent,
            "bytes_sent": self.bytes_sent,
        }
