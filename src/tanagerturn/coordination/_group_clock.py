"""Clock of a replication group, by which stored change ids expire."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.coordination.moment import Moment


class GroupClock:
    """Advances the group time of the last entry by the leader's monotonic clock.

    Only a new group starts from the wall clock, so a jump of the wall clock can't
    expire change ids too early.
    """

    def __init__(self) -> None:
        self.base_ms = 0
        """Group time in milliseconds when this member last became leader; 0 before."""
        self.since_s = 0.0
        """Monotonic time in seconds when this member last became leader; 0 before."""

    def begin(
        self, applied_ms: int, unapplied: Iterable[pb.Entry], moment: Moment
    ) -> None:
        """Start from the latest group time in the log when this member becomes leader.

        Args:
            applied_ms: Group time of the store in milliseconds; 0 for a new group.
            unapplied: Entries of the log that are not applied yet.
            moment: Current time on both clocks.
        """
        last_ms = applied_ms
        for entry in unapplied:
            if entry.HasField("command"):
                command = pb.Command.FromString(entry.command)
                last_ms = max(last_ms, command.accepted_at_ms)
        self.base_ms = last_ms or moment.wall_ms
        self.since_s = moment.monotonic_s

    def now_ms(self, moment: Moment) -> int:
        """Return the current group time in milliseconds."""
        return self.base_ms + int((moment.monotonic_s - self.since_s) * 1000)
