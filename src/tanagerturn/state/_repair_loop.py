"""Thread that replaces lost voters of the groups that this member leads."""

from __future__ import annotations

import threading
from concurrent.futures import Future
from typing import TYPE_CHECKING, Any, Final

from tanagerturn.coordination.log.membership import find_member
from tanagerturn.state import messages as m
from tanagerturn.state._log import log
from tanagerturn.state._repair import GroupHealth, next_membership_change

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.schema import coordination_pb2 as pb
    from tanagerturn.state.server import StateServer

STATUS_TIMEOUT_S: Final = 0.5
"""Longest wait for the health of a group or the status of a spare, in seconds."""

CHANGE_TIMEOUT_S: Final = 5.0
"""Longest wait for the commit of a membership change, in seconds."""

PERIOD_FRACTION: Final = 0.1
"""Time between two checks of a group, as a fraction of `repair_after_s`; at least
0.1 s."""


class RepairLoop:
    """Periodically checks the groups that this member leads and repairs them.

    Args:
        server: State member whose replication groups are checked.
        repair_after_s: Time without a response after which a voter is replaced, in
            seconds.
    """

    def __init__(self, server: StateServer, repair_after_s: float) -> None:
        self.server = server
        """State member whose replication groups are checked."""
        self.repair_after_s = repair_after_s
        """Time without a response after which a voter is replaced, in seconds."""
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread that checks the groups."""
        self._thread = threading.Thread(target=self._run, name="repair", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and wait until it has ended."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join()

    def _run(self) -> None:
        period_s = max(0.1, self.repair_after_s * PERIOD_FRACTION)
        while not self._stopped.wait(period_s):
            for group in list(self.server.groups):
                self._repair_group(group)

    def _repair_group(self, group: str) -> None:
        health = self._leader_health(group)
        if health is None:
            return
        settings = self.server.settings
        wanted_voters = sum(not member.spare for member in settings.state_members)
        spares = (
            self._available_spares(health)
            if self._needs_spare(health, wanted_voters)
            else []
        )
        change = next_membership_change(
            health, spares, wanted_voters, self.repair_after_s
        )
        if change is None:
            return
        log.info(
            "Repairing group {}: proposing MemberChangeRequest.Action {} for {}.",
            group,
            change.action,
            change.member.id,
        )
        reply: Future[Any] = Future()
        self.server.tell(group, m.ChangeMember(change.action, change.member, reply))
        result = _wait_for_reply(reply, CHANGE_TIMEOUT_S)
        if result is not None and result.is_error():
            log.info(
                "Membership change of group {} not confirmed, checking it again: {}.",
                group,
                result.error,
            )

    def _leader_health(self, group: str) -> GroupHealth | None:
        reply: Future[GroupHealth | None] = Future()
        self.server.tell(group, m.GetHealth(reply))
        health: GroupHealth | None = _wait_for_reply(reply, STATUS_TIMEOUT_S)
        return health

    def _needs_spare(self, health: GroupHealth, wanted_voters: int) -> bool:
        responding = sum(
            age_s <= self.repair_after_s
            for age_s in health.last_response_age_s.values()
        )
        return (
            responding + 1 < wanted_voters
            or len(health.membership.members) < wanted_voters
        )

    def _available_spares(self, health: GroupHealth) -> Sequence[pb.Member]:
        available = []
        for member in self.server.members:
            if find_member(health.membership, member.id) is not None:
                continue
            status = self.server.fetch_status(member.address, STATUS_TIMEOUT_S)
            if status.is_ok():
                member.incarnation = status.ok.incarnation
                available.append(member)
        return available


def _wait_for_reply(reply: Future[Any], timeout_s: float) -> Any:
    """Return the reply; None if no reply arrives within the timeout."""
    try:
        return reply.result(timeout=timeout_s)
    except TimeoutError:
        return None
