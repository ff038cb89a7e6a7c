"""What a process hands on to the processes that follow it."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.dissemination.delta import make_delta

if TYPE_CHECKING:
    from tanagerturn.schema import coordination_pb2 as pb
    from tanagerturn.schema import dissemination_pb2 as dpb

REVISIONS_KEPT: Final = 16
"""Last revisions from which a delta can be made; others get all files."""


class RelayHub:
    """Makes what a follower lacks out of the last revisions, and counts it.

    A slow follower costs no queue: it gets one delta from what it has to what
    is in force when it is ready.
    """

    def __init__(self) -> None:
        self.revisions: OrderedDict[int, pb.SettingsRevision] = OrderedDict()
        """Last revisions by number, the newest last."""
        self.deltas_sent = 0
        """Deltas that were handed out."""
        self.snapshots_sent = 0
        """Revisions that were handed out with all their files."""
        self.bytes_sent = 0
        """Serialized size of both."""

    @property
    def number(self) -> int:
        """Number of the newest revision; 0 before the first."""
        return next(reversed(self.revisions), 0)

    def publish(self, revision: pb.SettingsRevision) -> None:
        """Take a newer revision."""
        if revision.number <= self.number:
            return
        self.revisions[revision.number] = revision
        if len(self.revisions) > REVISIONS_KEPT:
            self.revisions.popitem(last=False)

    def lacking(self, number: int) -> dpb.SettingsDelta | None:
        """Return what a follower with a revision lacks; None when nothing."""
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
