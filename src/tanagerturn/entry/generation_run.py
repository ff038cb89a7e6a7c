"""Runs one request to a model engine and resumes it on other engines after losses."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

import orjson

from tanagerturn.entry.components import (
    Attempts,
    Deadline,
    EntryComponents,
    TokenCount,
    backend_headers,
)
from tanagerturn.entry.sse import EngineEvent, EventReader, MalformedEventError
from tanagerturn.entry.transport import (
    BackendRequest,
    BackendResponse,
    BackendStream,
    BrokenCallError,
    NothingSentError,
)
from tanagerturn.schema.serving_pb2 import PATIENT
from tanagerturn.serving.backends.messages import BackendId, Completion, RequestId
from tanagerturn.serving.reclaims.messages import NO_HANDLE, RunningRequest
from tanagerturn.serving.retries.backoff import backoff_s
from tanagerturn.serving.routing.messages import Estimate, RouteDecision
from tanagerturn.serving.streams.assembler import OutOfOrderError, StreamAssembler
from tanagerturn.serving.streams.chunks import Chunk, LossCause
from tanagerturn.serving.streams.stalls import make_stall_limits, silence_limit_s
from tanagerturn.shared.problems import NOT_RUN, OUTCOME_UNKNOWN, ProblemError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tanagerturn.entry.callers import CallerCall
    from tanagerturn.entry.migrations import MigrationTarget

ATTEMPT_LIMIT: Final = 5
PATIENT_ATTEMPT_LIMIT: Final = 1000
NO_BACKEND_WAIT_S: Final = 0.25
CANCEL_TIMEOUT_S: Final = 1.0
MAX_DETAIL_BYTES: Final = 4096
JSON_TYPE: Final = "application/json"

AttemptError = (
    NothingSentError,
    BrokenCallError,
    MalformedEventError,
    OutOfOrderError,
)


class MigratingError(Exception):
    """The stream leaves its engine and resumes at another one."""


class RejectedByEngineError(Exception):
    """The engine rejected the request as invalid; no other engine would accept it.

    Args:
        response: The engine's response.
    """

    def __init__(self, response: BackendResponse) -> None:
        super().__init__(f"status {response.status}")
        self.response = response
        """The engine's response."""


class GenerationRun:
    """One request to a model engine, over all its attempts.

    Args:
        components: Components of the entry process.
        call: The caller's request.
    """

    def __init__(self, components: EntryComponents, call: CallerCall) -> None:
        self.components = components
        """Components of the entry process."""
        self.call = call
        """The caller's request."""
        self.deadline = Deadline(time.monotonic() + call.deadline_ms / 1000)
        """Deadline of the request."""
        self.stream = StreamAssembler(call.request_id)
        """Assembles the chunks of all attempts to one stream of tokens."""
        self.attempts = Attempts()
        """Attempts since the last attempt that delivered a token."""
        self.sent = False
        """Whether some attempt may have sent bytes, and the request may have run."""
        self.usage: dict[str, int] = {}
        """Token counts that the last engine reported; empty before the first report."""
        self.usage_attempt = 0
        """Number of the attempt that reported `usage`."""
        self.resumed_from = 0
        """Number of tokens delivered before the current attempt."""
        self.finished = False
        """Whether the response was read to its end."""
        self.first_token_s = 0.0
        """Monotonic time of the first token, in seconds; 0 before the first
        token."""
        self.backend_id = BackendId("")
        """Engine of the current attempt; empty before the first."""
        self.migration_target: MigrationTarget | None = None
        """Engine and KV cache with which the stream resumes, set by `MovesActor`; None
        if the stream stays at its engine."""
        self.kv_handle = NO_HANDLE
        """Handle of the imported KV cache for the next attempt, or `NO_HANDLE`."""
        self.generated = TokenCount()
        """Count of tokens delivered, charged to the client account's limit."""
        service = call.service
        self.stall_limits = make_stall_limits(
            service.first_token_target_ms, service.token_target_ms
        )
        """Longest allowed times without bytes from an engine."""

    @property
    def tokens(self) -> int:
        """Return the number of tokens delivered."""
        return self.stream.delivered

    def events(self) -> Iterator[bytes]:
        """Yield the events of the response, each token once and in order.

        Raises:
            ProblemError: No engine completed the response.
            RejectedByEngineError: An engine rejected the request as invalid.
        """
        self.components.generations.add(self)
        try:
            yield from self._events()
        finally:
            self.components.generations.remove(self)

    def make_running_request(self, now_ms: int) -> RunningRequest:
        """Return the state of the stream that reclaim planning needs.

        Args:
            now_ms: Current wall clock time in milliseconds.
        """
        prompt = self.call.prompt
        return RunningRequest(
            request_id=RequestId(self.call.request_id),
            backend_id=self.backend_id,
            priority=self.call.priority,
            kind=self.call.kind,
            prompt_tokens=prompt.tokens,
            done_tokens=self.tokens,
            left_tokens=max(1, prompt.output_tokens - self.tokens),
            token_ms=float(self.call.service.token_target_ms),
            deadline_ms=now_ms + round(self.deadline.remaining_s() * 1000),
        )

    def _events(self) -> Iterator[bytes]:
        last_error = "no attempt"
        is_patient = self.call.kind == PATIENT
        max_attempts = PATIENT_ATTEMPT_LIMIT if is_patient else ATTEMPT_LIMIT
        while self.attempts.count < max_attempts and self.deadline.remaining_s() > 0:
            decision = self._next_engine()
            self.backend_id = decision.backend_id
            self._count_attempt()
            started_s = time.monotonic()
            try:
                yield from self._attempt(decision)
            except AttemptError as error:
                last_error = str(error)
                self._on_attempt_failed(decision, error)
                continue
            except MigratingError:
                self._abandon_attempt(decision)
                continue
            except GeneratorExit:
                self.components.end_attempt(self.call, decision.backend_id)
                self.cancel(decision)
                raise
            except RejectedByEngineError:
                self.components.end_attempt(self.call, decision.backend_id)
                raise
            self._report_completion(decision.backend_id, started_s)
            return
        raise ProblemError(
            502, "Engines failed", last_error, self.outcome(), "stream", retry_after_s=1
        )

    def outcome(self) -> str:
        """Return the outcome to report when the request ends without a response."""
        return OUTCOME_UNKNOWN if self.sent else NOT_RUN

    def cancel(self, decision: RouteDecision) -> None:
        """Cancel the request at an engine; errors of the call are ignored."""
        body = orjson.dumps({"request_id": self.call.request_id})
        headers = {"Content-Type": JSON_TYPE}
        request = BackendRequest(
            decision.address, "POST", "/engine/cancel", headers, body, CANCEL_TIMEOUT_S
        )
        try:
            self.components.transport.call(request)
        except (NothingSentError, BrokenCallError):
            return

    def _abandon_attempt(self, decision: RouteDecision) -> None:
        """End the attempt at a leaving engine; the next one resumes elsewhere."""
        self.components.end_attempt(self.call, decision.backend_id)
        self.attempts.excluded.add(decision.backend_id)
        self.cancel(decision)
        self.stream.resume(LossCause.RECLAIM)
        self.components.metrics.resumed.labels(cause=LossCause.RECLAIM.value).inc()

    def _next_engine(self) -> RouteDecision:
        """Return the engine that imported the KV cache, or choose one."""
        migration_target, self.migration_target = self.migration_target, None
        self.kv_handle = NO_HANDLE
        if migration_target is not None and migration_target.importer is not None:
            address = self.components.start_attempt(
                self.call, migration_target.importer
            )
            if address:
                self.kv_handle = migration_target.handle
                estimate = Estimate(migration_target.importer)
                reason = "holds the imported KV cache"
                return RouteDecision(
                    migration_target.importer, address, reason, estimate
                )
        return self._choose()

    def _choose(self) -> RouteDecision:
        while True:
            try:
                return self.components.choose(
                    self.call,
                    frozenset(self.attempts.excluded),
                    model=str(self.call.payload["model"]),
                )
            except ProblemError as error:
                # Patient requests and begun streams wait until an engine is available.
                must_wait = self.tokens or self.call.kind == PATIENT
                if self.attempts.excluded:
                    self.attempts.excluded.clear()
                elif not must_wait or self.deadline.remaining_s() < NO_BACKEND_WAIT_S:
                    error.outcome = self.outcome()
                    raise
                else:
                    time.sleep(NO_BACKEND_WAIT_S)

    def _count_attempt(self) -> None:
        """Count the attempt; the count restarts after an attempt with a token."""
        if self.tokens > self.resumed_from:
            self.attempts.count = 0
        self.attempts.count += 1

    def _on_attempt_failed(self, decision: RouteDecision, error: Exception) -> None:
        cause = self._loss_cause(decision, error)
        failed = cause is not LossCause.RECLAIM
        self.components.end_attempt(self.call, decision.backend_id, failed=failed)
        self.attempts.excluded.add(decision.backend_id)
        if not isinstance(error, NothingSentError):
            self.sent = True
        if not isinstance(error, NothingSentError | BrokenCallError):
            self.cancel(decision)
        self.stream.resume(cause)
        self.components.metrics.resumed.labels(cause=cause.value).inc()
        if not self.tokens:
            wait_s = backoff_s(self.attempts.count, self.components.random)
            time.sleep(min(wait_s, self.deadline.remaining_s()))

    def _loss_cause(self, decision: RouteDecision, error: Exception) -> LossCause:
        if self.components.is_leaving(decision.backend_id):
            return LossCause.RECLAIM
        if isinstance(error, OutOfOrderError | MalformedEventError):
            return LossCause.OUT_OF_ORDER
        if "timed out" in str(error):
            return LossCause.STALL
        return LossCause.ENGINE_LOST

    def _attempt(self, decision: RouteDecision) -> Iterator[bytes]:
        stream = self._open(decision)
        self.sent = True
        self.resumed_from = self.tokens
        reader = EventReader()
        has_token_limit = False
        try:
            for chunk in stream.chunks():
                for event in reader.feed(chunk):
                    yield from self._process_event(event)
                if self.migration_target is not None and not self.finished:
                    raise MigratingError
                if not has_token_limit and self.tokens > self.resumed_from:
                    remaining_s = self.deadline.remaining_s()
                    stream.set_silence_limit(
                        silence_limit_s(self.stall_limits, True, remaining_s)
                    )
                    has_token_limit = True
            if not self.finished:
                raise BrokenCallError("read stream", decision.address, "ended early")
        finally:
            stream.close()

    def _open(self, decision: RouteDecision) -> BackendStream:
        remaining_s = self.deadline.remaining_s()
        headers = backend_headers(self.call, self.stream.attempt, remaining_s)
        payload: dict[str, Any] = {**self.call.payload, "stream": True}
        if self.tokens:
            headers["X-Resume-From"] = str(self.tokens)
            payload["continuation"] = self.stream.text
        if self.kv_handle:
            headers["X-Kv-Handle"] = self.kv_handle
        headers["content-type"] = JSON_TYPE
        request = BackendRequest(
            decision.address,
            "POST",
            self.call.path,
            headers,
            orjson.dumps(payload),
            silence_limit_s(self.stall_limits, False, remaining_s),
        )
        stream = self.components.transport.open_stream(request)
        if stream.status != 200:
            self._raise_rejection(stream, decision)
        return stream

    def _raise_rejection(self, stream: BackendStream, decision: RouteDecision) -> None:
        body = stream.read_whole().body
        if 400 <= stream.status < 500 and stream.status not in (404, 408, 409, 429):
            headers = [("Content-Type", JSON_TYPE)]
            raise RejectedByEngineError(BackendResponse(stream.status, headers, body))
        detail = body[:MAX_DETAIL_BYTES].decode("utf-8", "replace")
        reason = f"status {stream.status}: {detail}"
        raise BrokenCallError("open stream", decision.address, reason)

    def _process_event(self, event: EngineEvent) -> Iterator[bytes]:
        """Yield the events that the caller can receive once this event has arrived."""
        if event.done:
            self._check_complete()
            self.finished = True
            yield event.raw
            return
        chunk = self._make_chunk(event)
        if not self.stream.is_current(chunk):
            self.stream.accept(chunk)
            self.components.metrics.dropped_chunks.labels(reason="other").inc()
            return
        if event.abort_reason:
            raise MalformedEventError(f"the engine ended it: {event.abort_reason}")
        if event.usage:
            self.usage = event.usage
            self.usage_attempt = chunk.attempt
            self._count_recomputed(event.usage)
        if not event.tokens:
            yield event.raw
            return
        ready_chunks = self.stream.accept(chunk)
        if not ready_chunks:
            self.components.metrics.dropped_chunks.labels(reason="not_due").inc()
        for each in ready_chunks:
            if not self.first_token_s:
                self.first_token_s = time.monotonic()
            self.generated.tokens += each.tokens
            yield each.raw

    def _check_complete(self) -> None:
        """Check that the ended stream delivered every generated token."""
        if self.usage_attempt != self.stream.attempt:
            raise OutOfOrderError("the stream ended without its usage")
        generated = self.usage.get("completion_tokens", 0)
        if generated not in (self.tokens, self.tokens - self.resumed_from):
            raise OutOfOrderError(f"{generated} tokens were made, {self.tokens} came")

    def _make_chunk(self, event: EngineEvent) -> Chunk:
        attempt, offset = event.attempt, event.offset
        return Chunk(
            request_id=event.request_id or self.call.request_id,
            attempt=self.stream.attempt if attempt is None else attempt,
            offset=self.tokens if offset is None else offset,
            tokens=event.tokens,
            text=event.text,
            raw=event.raw,
        )

    def _count_recomputed(self, usage: dict[str, int]) -> None:
        cause = self.stream.cause
        tokens = usage.get("recomputed_tokens", 0)
        if cause is None or not tokens:
            return
        self.stream.count_recomputed(tokens)
        self.components.metrics.recomputed_tokens.labels(cause=cause.value).inc(tokens)

    def _report_completion(self, backend_id: BackendId, started_s: float) -> None:
        now_s = time.monotonic()
        first_token_at_s = (
            self.first_token_s if self.first_token_s > started_s else now_s
        )
        prompt_tokens = self.usage.get("prompt_tokens", 0)
        cached_tokens = self.usage.get("cached_tokens", 0)
        completion = Completion(
            duration_ms=round((now_s - started_s) * 1000),
            first_token_ms=round((first_token_at_s - started_s) * 1000),
            computed_prompt_tokens=max(0, prompt_tokens - cached_tokens),
            output_tokens=self.tokens,
        )
        self.components.end_attempt(self.call, backend_id, completion=completion)
