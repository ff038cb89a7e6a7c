"""Incremental parser for the server-sent events of engines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import orjson

EVENT_LIMIT_BYTES: Final = 1024 * 1024
DONE: Final = b"[DONE]"
FINISH_REASONS: Final = frozenset({"stop", "length", "tool_calls", "content_filter"})
"""Finish reasons of a complete response."""
DATA_FIELD: Final = b"data:"


class MalformedEventError(ValueError):
    """An event is too large, is not a JSON object, or has a field of a wrong type."""


@dataclass(slots=True)
class EngineEvent:
    """One event of an engine's stream."""

    raw: bytes
    """The event as received, with the blank line that ends it."""
    done: bool
    """Whether this is the closing event `[DONE]`."""
    payload: dict[str, Any]
    """Parsed JSON data; empty for the closing event."""
    offset: int | None = None
    """Index of the event's first token in the response; None if not given."""
    tokens: int = 0
    """Number of tokens in the event."""
    attempt: int | None = None
    """Number of the attempt that the event names; None if not given."""
    request_id: str = ""
    """Id of the request that the event names; empty if not given."""

    @property
    def text(self) -> str:
        """Return the text of all choices of the event."""
        parts = []
        for choice in self.payload.get("choices", ()):
            text = choice.get("text")
            if text is None:
                text = (choice.get("delta") or {}).get("content")
            if text:
                parts.append(text)
        return "".join(parts)

    @property
    def abort_reason(self) -> str:
        """Return the finish reason of an incomplete response; else empty."""
        for choice in self.payload.get("choices", ()):
            reason = choice.get("finish_reason")
            if reason and reason not in FINISH_REASONS:
                return str(reason)
        return ""

    @property
    def usage(self) -> dict[str, int] | None:
        """Return the token counts of the request; None if the event has none.

        Engines send the token counts in the last event before `[DONE]`.
        """
        return self.payload.get("usage")


class EventReader:
    """Splits received bytes into events."""

    def __init__(self) -> None:
        self.incomplete = b""
        """Received bytes of an incomplete event."""

    def feed(self, chunk: bytes) -> list[EngineEvent]:
        """Return the events that a chunk completes.

        Raises:
            MalformedEventError: An event is malformed or too large.
        """
        data = self.incomplete + chunk if self.incomplete else chunk
        *blocks, self.incomplete = data.split(b"\n\n")
        if len(self.incomplete) > EVENT_LIMIT_BYTES:
            raise MalformedEventError("event is too large")
        return [_read_event(block) for block in blocks if block.strip()]


def _read_event(block: bytes) -> EngineEvent:
    raw = block + b"\n\n"
    data = _event_data(block)
    if data == DONE:
        return EngineEvent(raw, True, {})
    try:
        payload = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise MalformedEventError(str(error)) from error
    if not isinstance(payload, dict):
        raise MalformedEventError("event is not a JSON object")
    event = EngineEvent(raw, False, payload)
    metadata = payload.get("tanager")
    if isinstance(metadata, dict):
        event.offset = metadata.get("offset")
        event.tokens = metadata.get("tokens", 0)
        event.attempt = metadata.get("attempt")
        event.request_id = metadata.get("request_id", "")
    if not _is_well_formed(event):
        raise MalformedEventError("event has a field of a wrong type")
    return event


def _is_well_formed(event: EngineEvent) -> bool:
    """Return whether the fields that this module reads have valid types."""
    offset, attempt, usage = event.offset, event.attempt, event.usage
    choices = event.payload.get("choices", ())
    return (
        (offset is None or (type(offset) is int and offset >= 0))
        and type(event.tokens) is int
        and event.tokens >= 0
        and (attempt is None or type(attempt) is int)
        and isinstance(event.request_id, str)
        and (usage is None or _is_usage(usage))
        and isinstance(choices, list | tuple)
        and all(_is_choice(choice) for choice in choices)
    )


def _is_usage(usage: object) -> bool:
    if not isinstance(usage, dict):
        return False
    return all(count is None or type(count) in (int, dict) for count in usage.values())


def _is_choice(choice: object) -> bool:
    if not isinstance(choice, dict):
        return False
    delta = choice.get("delta")
    if not isinstance(delta, dict | None):
        return False
    texts = (choice.get("text"), delta.get("content") if delta else None)
    return all(text is None or isinstance(text, str) for text in texts)


def _event_data(block: bytes) -> bytes:
    # Fast path: engines normally send one data line per event.
    if block.startswith(DATA_FIELD) and b"\n" not in block:
        return block[len(DATA_FIELD) :].strip()
    lines = [line for line in block.split(b"\n") if line.startswith(DATA_FIELD)]
    return b"\n".join(line[len(DATA_FIELD) :].lstrip() for line in lines)
