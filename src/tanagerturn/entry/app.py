"""WSGI application for callers."""

from __future__ import annotations

import http
import threading
import time
from typing import TYPE_CHECKING, Any, Final

from tanagerturn.clocks import wall_ms
from tanagerturn.entry.access import note_access
from tanagerturn.entry.callers import CallerCall, new_request_id, read_call
from tanagerturn.entry.collect import REQUESTS_PATH, answer_collect
from tanagerturn.entry.drafts import run_draft
from tanagerturn.entry.lookups import run_lookup
from tanagerturn.entry.parts import CallerResponse, Parts
from tanagerturn.entry.patient import existing_response, run_patient
from tanagerturn.entry.purchases import run_once
from tanagerturn.observe.logs import component_logger
from tanagerturn.schema.serving_pb2 import IDEMPOTENT, NOT_REPEATABLE, PATIENT
from tanagerturn.serving.requests.ids import ClientAccountId, IdempotencyKey
from tanagerturn.shared.problems import (
    NOT_RUN,
    OUTCOME_UNKNOWN,
    ProblemError,
    make_problem_response,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from tanagerturn.entry.metrics import EntryMetrics
    from tanagerturn.shared.resolved_settings import ResolvedSettings

log = component_logger("callers")

READY_RETRY_S: Final = 1.0


class CallerApp:
    """Answers callers' requests, one thread of the server each.

    Args:
        parts: Parts of the entry process.
        resolved_settings: Returns the settings in force.
        metrics: Counters of the process.
    """

    def __init__(
        self,
        parts: Parts,
        current_settings: Callable[[], ResolvedSettings],
        metrics: EntryMetrics,
    ) -> None:
        self.parts = parts
        """Parts of the entry process."""
        self.current_settings = current_settings
        """Returns the settings in force."""
        self.metrics = metrics
        """Counters of the process."""
        self.running = 0
        """Requests that are being answered."""
        self.idle = threading.Condition()
        """Guards `running`; notified when it falls to 0."""

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Answer one request, by WSGI."""
        request_id = new_request_id()
        with self.idle:
            self.running += 1
        response = self._respond(environ, request_id)
        self.metrics.responses.labels(status=str(response.status)).inc()
        start_response(_status_line(response.status), response.headers)
        return _Body(response.body, self._leave)

    def wait_idle(self, timeout_s: float) -> int:
        """Wait until no request runs; return how many still do at the end."""
        with self.idle:
            self.idle.wait_for(lambda: self.running == 0, timeout_s)
            return self.running

    def _leave(self) -> None:
        with self.idle:
            self.running -= 1
            if self.running == 0:
                self.idle.notify_all()

    def _respond(self, environ: Any, request_id: str) -> CallerResponse:
        try:
            resolved_settings = self.current_settings()
            if not resolved_settings.number:
                raise not_ready(environ)
            if environ["PATH_INFO"].startswith(REQUESTS_PATH):
                return answer_collect(self.parts, environ, resolved_settings)
            call = read_call(environ, resolved_settings)
            note_access(call, wall_ms())
            return self._run(call)
        except ProblemError as error:
            return self._refuse(error, request_id)
        except Exception:
            log.bind(request_id=request_id).exception("Request failed.")
            detail = "The request failed inside this process."
            return self._refuse(
                ProblemError(500, "Internal error", detail, "outcome_unknown", "run"),
                request_id,
            )

    def _run(self, call: CallerCall) -> CallerResponse:
        try:
            passed = self.parts.gate.enter(call, time.monotonic())
        except ProblemError as error:
            self.metrics.refusals.labels(step=error.step).inc()
            return self._refused(call, error)
        try:
            response = self._answer(call)
        except BaseException:
            passed.leave()
            raise

        def leave() -> None:
            passed.tokens = response.made.tokens
            passed.leave()

        body = _Body(response.body, leave)
        return CallerResponse(response.status, response.headers, body, response.made)

    def _answer(self, call: CallerCall) -> CallerResponse:
        if call.kind == PATIENT:
            return run_patient(self.parts, call)
        if call.is_model:
            return run_draft(self.parts, call)
        if call.kind == NOT_REPEATABLE:
            return run_once(self.parts, call)
        return run_lookup(self.parts, call)

    def _refused(self, call: CallerCall, error: ProblemError) -> CallerResponse:
        """Refuse a request, unless its key was accepted at another time."""
        if call.kind == IDEMPOTENT or not call.idempotency_key:
            raise error
        account = ClientAccountId(call.account.name)
        found = self.parts.ledger.read(account, IdempotencyKey(call.idempotency_key))
        if found.is_error():
            error.outcome = OUTCOME_UNKNOWN
            raise error
        if found.ok is None:
            raise error
        return existing_response(call, found.ok.record)

    def _refuse(self, error: ProblemError, request_id: str) -> CallerResponse:
        problem = make_problem_response(error, request_id)
        return CallerResponse(problem.status, problem.headers, [problem.body])


def not_ready(environ: Any) -> ProblemError:
    """Return the problem of a request that came before any settings.

    What became of an earlier request with the same key can't be told yet.
    """
    outcome = OUTCOME_UNKNOWN if environ.get("HTTP_IDEMPOTENCY_KEY") else NOT_RUN
    detail = "This entry host has no settings yet."
    return ProblemError(503, "Not ready", detail, outcome, "receive", READY_RETRY_S)


class _Body:
    """Body of a response that tells when the server is done with it."""

    def __init__(self, chunks: Iterable[bytes], on_close: Callable[[], None]) -> None:
        self.chunks = chunks
        self.on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.chunks)

    def close(self) -> None:
        close = getattr(self.chunks, "close", None)
        try:
            if close is not None:
                close()
        finally:
            self.on_close()


def _status_line(status: int) -> str:
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
