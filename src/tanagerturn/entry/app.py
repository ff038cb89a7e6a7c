"""WSGI application for callers."""

from __future__ import annotations

import http
import threading
import time
from typing import TYPE_CHECKING, Any, Final

from tanagerturn.clocks import wall_ms
from tanagerturn.entry.access import log_access
from tanagerturn.entry.at_most_once import run_at_most_once
from tanagerturn.entry.callers import CallerCall, new_request_id, read_call
from tanagerturn.entry.collect import REQUESTS_PATH, handle_collect
from tanagerturn.entry.components import CallerResponse, EntryComponents
from tanagerturn.entry.generations import run_generation
from tanagerturn.entry.large_bodies import LargeBodies
from tanagerturn.entry.lookups import run_lookup
from tanagerturn.entry.patient import existing_response, run_patient
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
    """Responds to callers' requests; each request occupies one server thread.

    Args:
        components: Components of the entry process.
        current_settings: Function that returns the resolved settings in force.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        components: EntryComponents,
        current_settings: Callable[[], ResolvedSettings],
        metrics: EntryMetrics,
    ) -> None:
        self.components = components
        """Components of the entry process."""
        self.current_settings = current_settings
        """Function that returns the resolved settings in force."""
        self.metrics = metrics
        """Metrics of the process."""
        self.running = 0
        """Number of requests whose response is not complete."""
        self.large_bodies = LargeBodies()
        """The large bodies of the requests that are handled now."""
        self.idle = threading.Condition()
        """Guards `running`; notified when `running` reaches 0."""

    def __call__(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Respond to one request (WSGI entry point)."""
        request_id = new_request_id()
        with self.idle:
            self.running += 1
        body_bytes = int(environ.get("CONTENT_LENGTH") or 0)
        is_taken = self.large_bodies.take(body_bytes)
        if is_taken:
            response = self._respond(environ, request_id)
        else:
            response = self._problem_response(make_crowded_problem(environ), request_id)

        def on_closed() -> None:
            if is_taken:
                self.large_bodies.give_back(body_bytes)
            self._on_response_closed()

        body = _Body(response.body, on_closed)
        try:
            self.metrics.responses.labels(status=str(response.status)).inc()
            start_response(_status_line(response.status), response.headers)
        except BaseException:
            body.close()
            raise
        return body

    def wait_idle(self, timeout_s: float) -> int:
        """Wait until no request runs.

        Args:
            timeout_s: Longest wait in seconds.

        Returns:
            Number of requests that still run; 0 unless the wait timed out.
        """
        with self.idle:
            self.idle.wait_for(lambda: self.running == 0, timeout_s)
            return self.running

    def _on_response_closed(self) -> None:
        with self.idle:
            self.running -= 1
            if self.running == 0:
                self.idle.notify_all()

    def _respond(self, environ: Any, request_id: str) -> CallerResponse:
        try:
            resolved_settings = self.current_settings()
            if not resolved_settings.number:
                raise make_not_ready_problem(environ)
            if environ["PATH_INFO"].startswith(REQUESTS_PATH):
                return handle_collect(self.components, environ, resolved_settings)
            call = read_call(environ, resolved_settings)
            log_access(call, wall_ms())
            return self._run(call)
        except ProblemError as error:
            return self._problem_response(error, request_id)
        except Exception:
            log.bind(request_id=request_id).exception(
                "Request failed with an unexpected error."
            )
            detail = "The request failed inside this process."
            return self._problem_response(
                ProblemError(500, "Internal error", detail, "outcome_unknown", "run"),
                request_id,
            )

    def _run(self, call: CallerCall) -> CallerResponse:
        try:
            admitted = self.components.gate.admit(call, time.monotonic())
        except ProblemError as error:
            self.metrics.refusals.labels(step=error.step).inc()
            return self._refuse_unless_recorded(call, error)
        try:
            response = self._dispatch(call)
        except BaseException:
            admitted.release()
            raise

        def release() -> None:
            admitted.tokens = response.generated.tokens
            admitted.release()

        body = _Body(response.body, release)
        return CallerResponse(
            response.status, response.headers, body, response.generated
        )

    def _dispatch(self, call: CallerCall) -> CallerResponse:
        if call.kind == PATIENT:
            return run_patient(self.components, call)
        if call.is_model:
            return run_generation(self.components, call)
        if call.kind == NOT_REPEATABLE:
            return run_at_most_once(self.components, call)
        return run_lookup(self.components, call)

    def _refuse_unless_recorded(
        self, call: CallerCall, error: ProblemError
    ) -> CallerResponse:
        """Return the response recorded for the request's idempotency key.

        Raises:
            ProblemError: No record has the key, so `error` is raised; its outcome is
                set to unknown if the record can't be read.
        """
        if call.kind == IDEMPOTENT or not call.idempotency_key:
            raise error
        account = ClientAccountId(call.account.name)
        found = self.components.ledger.read(
            account, IdempotencyKey(call.idempotency_key)
        )
        if found.is_error():
            error.outcome = OUTCOME_UNKNOWN
            raise error
        if found.ok is None:
            raise error
        return existing_response(call, found.ok.record)

    def _problem_response(self, error: ProblemError, request_id: str) -> CallerResponse:
        problem = make_problem_response(error, request_id)
        return CallerResponse(problem.status, problem.headers, [problem.body])


def make_not_ready_problem(environ: Any) -> ProblemError:
    """Return the refusal of a request that arrived before any settings."""
    return _make_refusal(environ, "Not ready", "This entry host has no settings yet.")


def make_crowded_problem(environ: Any) -> ProblemError:
    """Return the refusal of a large request while too many others are handled."""
    detail = "Too many large requests are handled here."
    return _make_refusal(environ, "Not taken", detail)


def _make_refusal(environ: Any, title: str, detail: str) -> ProblemError:
    """Return the refusal of a request whose record was not looked up.

    For a request with an idempotency key the outcome is unknown: an earlier request
    with that key may have a record.
    """
    outcome = OUTCOME_UNKNOWN if environ.get("HTTP_IDEMPOTENCY_KEY") else NOT_RUN
    return ProblemError(503, title, detail, outcome, "receive", READY_RETRY_S)


class _Body:
    """Response body that calls a function when the server closes the body."""

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
