"""Clock of a replication group, used to expire remembered change ids."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.coordination.moment import Moment


class GroupClock:
    """Continues from the last entry's time by the leader's monotonic clock.

    The wall clock is read only for a new group, so a wall clock jump can't make
    members forget change ids too early.
    """

    def __init__(self) -> None:
        self.base_ms = 0
        """Group time when this member became leader, in milliseconds."""
        self.since_s = 0.0
        """Monotonic time when this member became leader, in seconds."""

    def begin(self, applied_ms: int, unapplied: Iterable[pb.Entry], at: Moment) -> None:
        """Continue from the latest entry, applied or not, when becoming leader.

        Args:
            applied_ms: Clock of the store in milliseconds; 0 for a new group.
            unapplied: Entries of the log that are not applied yet.
            at: Current time.
        """
        last_ms = applied_ms
        for entry in unapplied:
            if entry.HasField("command"):
                command = pb.Command.FromString(entry.command)
                last_ms = max(last_ms, command.accepted_at_ms)
        self.base_ms = last_ms or at.wall_ms
        self.since_s = at.monotonic_s

    def now_ms(self, at: Moment) -> int:
        """Return the current group time in milliseconds."""
        return self.base_ms + int((at.monotonic_s - self.since_s) * 1000)
