"""A state client whose answers get lost and whose writes arrive late."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Error, Ok

from tanagerturn.coordination.errors import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.coordination.local import LocalStateClient


class HostDied(BaseException):
    """The process under test ends here; nothing may catch it."""


class Points:
    """Counts the points at which a process may die, and kills it at one."""

    def __init__(self, kill_at: int = 0) -> None:
        self.kill_at = kill_at
        self.count = 0

    def reach(self) -> None:
        """Pass one point."""
        self.count += 1
        if self.count == self.kill_at:
            raise HostDied


class FlakyStateClient:
    """Passes calls to a local client, as a plan of faults says.

    Args:
        local: The store that all hosts share.
        plan: For each propose the fault: "", "applied" (answer lost), "late"
            (answer lost, applied by `deliver_late`) or "lost".
        points: Where the process may die, before and after each call.
    """

    def __init__(
        self, local: LocalStateClient, plan: list[str], points: Points
    ) -> None:
        self.local = local
        self.plan = plan
        self.points = points
        self.late: list[Callable[[], object]] = []

    def propose(self, group, command, timeout_s):
        """Commit a command, as the plan says."""
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
        """Apply the writes that were held up."""
        while self.late:
            self.late.pop(0)()

    def read(self, *args):
        """Read a key."""
        self.points.reach()
        return self.local.read(*args)

    def scan(self, *args, **named):
        """Read a range."""
        return self.local.scan(*args, **named)

    def lease(self, *args):
        """Read a lease."""
        return self.local.lease(*args)
