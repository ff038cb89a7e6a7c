"""HTTP interface of a stand-in service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from urllib.parse import unquote

from tanagerturn.standins._http import ConnectionAborted, StandinHandler
from tanagerturn.standins.faults import Fault
from tanagerturn.standins.service.ledger import Outcome, expected_response_fields

if TYPE_CHECKING:
    from tanagerturn.standins.service.server import ServiceServer

OUTCOMES_PREFIX: Final = "/outcomes/"
MS_PER_S: Final = 1000.0


class ServiceHandler(StandinHandler):
    """Handles the requests of one connection to a host of the service."""

    service: ServiceServer
    """The host of the service; set by the subclass that its server makes."""

    def dispatch(self) -> None:
        """Handle a call, an outcome query or a request for the counts."""
        reads = self.command in ("GET", "HEAD")
        if reads and self.path == "/standin/counts":
            self.respond_json(200, self.service.count_values())
        elif reads and self.path.startswith(OUTCOMES_PREFIX):
            self._send_outcome(unquote(self.path.removeprefix(OUTCOMES_PREFIX)))
        else:
            self._handle_call()

    def _send_outcome(self, key: str) -> None:
        stored = self.service.ledger.outcome(key)
        if stored.outcome == Outcome.EXECUTED:
            self.respond(200, stored.body)
        elif stored.outcome == Outcome.RUNNING:
            self.respond_problem(503, "still executing", {"Retry-After": "1"})
        else:
            self.respond_problem(404, "not executed and never will be")

    def _handle_call(self) -> None:
        body = self.read_body()
        self.service.begin_call()
        try:
            key = self.headers.get("Idempotency-Key", "")
            fault = self.service.faults.next_fault(key or self.path)
            if fault == Fault.REFUSE:
                self.respond_problem(503, "refused", {"Retry-After": "1"})
                return
            self._inject_before(fault)
            with self.service.slots:
                response = self._execute(key, body)
            self._send(response, fault)
        finally:
            self.service.end_call()

    def _inject_before(self, fault: Fault | None) -> None:
        if fault == Fault.DIE_BEFORE_FIRST_BYTE:
            self.abort()
        if fault == Fault.DELAY:
            self._wait(self.service.faults.plan.delay_ms)

    def _execute(self, key: str, body: bytes) -> bytes | None:
        """Execute a call.

        Args:
            key: Idempotency key; empty for a lookup.
            body: Body of the call.

        Returns:
            Body of the response; None if the key was declared not executed.

        Raises:
            ConnectionAborted: The host stopped before the call was executed.
        """
        config = self.service.config
        ledger = self.service.ledger
        path = self.path
        fields = expected_response_fields(self.command, path, key, body)
        if not key:
            self._wait(config.lookup_ms)
            return ledger.look_up(fields)
        if not ledger.begin(key):
            return None
        try:
            self._wait(config.execute_ms)
        except ConnectionAborted:
            ledger.abandon(key)
            raise
        return ledger.execute(key, fields)

    def _send(self, response: bytes | None, fault: Fault | None) -> None:
        headers = self.service.load_headers()
        if fault == Fault.DIE_AFTER_EXECUTION:
            self.abort()
        if fault == Fault.ANSWER_LATE:
            self._wait(self.service.faults.plan.delay_ms)
        if response is None:
            self.respond_problem(409, "key was declared not executed", headers)
            return
        self.respond(200, response, headers=headers)
        if fault == Fault.ANSWER_TWICE:
            self.respond(200, response, headers=headers)

    def _wait(self, wait_ms: float) -> None:
        """Wait, but abort the connection if the host stops meanwhile."""
        if wait_ms > 0 and self.service.stopped.wait(wait_ms / MS_PER_S):
            self.abort()
