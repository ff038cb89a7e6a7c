"""One request to a model engine, over as many engines as it takes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

import orjson

from tanagerturn.entry.parts import (
    Attempts,
    Deadline,
    Parts,
    TokenCount,
    backend_headers,
)
from tanagerturn.entry.sse import EngineEvent, EventReader, MalformedEventError
from tanagerturn.entry.transport import (
    BackendAnswer,
    BackendRequest,
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
    from tanagerturn.entry.moves import Moved

ATTEMPT_LIMIT: Final = 5
PATIENT_ATTEMPT_LIMIT: Final = 1000
NO_BACKEND_WAIT_S: Final = 0.25
CANCEL_TIMEOUT_S: Final = 1.0
JSON_TYPE: Final = "application/json"

AttemptError = (
    NothingSentError,
    BrokenCallError,
    MalformedEventError,
    OutOfOrderError,
)


class MovedAwayError(Exception):
    """The stream is to go on at another engine."""


class RejectedByEngineError(Exception):
    """The engine refuses the request itself; no other engine would take it.

    Args:
        answer: The engine's answer.
    """

    def __init__(self, answer: BackendAnswer) -> None:
        super().__init__(f"status {answer.status}")
        self.answer = answer
        """The engine's answer."""


class DraftRun:
    """One request to a model engine, over as many attempts as it takes.

    Args:
        parts: Parts of the entry process.
        call: The caller's request.
    """

    def __init__(self, parts: Parts, call: CallerCall) -> None:
        self.parts = parts
        """Parts of the entry process."""
        self.call = call
        """The caller's request."""
        self.deadline = Deadline(time.monotonic() + call.deadline_ms / 1000)
        """End of the request's time."""
        self.stream = StreamAssembler(call.request_id)
        """Tokens so far."""
        self.attempts = Attempts()
        """Attempts so far."""
        self.sent = False
        """Bytes of some attempt left."""
        self.usage: dict[str, int] = {}
        """Usage as the last engine told."""
        self.usage_attempt = 0
        """Attempt that told it."""
        self.resumed_from = 0
        """Tokens delivered before the present attempt."""
        self.finished = False
        """The whole answer was read."""
        self.first_token_s = 0.0
        """Monotonic time of the first token, in seconds."""
        self.backend_id = BackendId("")
        """Engine of the present attempt."""
        self.moved: Moved | None = None
        """Where the stream is to go on; set by the moves actor."""
        self.kv_handle = NO_HANDLE
        """Imported KV cache that the next attempt can use."""
        self.made = TokenCount()
        """Tokens delivered, for the account's limit."""
        service = call.service
        self.stalls = make_stall_limits(
            service.first_token_target_ms, service.token_target_ms
        )
        """How long an engine may be silent."""

    @property
    def tokens(self) -> int:
        """Return the tokens delivered."""
        return self.stream.delivered

    def events(self) -> Iterator[bytes]:
        """Yield the events of the answer, each token once and in order.

        Raises:
            ProblemError: No engine could finish it.
            RejectedByEngineError: The engine refuses the request itself.
        """
        self.parts.drafts.add(self)
        try:
            yield from self._events()
        finally:
            self.parts.drafts.remove(self)

    def describe(self, now_ms: int) -> RunningRequest:
        """Return what deciding about a reclaim has to know of the stream."""
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
            deadline_ms=now_ms + round(self.deadline.left_s() * 1000),
        )

    def _events(self) -> Iterator[bytes]:
        last = "no attempt"
        patient = self.call.kind == PATIENT
        limit = PATIENT_ATTEMPT_LIMIT if patient else ATTEMPT_LIMIT
        while self.attempts.count < limit and self.deadline.left_s() > 0:
            decision = self._next_engine()
            self.backend_id = decision.backend_id
            self._count_attempt()
            started_s = time.monotonic()
            try:
                yield from self._attempt(decision)
            except AttemptError as error:
                last = str(error)
                self._lost(decision, error)
                continue
            except MovedAwayError:
                self._leave(decision)
                continue
            except GeneratorExit:
                self.parts.ended(self.call, decision.backend_id)
                self.cancel(decision)
                raise
            except RejectedByEngineError:
                self.parts.ended(self.call, decision.backend_id)
                raise
            self._report(decision.backend_id, started_s)
            return
        raise ProblemError(
            502, "Engines failed", last, self.outcome(), "stream", retry_after_s=1
        )

    def outcome(self) -> str:
        """Return what is known of the request when it ends without an answer."""
        return OUTCOME_UNKNOWN if self.sent else NOT_RUN

    def cancel(self, decision: RouteDecision) -> None:
        """Tell an engine that the caller has gone."""
        body = orjson.dumps({"request_id": self.call.request_id})
        headers = {"Content-Type": JSON_TYPE}
        request = BackendRequest(
            decision.address, "POST", "/engine/cancel", headers, body, CANCEL_TIMEOUT_S
        )
        try:
            self.parts.transport.call(request)
        except (NothingSentError, BrokenCallError):
            return

    def _leave(self, decision: RouteDecision) -> None:
        """Give the leaving engine up; the next attempt goes on elsewhere."""
        self.parts.ended(self.call, decision.backend_id)
        self.attempts.excluded.add(decision.backend_id)
        self.cancel(decision)
        self.stream.resume(LossCause.RECLAIM)
        self.parts.metrics.resumed.labels(cause=LossCause.RECLAIM.value).inc()

    def _next_engine(self) -> RouteDecision:
        """Return the engine that has the KV cache, or choose one."""
        moved, self.moved = self.moved, None
        self.kv_handle = NO_HANDLE
        if moved is not None and moved.importer is not None:
            address = self.parts.place(self.call, moved.importer)
            if address:
                self.kv_handle = moved.handle
                estimate = Estimate(moved.importer)
                reason = "it has the imported KV cache"
                return RouteDecision(moved.importer, address, reason, estimate)
        return self._choose()

    def _choose(self) -> RouteDecision:
        while True:
            try:
                return self.parts.choose(
                    self.call,
                    frozenset(self.attempts.excluded),
                    model=str(self.call.payload["model"]),
                )
            except ProblemError as error:
                # What was accepted or has begun waits for an engine.
                waits = self.tokens or self.call.kind == PATIENT
                if self.attempts.excluded:
                    self.attempts.excluded.clear()
                elif not waits or self.deadline.left_s() < NO_BACKEND_WAIT_S:
                    error.outcome = self.outcome()
                    raise
                else:
                    time.sleep(NO_BACKEND_WAIT_S)

    def _count_attempt(self) -> None:
        """Count the attempts since the last one that brought a token."""
        if self.tokens > self.resumed_from:
            self.attempts.count = 0
        self.attempts.count += 1

    def _lost(self, decision: RouteDecision, error: Exception) -> None:
        cause = self._cause(decision, error)
        failed = cause is not LossCause.RECLAIM
        self.parts.ended(self.call, decision.backend_id, failed=failed)
        self.attempts.excluded.add(decision.backend_id)
        if not isinstance(error, NothingSentError):
            self.sent = True
        if not isinstance(error, NothingSentError | BrokenCallError):
            self.cancel(decision)
        self.stream.resume(cause)
        self.parts.metrics.resumed.labels(cause=cause.value).inc()
        if not self.tokens:
            wait_s = backoff_s(self.attempts.count, self.parts.random)
            time.sleep(min(wait_s, self.deadline.left_s()))

    def _cause(self, decision: RouteDecision, error: Exception) -> LossCause:
        if self.parts.is_leaving(decision.backend_id):
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
        limited = False
        try:
            for chunk in stream.chunks():
                for event in reader.feed(chunk):
                    yield from self._take(event)
                if self.moved is not None and not self.finished:
                    raise MovedAwayError
                if not limited and self.tokens > self.resumed_from:
                    left_s = self.deadline.left_s()
                    stream.set_silence_limit(silence_limit_s(self.stalls, True, left_s))
                    limited = True
            if not self.finished:
                raise BrokenCallError("read stream", decision.address, "ended early")
        finally:
            stream.close()

    def _open(self, decision: RouteDecision) -> BackendStream:
        left_s = self.deadline.left_s()
        headers = backend_headers(self.call, self.stream.attempt, left_s)
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
            silence_limit_s(self.stalls, False, left_s),
        )
        stream = self.parts.transport.open_stream(request)
        if stream.status != 200:
            self._refused(stream, decision)
        return stream

    def _refused(self, stream: BackendStream, decision: RouteDecision) -> None:
        body = stream.response.read(4096)
        stream.close()
        if 400 <= stream.status < 500 and stream.status not in (404, 408, 409, 429):
            headers = [("Content-Type", JSON_TYPE)]
            raise RejectedByEngineError(BackendAnswer(stream.status, headers, body))
        detail = body.decode("utf-8", "replace")
        reason = f"status {stream.status}: {detail}"
        raise BrokenCallError("open stream", decision.address, reason)

    def _take(self, event: EngineEvent) -> Iterator[bytes]:
        """Yield what an event lets the caller have now."""
        if event.done:
            self._check_whole()
            self.finished = True
            yield event.raw
            return
        chunk = self._chunk(event)
        if not self.stream.is_current(chunk):
            self.stream.accept(chunk)
            self.parts.metrics.dropped_chunks.labels(reason="other").inc()
            return
        if event.cut_short:
            raise MalformedEventError(f"the engine ended it: {event.cut_short}")
        if event.usage:
            self.usage = event.usage
            self.usage_attempt = chunk.attempt
            self._count_recomputed(event.usage)
        if not event.tokens:
            yield event.raw
            return
        ready = self.stream.accept(chunk)
        if not ready:
            self.parts.metrics.dropped_chunks.labels(reason="not_due").inc()
        for each in ready:
            if not self.first_token_s:
                self.first_token_s = time.monotonic()
            self.made.tokens += each.tokens
            yield each.raw

    def _check_whole(self) -> None:
        """Check at its end that the stream brought all that the engine made."""
        if self.usage_attempt != self.stream.attempt:
            raise OutOfOrderError("the stream ended without its usage")
        made = self.usage.get("completion_tokens", 0)
        if made not in (self.tokens, self.tokens - self.resumed_from):
            raise OutOfOrderError(f"{made} tokens were made, {self.tokens} came")

    def _chunk(self, event: EngineEvent) -> Chunk:
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
        self.parts.metrics.recomputed_tokens.labels(cause=cause.value).inc(tokens)

    def _report(self, backend_id: BackendId, started_s: float) -> None:
        now_s = time.monotonic()
        first_s = self.first_token_s if self.first_token_s > started_s else now_s
        prompt = self.usage.get("prompt_tokens", 0)
        cached = self.usage.get("cached_tokens", 0)
        completion = Completion(
            duration_ms=round((now_s - started_s) * 1000),
            first_token_ms=round((first_s - started_s) * 1000),
            computed_prompt_tokens=max(0, prompt - cached),
            output_tokens=self.tokens,
        )
        self.parts.ended(self.call, backend_id, completion=completion)
