"""Selects the events of a stream that its caller does not have yet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.backends.exchange import ResponseError
from tanagerturn.gateway.event_stream import EventSplitter
from tanagerturn.gateway.http_reader import MIN_PART_BYTES

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from tanagerturn.gateway.messages import RawHeaders
    from tanagerturn.gateway.request_run import RequestRun

STREAM_LIMIT_BYTES: Final = 16 * 1024 * 1024
"""Maximum size of a stream in bytes."""

LENGTH_HEADER: Final = b"content-length"

EVENT_STREAM: Final = b"text/event-stream"
"""Content type of streams of events."""


async def new_data(
    run: RequestRun,
    headers: RawHeaders,
    read_part: Callable[[], Awaitable[bytes]],
) -> AsyncIterator[bytes]:
    """Yield of each part of a stream's body the data that the caller lacks.

    Of a generation or an event stream that is complete events only, and nothing for a
    part that completes none.

    Args:
        run: The request.
        headers: Headers of the response.
        read_part: Returns the next part of the body; empty at its end.

    Raises:
        ResponseError: The stream is too large, malformed or incomplete.
    """
    has_events = run.request.prompt is not None or _is_event_stream(headers)
    if run.progress.event_count and not has_events:
        raise ResponseError("the response that continues a stream has no events")
    splitter = EventSplitter()
    size = 0
    while body_part := await read_part():
        size += max(len(body_part), MIN_PART_BYTES)
        if size > STREAM_LIMIT_BYTES:
            raise ResponseError(
                f"the stream exceeds the limit of {STREAM_LIMIT_BYTES} bytes"
            )
        if not has_events:
            yield body_part
            continue
        try:
            events = splitter.feed(body_part)
            data = b"".join(e.data for e in events if run.progress.accept(e))
        except ValueError as error:
            raise ResponseError(str(error)) from error
        yield data
    if splitter.partial_event:
        raise ResponseError("the stream ended in the middle of an event")


def stream_headers(headers: RawHeaders) -> RawHeaders:
    """Return the headers of a stream without a length, so that it is chunked."""
    return [(name, value) for name, value in headers if name.lower() != LENGTH_HEADER]


def _is_event_stream(headers: RawHeaders) -> bool:
    return any(
        name.lower() == b"content-type" and value.lower().startswith(EVENT_STREAM)
        for name, value in headers
    )
