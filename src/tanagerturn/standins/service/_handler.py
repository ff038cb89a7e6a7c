"""HTTP interface of a stand-in service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from urllib.parse import unquote

from tanagerturn.standins._http import ConnectionDied, StandinHandler
from tanagerturn.standins.faults import Fault
from tanagerturn.standins.service.ledger import Outcome, expected_answer

if TYPE_CHECKING:
    from tanagerturn.standins.service.server import ServiceServer

OUTCOMES: Final = "/outcomes/"
MS_PER_S: Final = 1000.0


class ServiceHandler(StandinHandler):
    """One connection to the service."""

    service: ServiceServer
    """The service, bound by the server."""

    def dispatch(self) -> None:
        """Answer a call, an outcome query, or the counts."""
        asks = self.command in ("GET", "HEAD")
        if asks and self.path == "/standin/counts":
            self.answer_json(200, self.service.count_values())
        elif asks and self.path.startswith(OUTCOMES):
            self._tell_outcome(unquote(self.path.removeprefix(OUTCOMES)))
        else:
            self._handle_call()

    def _tell_outcome(self, key: str) -> None:
        stored = self.service.ledger.outcome(key)
        if stored.outcome == Outcome.EXECUTED:
            self.answer(200, stored.body)
        elif stored.outcome == Outcome.RUNNING:
            self.answer_problem(503, "still executing", {"Retry-After": "1"})
        else:
            self.answer_problem(404, "not executed and never will be")

    def _handle_call(self) -> None:
        body = self.read_body()
        self.service.enter()
        try:
            key = self.headers.get("Idempotency-Key", "")
            fault = self.service.faults.next_fault(key or self.path)
            if fault == Fault.REFUSE:
                self.answer_problem(503, "refused", {"Retry-After": "1"})
                return
            self._fail_before(fault)
            with self.service.slots:
                answer = self._run(key, body)
            self._send(answer, fault)
        finally:
            self.service.leave()

    def _fail_before(self, fault: Fault | None) -> None:
        if fault == Fault.DIE_BEFORE_FIRST_BYTE:
            self.die()
        if fault == Fault.DELAY:
            self._wait(self.service.faults.plan.delay_ms)

    def _run(self, key: str, body: bytes) -> bytes | None:
        """Execute a call; None when its key is refused."""
        config = self.service.config
        ledger = self.service.ledger
        path = self.path
        fields = expected_answer(self.command, path, key, body)
        if not key:
            self._wait(config.lookup_ms)
            return ledger.look_up(fields)
        if not ledger.begin(key):
            return None
        try:
            self._wait(config.execute_ms)
        except ConnectionDied:
            ledger.abandon(key)
            raise
        return ledger.execute(key, fields)

    def _send(self, answer: bytes | None, fault: Fault | None) -> None:
        headers = self.service.load_headers()
        if fault == Fault.DIE_AFTER_EXECUTION:
            self.die()
        if fault == Fault.ANSWER_LATE:
            self._wait(self.service.faults.plan.delay_ms)
        if answer is None:
            self.answer_problem(409, "key was declared not executed", headers)
            return
        self.answer(200, answer, headers=headers)
        if fault == Fault.ANSWER_TWICE:
            self.answer(200, answer, headers=headers)

    def _wait(self, wait_ms: float) -> None:
        if wait_ms > 0 and self.service.stopped.wait(wait_ms / MS_PER_S):
            self.die()
