"""A state client that loses responses and delays or drops writes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error, Ok

from tanagerturn.coordination.errors import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.coordination.local import LocalStateClient


class HostCrashed(BaseException):
    """Simulates a crash of the process under test.

    Derives from BaseException so that production code does not catch it.
    """


class CrashPoints:
    """Counts the points at which a process may crash and raises `HostCrashed` at one.

    Args:
        crash_at: Number of the point at which to crash, from 1; 0 for never.
    """

    def __init__(self, crash_at: int = 0) -> None:
        self.crash_at = crash_at
        self.count = 0

    def reach(self) -> None:
        """Count one point; raise `HostCrashed` if it is the one at which to crash."""
        self.count += 1
        if self.count == self.crash_at:
            raise HostCrashed


class FlakyStateClient:
    """Forwards calls to a local client and injects faults into commits.

    Args:
        local: Client of the store that all hosts share.
        plan: Fault of each `propose` call in order: "" for none, "applied" (applied,
            response lost), "late" (response lost, applied by `deliver_late`) or "lost"
            (never applied).
        points: Counter of the points at which the process may crash, before and after
            each call.
    """

    def __init__(
        self, local: LocalStateClient, plan: list[str], points: CrashPoints
    ) -> None:
        self.local = local
        self.plan = plan
        self.points = points
        self.late: list[Callable[[], object]] = []

    def propose(self, group, command, timeout_s):
        """Commit a command with the next fault of the plan."""
        self.points.reach()
        fault = self.plan.pop(0) if self.plan else ""
        result = Ok(None)
        if fault == "late":
            self.late.append(lambda: self.local.propose(group, command, timeout_s))
        elif fault != "lost":
            result = self.local.propose(group, command, timeout_s)
        self.points.reach()
        if fault:
            return Error(UnavailableError("propose", "state-1", fault))
        return result

    def deliver_late(self) -> None:
        """Apply the delayed writes in order."""
        while self.late:
            self.late.pop(0)()

    def read(self, *args):
        """Read a key."""
        self.points.reach()
        return self.local.read(*args)

    def scan(self, *args, **named):
        """Read a range of keys."""
        return self.local.scan(*args, **named)

    def lease(self, *args):
        """Read a lease."""
        return self.local.lease(*args)
