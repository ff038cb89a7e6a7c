"""Splits the bytes of a server-sent event stream into events; pure."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

EVENT_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
"""Empty line that ends an event, in each of the three line endings."""

EVENT_ID: Final = re.compile(rb"(?:^|[\r\n])id: ?(\d+)[ \t]*(?=[\r\n])")
"""Line with a numeric event id."""

MAX_EVENT_BYTES: Final = 1024 * 1024
"""Maximum size of one event in bytes; a larger one means a corrupt stream."""


@dataclass(frozen=True)
class StreamEvent:
    """One complete event of a stream."""

    data: bytes
    """Its bytes, including the empty line that ends it."""
    id: int | None
    """Its event id; None if it has none."""


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self) -> None:
        self.partial = b""
        """Bytes of an event that is not yet complete; empty between two events."""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that these bytes complete.

        Raises:
            ValueError: An event is larger than `MAX_EVENT_BYTES`.
        """
        buffered = self.partial + data
        events = []
        start = 0
        for end in EVENT_END.finditer(buffered):
            event = buffered[start : end.end()]
            found = EVENT_ID.search(event)
            events.append(StreamEvent(event, int(found[1]) if found else None))
            start = end.end()
        self.partial = buffered[start:]
        if len(self.partial) > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds the limit of {MAX_EVENT_BYTES} bytes")
        return events


class StreamProgress:
    """Events that a caller has received, over all backend servers of its stream.

    Args:
        last_id: Id of the last event that the caller received before this request;
            None if it starts at the beginning of the stream.
    """

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id
        """Id of the last event that the caller has received; None before the first."""
        self.count = 0
        """Events passed to the caller during this request."""

    def accept(self, event: StreamEvent) -> bool:
        """Tell whether an event has to be passed to the caller, and count it if so.

        Events that the caller already has are skipped; events without an id are always
        passed on.

        Raises:
            ValueError: At least one event before it is missing.
        """
        if event.id is None:
            self.count += 1
            return True
        if self.last_id is not None and event.id <= self.last_id:
            return False
        if self.last_id is not None and event.id != self.last_id + 1:
            raise ValueError(
                f"expected event {self.last_id + 1}, received event {event.id}"
            )
        self.last_id = event.id
        self.count += 1
        return True
