"""The thread that repairs the groups that this member leads."""

from __future__ import annotations

import threading
from concurrent.futures import Future
from typing import TYPE_CHECKING, Any, Final

from tanagerturn.coordination.log.membership import find
from tanagerturn.state import messages as m
from tanagerturn.state._log import log
from tanagerturn.state._repair import GroupHealth, next_change

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.schema import coordination_pb2 as pb
    from tanagerturn.state.server import StateServer

STATUS_TIMEOUT_S: Final = 0.5
CHANGE_TIMEOUT_S: Final = 5.0
PERIOD_SHARE: Final = 0.1
"""Time between two looks, as a share of the time until a repair."""


class Maintenance:
    """Looks after the groups from time to time.

    Args:
        server: The member.
        repair_after_s: Time after which an unheard voter is replaced, seconds.
    """

    def __init__(self, server: StateServer, repair_after_s: float) -> None:
        self.server = server
        """The member."""
        self.repair_after_s = repair_after_s
        """Time after which an unheard voter is replaced, in seconds."""
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(target=self._run, name="repair", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join()

    def _run(self) -> None:
        period_s = max(0.1, self.repair_after_s * PERIOD_SHARE)
        while not self._stopped.wait(period_s):
            for group in list(self.server.groups):
                self._look_after(group)

    def _look_after(self, group: str) -> None:
        health = self._ask(group)
        if health is None:
            return
        settings = self.server.settings
        wanted = sum(not one.spare for one in settings.state_members)
        spares = self._spares(health) if self._is_short(health, wanted) else []
        change = next_change(health, spares, wanted, self.repair_after_s)
        if change is None:
            return
        log.info("Repair of {}: {} {}.", group, change.action, change.member.id)
        answer: Future[Any] = Future()
        self.server.tell(group, m.ChangeMember(change.action, change.member, answer))
        result = _result(answer, CHANGE_TIMEOUT_S)
        if result is not None and result.is_error():
            log.info("Repair of {} waits: {}.", group, result.error)

    def _ask(self, group: str) -> GroupHealth | None:
        answer: Future[GroupHealth | None] = Future()
        self.server.tell(group, m.AskHealth(answer))
        health: GroupHealth | None = _result(answer, STATUS_TIMEOUT_S)
        return health

    def _is_short(self, health: GroupHealth, wanted: int) -> bool:
        heard = sum(s <= self.repair_after_s for s in health.unheard_s.values())
        return heard + 1 < wanted or len(health.membership.members) < wanted

    def _spares(self, health: GroupHealth) -> Sequence[pb.Member]:
        found = []
        for member in self.server.members:
            if find(health.membership, member.id) is not None:
                continue
            answer = self.server.ask(member.address, STATUS_TIMEOUT_S)
            if answer.is_ok():
                member.incarnation = answer.ok.incarnation
                found.append(member)
        return found


def _result(answer: Future[Any], timeout_s: float) -> Any:
    try:
        return answer.result(timeout=timeout_s)
    except TimeoutError:
        return None
