"""Settings deltas that a process sends to its followers."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.dissemination.delta import make_delta

if TYPE_CHECKING:
    from tanagerturn.schema import coordination_pb2 as pb
    from tanagerturn.schema import dissemination_pb2 as dpb

MAX_KEPT_REVISIONS: Final = 16
"""Number of recent revisions from which a delta can be made; a follower with an older
revision gets all files."""


class RelayHub:
    """Makes deltas for followers from recent revisions, and counts the deltas.

    No deltas are queued for a slow follower: when it is ready, it gets one delta from
    its revision to the newest.
    """

    def __init__(self) -> None:
        self.revisions: OrderedDict[int, pb.SettingsRevision] = OrderedDict()
        """Recent revisions by number, newest last."""
        self.deltas_sent = 0
        """Number of deltas from an earlier revision that were made for followers."""
        self.snapshots_sent = 0
        """Number of deltas with all files that were made for followers."""
        self.bytes_sent = 0
        """Total size in bytes of the deltas in `deltas_sent` and `snapshots_sent`."""

    @property
    def number(self) -> int:
        """Number of the newest revision; 0 before the first."""
        return next(reversed(self.revisions), 0)

    def publish(self, revision: pb.SettingsRevision) -> None:
        """Add a revision; ignore it unless it is newer than the newest."""
        if revision.number <= self.number:
            return
        self.revisions[revision.number] = revision
        if len(self.revisions) > MAX_KEPT_REVISIONS:
            self.revisions.popitem(last=False)

    def delta_for(self, number: int) -> dpb.SettingsDelta | None:
        """Return the delta to the newest revision; None if `number` is not older."""
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
        """Return the newest revision number and the counters for a dump."""
        return {
            "number": self.number,
            "deltas_sent": self.deltas_sent,
            "snapshots_sent": self.snapshots_sent,
            "bytes_sent": self.bytes_sent,
        }
