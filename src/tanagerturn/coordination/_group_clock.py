"""The clock of a replication group, by which change ids age."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.coordination.moment import Moment


class GroupClock:
    """Goes on by the leader's monotonic clock from the last entry's time.

    The wall clock is read only when the group is new, so that a jump of it
    can't make members forget change ids early.
    """

    def __init__(self) -> None:
        self.base_ms = 0
        """Time of the group when the member became leader, in milliseconds."""
        self.since_s = 0.0
        """When the member became leader, in seconds, monotonic."""

    def begin(self, applied_ms: int, unapplied: Iterable[pb.Entry], at: Moment) -> None:
        """Go on from the last entry, applied or not.

        Args:
            applied_ms: Clock of the store, in milliseconds; 0 when new.
            unapplied: Entries that are not applied yet.
            at: Present time.
        """
        last_ms = applied_ms
        for entry in unapplied:
            if entry.HasField("command"):
                command = pb.Command.FromString(entry.command)
                last_ms = max(last_ms, command.accepted_at_ms)
        self.base_ms = last_ms or at.wall_ms
        self.since_s = at.monotonic_s

    def now_ms(self, at: Moment) -> int:
        """Return the group's time in milliseconds."""
        return self.base_ms + int((at.monotonic_s - self.since_s) * 1000)
