"""Reads server-sent events of engines from arriving chunks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import orjson

EVENT_LIMIT_BYTES: Final = 1024 * 1024
DONE: Final = b"[DONE]"
FINISH_REASONS: Final = frozenset({"stop", "length", "tool_calls", "content_filter"})
"""Reasons with which an answer is whole."""
FIELD: Final = b"data:"


class MalformedEventError(ValueError):
    """An event is larger than allowed or is not JSON."""


@dataclass(slots=True)
class EngineEvent:
    """One event of an engine's stream."""

    raw: bytes
    """The event as it arrived, with its blank line."""
    done: bool
    """This is the closing `[DONE]`."""
    payload: dict[str, Any]
    """Parsed data; empty for the closing event."""
    offset: int | None = None
    """Index of the event's first token, or None without tokens."""
    tokens: int = 0
    """Number of tokens that the event brings."""
    attempt: int | None = None
    """Attempt that the event belongs to, if it says so."""
    request_id: str = ""
    """Request that the event belongs to, if it says so."""

    @property
    def text(self) -> str:
        """Return the text that the event brings."""
        parts = []
        for choice in self.payload.get("choices", ()):
            text = choice.get("text")
            if text is None:
                text = (choice.get("delta") or {}).get("content")
            if text:
                parts.append(text)
        return "".join(parts)

    @property
    def cut_short(self) -> str:
        """Return the reason when the engine ended the answer before its end."""
        for choice in self.payload.get("choices", ()):
            reason = choice.get("finish_reason")
            if reason and reason not in FINISH_REASONS:
                return str(reason)
        return ""

    @property
    def usage(self) -> dict[str, int] | None:
        """Return the usage of the request, on the last event with data."""
        return self.payload.get("usage")


class EventReader:
    """Cuts arriving bytes into events."""

    def __init__(self) -> None:
        self.rest = b""
        """Bytes of an event that is not whole yet."""

    def feed(self, chunk: bytes) -> list[EngineEvent]:
        """Return the events that a chunk completes.

        Raises:
            MalformedEventError: An event can't be read.
        """
        data = self.rest + chunk if self.rest else chunk
        *blocks, self.rest = data.split(b"\n\n")
        if len(self.rest) > EVENT_LIMIT_BYTES:
            raise MalformedEventError("event is too large")
        return [_read_event(block) for block in blocks if block.strip()]


def _read_event(block: bytes) -> EngineEvent:
    raw = block + b"\n\n"
    data = _data_of(block)
    if data == DONE:
        return EngineEvent(raw, True, {})
    try:
        payload = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise MalformedEventError(str(error)) from error
    if not isinstance(payload, dict):
        raise MalformedEventError("event is not a JSON object")
    event = EngineEvent(raw, False, payload)
    about = payload.get("tanager")
    if isinstance(about, dict):
        event.offset = about.get("offset")
        event.tokens = about.get("tokens", 0)
        event.attempt = about.get("attempt")
        event.request_id = about.get("request_id", "")
    if not _is_well_formed(event):
        raise MalformedEventError("event has a field of a wrong type")
    return event


def _is_well_formed(event: EngineEvent) -> bool:
    """Tell whether the fields that are read have their documented types."""
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


def _data_of(block: bytes) -> bytes:
    # Engines send one line of data an event; the general form is rare.
    if block.startswith(FIELD) and b"\n" not in block:
        return block[len(FIELD) :].strip()
    lines = [line for line in block.split(b"\n") if line.startswith(FIELD)]
    return b"\n".join(line[len(FIELD) :].lstrip() for line in lines)
