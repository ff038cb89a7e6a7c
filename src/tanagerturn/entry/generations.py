"""Responses for callers of model engines: relayed streams or complete responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import orjson

from tanagerturn.entry.components import CallerResponse, EntryComponents
from tanagerturn.entry.generation_run import (
    JSON_TYPE,
    GenerationRun,
    RejectedByEngineError,
)
from tanagerturn.entry.transport import BackendResponse
from tanagerturn.shared.problems import ProblemError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from tanagerturn.entry.callers import CallerCall

EVENT_STREAM: Final = "text/event-stream"


def run_generation(components: EntryComponents, call: CallerCall) -> CallerResponse:
    """Run a request to a model engine without a durable record.

    Returns:
        A stream of events, or the complete response.

    Raises:
        ProblemError: No engine began the stream, or completed a response that is
            not streamed.
    """
    run = GenerationRun(components, call)
    try:
        if call.stream:
            events = run.events()
            return stream_response(run, relay(next(events), events))
        for _ in run.events():
            pass
    except RejectedByEngineError as error:
        return complete_response(run, error.response)
    return complete_response(run, make_completion(run))


def stream_response(run: GenerationRun, body: Iterable[bytes]) -> CallerResponse:
    """Return the response that streams the events of a run."""
    headers = [
        ("Content-Type", EVENT_STREAM),
        ("Cache-Control", "no-store"),
        ("X-Request-Id", run.call.request_id),
    ]
    return CallerResponse(200, headers, body, run.generated)


def complete_response(run: GenerationRun, response: BackendResponse) -> CallerResponse:
    """Return a response that is not streamed."""
    headers = [
        *response.headers,
        ("Content-Length", str(len(response.body))),
        ("X-Request-Id", run.call.request_id),
    ]
    return CallerResponse(response.status, headers, [response.body], run.generated)


def make_completion(run: GenerationRun) -> BackendResponse:
    """Return the response of a finished run as one completion object."""
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
    return BackendResponse(200, [("Content-Type", JSON_TYPE)], body)


def relay(first: bytes, events: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the events of a run; a failure after the first event is sent as event."""
    try:
        yield first
        yield from events
    except ProblemError as error:
        yield error_event(error)
    finally:
        events.close()  # type: ignore[attr-defined]


def error_event(error: ProblemError) -> bytes:
    """Return the error event that ends a stream whose headers were already sent."""
    problem = {
        "error": {
            "message": error.detail,
            "step": error.step,
            "outcome": error.outcome,
        }
    }
    return b"event: error\ndata: " + orjson.dumps(problem) + b"\n\n"
