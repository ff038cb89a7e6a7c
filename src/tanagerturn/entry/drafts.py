"""Requests to model engines: relayed streams that go on after a loss."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

import orjson

from tanagerturn.entry.parts import (
    Attempts,
    CallerResponse,
    Deadline,
    Parts,
    backend_headers,
)
from tanagerturn.entry.problems import ProblemError
from tanagerturn.entry.sse import EngineEvent, EventReader, MalformedEventError
from tanagerturn.entry.transport import (
    BackendStream,
    BrokenCallError,
    NothingSentError,
)
from tanagerturn.serving.backends.messages import BackendId, Completion

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tanagerturn.entry.callers import CallerCall
    from tanagerturn.serving.routing.messages import RouteDecision

ATTEMPT_LIMIT: Final = 5
NO_BACKEND_WAIT_S: Final = 0.25
EVENT_STREAM: Final = "text/event-stream"


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
        self.attempts = Attempts()
        """Attempts so far."""
        self.tokens = 0
        """Tokens delivered."""
        self.text: list[str] = []
        """Their text."""
        self.usage: dict[str, int] = {}
        """Usage as the last engine told."""
        self.finished = False
        """The whole answer was read."""
        self.first_token_s = 0.0
        """Monotonic time of the first token, in seconds."""

    def events(self) -> Iterator[EngineEvent]:
        """Yield the events of the answer, each token once and in order.

        Raises:
            ProblemError: No engine could finish it.
        """
        last = "no attempt"
        while self.attempts.count < ATTEMPT_LIMIT and self.deadline.left_s() > 0:
            decision = self._choose()
            self.attempts.count += 1
            started_s = time.monotonic()
            try:
                yield from self._attempt(decision)
            except (NothingSentError, BrokenCallError, MalformedEventError) as error:
                self.parts.ended(self.call, decision.backend_id, failed=True)
                self.attempts.excluded.add(decision.backend_id)
                last = str(error)
                continue
            except GeneratorExit:
                self.parts.ended(self.call, decision.backend_id)
                self.cancel(decision)
                raise
            self._report(decision.backend_id, started_s)
            return
        raise ProblemError(502, "Engines failed", last, step="stream", retry_after_s=1)

    def cancel(self, decision: RouteDecision) -> None:
        """Tell an engine that the caller has gone."""
        body = orjson.dumps({"request_id": self.call.request_id})
        headers = {"Content-Type": "application/json"}
        try:
            self.parts.transport.call(
                decision.address, "POST", "/engine/cancel", headers, body, 1.0
            )
        except (NothingSentError, BrokenCallError):
            return

    def _choose(self) -> RouteDecision:
        while True:
            try:
                return self.parts.choose(
                    self.call,
                    frozenset(self.attempts.excluded),
                    model=str(self.call.payload["model"]),
                )
            except ProblemError:
                # A stream that has begun waits for an engine within its deadline.
                if not self.tokens or self.deadline.left_s() < NO_BACKEND_WAIT_S:
                    raise
                self.attempts.excluded.clear()
                time.sleep(NO_BACKEND_WAIT_S)

    def _attempt(self, decision: RouteDecision) -> Iterator[EngineEvent]:
        stream = self._open(decision)
        reader = EventReader()
        try:
            for chunk in stream.chunks():
                for event in reader.feed(chunk):
                    if self._take(event):
                        yield event
            if not self.finished:
                raise BrokenCallError("read stream", decision.address, "ended early")
        finally:
            stream.close()

    def _open(self, decision: RouteDecision) -> BackendStream:
        left_s = self.deadline.left_s()
        headers = backend_headers(self.call, self.attempts.count, left_s)
        payload: dict[str, Any] = {**self.call.payload, "stream": True}
        if self.tokens:
            headers["X-Resume-From"] = str(self.tokens)
            payload["continuation"] = "".join(self.text)
        headers["content-type"] = "application/json"
        stream = self.parts.transport.open_stream(
            decision.address,
            "POST",
            self.call.path,
            headers,
            orjson.dumps(payload),
            left_s,
        )
        if stream.status != 200:
            detail = stream.response.read(4096).decode("utf-8", "replace")
            stream.close()
            reason = f"status {stream.status}: {detail}"
            raise BrokenCallError("open stream", decision.address, reason)
        return stream

    def _take(self, event: EngineEvent) -> bool:
        """Count an event; False for one that the caller must not get."""
        if event.done:
            self.finished = True
            return True
        if event.attempt is not None and event.attempt != self.attempts.count:
            return False
        if event.usage:
            self.usage = event.usage
        if event.offset is None or not event.tokens:
            return True
        if event.offset != self.tokens:
            raise MalformedEventError(
                f"token {event.offset} where {self.tokens} was due"
            )
        if not self.tokens:
            self.first_token_s = time.monotonic()
        self.tokens += event.tokens
        self.text.append(event.text)
        return True

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


def run_draft(parts: Parts, call: CallerCall) -> CallerResponse:
    """Run a request to a model engine.

    Returns:
        A stream of events, or the whole answer.

    Raises:
        ProblemError: No engine could begin, or finish an answer not streamed.
    """
    run = DraftRun(parts, call)
    events = run.events()
    if call.stream:
        first = next(events)
        headers = [
            ("Content-Type", EVENT_STREAM),
            ("Cache-Control", "no-store"),
            ("X-Request-Id", call.request_id),
        ]
        return CallerResponse(200, headers, _relay(first, events))
    for _ in events:
        pass
    body = whole_answer(run)
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("X-Request-Id", call.request_id),
    ]
    return CallerResponse(200, headers, [body])


def whole_answer(run: DraftRun) -> bytes:
    """Return the answer of a finished run as one completion."""
    text = "".join(run.text)
    is_chat = run.call.path.endswith("/chat/completions")
    content: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if is_chat:
        content["message"] = {"role": "assistant", "content": text}
    else:
        content["text"] = text
    return orjson.dumps(
        {
            "id": run.call.request_id,
            "object": "chat.completion" if is_chat else "text_completion",
            "model": run.call.payload["model"],
            "choices": [content],
            "usage": run.usage,
        }
    )


def _relay(first: EngineEvent, events: Iterator[EngineEvent]) -> Iterator[bytes]:
    try:
        yield first.raw
        for event in events:
            yield event.raw
    except ProblemError as error:
        # The head is sent: a caller learns of the end by an error event.
        problem = {"error": {"message": error.detail, "step": error.step}}
        yield b"event: error\ndata: " + orjson.dumps(problem) + b"\n\n"
    finally:
        events.close()  # type: ignore[attr-defined]
