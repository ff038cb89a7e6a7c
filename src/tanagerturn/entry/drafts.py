"""What callers of model engines get: relayed streams or whole answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import orjson

from tanagerturn.entry.draft_run import JSON_TYPE, DraftRun, RejectedByEngineError
from tanagerturn.entry.parts import CallerResponse, Parts
from tanagerturn.entry.transport import BackendAnswer
from tanagerturn.shared.problems import ProblemError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from tanagerturn.entry.callers import CallerCall

EVENT_STREAM: Final = "text/event-stream"


def run_draft(parts: Parts, call: CallerCall) -> CallerResponse:
    """Run a request to a model engine that has no record.

    Returns:
        A stream of events, or the whole answer.

    Raises:
        ProblemError: No engine could begin, or finish an answer not streamed.
    """
    run = DraftRun(parts, call)
    try:
        if call.stream:
            events = run.events()
            return stream_response(run, relay(next(events), events))
        for _ in run.events():
            pass
    except RejectedByEngineError as error:
        return whole_response(run, error.answer)
    return whole_response(run, whole_answer(run))


def stream_response(run: DraftRun, body: Iterable[bytes]) -> CallerResponse:
    """Return the response that streams a run's events."""
    headers = [
        ("Content-Type", EVENT_STREAM),
        ("Cache-Control", "no-store"),
        ("X-Request-Id", run.call.request_id),
    ]
    return CallerResponse(200, headers, body, run.made)


def whole_response(run: DraftRun, answer: BackendAnswer) -> CallerResponse:
    """Return an answer that is not streamed."""
    headers = [
        *answer.headers,
        ("Content-Length", str(len(answer.body))),
        ("X-Request-Id", run.call.request_id),
    ]
    return CallerResponse(answer.status, headers, [answer.body], run.made)


def whole_answer(run: DraftRun) -> BackendAnswer:
    """Return the answer of a finished run as one completion."""
    is_chat = run.call.path.endswith("/chat/completions")
    content: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if is_chat:
        content["message"] = {"role": "assistant", "content": run.stream.text}
    else:
        content["text"] = run.stream.text
    body = orjson.dumps(
        {
            "id": run.call.request_id,
            "object": "chat.completion" if is_chat else "text_completion",
            "model": run.call.payload["model"],
            "choices": [content],
            "usage": run.usage,
        }
    )
    return BackendAnswer(200, [("Content-Type", JSON_TYPE)], body)


def relay(first: bytes, events: Iterator[bytes]) -> Iterator[bytes]:
    """Yield a run's events; a failure in the middle is an error event."""
    try:
        yield first
        yield from events
    except ProblemError as error:
        yield error_event(error)
    finally:
        events.close()  # type: ignore[attr-defined]


def error_event(error: ProblemError) -> bytes:
    """Return the event by which a caller learns of the end: the head is sent."""
    problem = {
        "error": {
            "message": error.detail,
            "step": error.step,
            "outcome": error.outcome,
        }
    }
    return b"event: error\ndata: " + orjson.dumps(problem) + b"\n\n"
