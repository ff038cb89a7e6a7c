"""Splits the bytes of a server-sent event stream into events; no I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

from tanagerturn.gateway.http_reader import MIN_PART_BYTES

EVENT_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
"""Empty line that ends an event, in each of the three line endings."""

EVENT_ID: Final = re.compile(rb"(?:^|[\r\n])id: ?(\d+)[ \t]*(?=[\r\n])")
"""Line with a numeric event id."""

MAX_EVENT_BYTES: Final = 256 * 1024
"""Maximum size of one event in bytes; a larger one means a corrupt stream."""

MAX_EVENT_END_BYTES: Final = 4
"""Size of the longest empty line in bytes, with the line ending before it."""


@dataclass(frozen=True)
class StreamEvent:
    """One complete event of a stream."""

    data: bytes
    """Bytes of the event, including the empty line that ends it."""
    id: int | None
    """Event id; None if the event has none."""


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self) -> None:
        self.partial_event = bytearray()
        """Bytes of an event that is not yet complete; empty between two events."""
        self.partial_size = 0
        """Size of `partial_event` in bytes, in which small parts count as
        `MIN_PART_BYTES`."""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that these bytes complete.

        Raises:
            ValueError: An event is larger than `MAX_EVENT_BYTES`.
        """
        # Only the last bytes of the earlier data can be the beginning of an empty line.
        unsearched = max(0, len(self.partial_event) - MAX_EVENT_END_BYTES + 1)
        self.partial_event += data
        events = []
        start = 0
        for end in EVENT_END.finditer(self.partial_event, unsearched):
            event = bytes(self.partial_event[start : end.end()])
            found = EVENT_ID.search(event)
            events.append(StreamEvent(event, int(found[1]) if found else None))
            start = end.end()
        del self.partial_event[:start]
        if events:
            self.partial_size = len(self.partial_event)
        else:
            self.partial_size += max(len(data), MIN_PART_BYTES)
        if self.partial_size > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds the limit of {MAX_EVENT_BYTES} bytes")
        return events


class StreamProgress:
    """Events that a caller has received, over all backend servers of its stream.

    Args:
        last_id: Id of the last event that the caller received before this request;
            None if the request starts at the beginning of the stream.
    """

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id
        """Id of the last event that the caller has received; None before the first."""
        self.event_count = 0
        """Number of events forwarded to the caller during this request."""

    def accept(self, event: StreamEvent) -> bool:
        """Return whether an event has to be forwarded to the caller, and count it.

        Events that the caller already has are skipped; events without an id are always
        forwarded.

        Raises:
            ValueError: At least one event before this one is missing.
        """
        if event.id is None:
            self.event_count += 1
            return True
        if self.last_id is not None and event.id <= self.last_id:
            return False
        if self.last_id is not None and event.id != self.last_id + 1:
            raise ValueError(
                f"expected event {self.last_id + 1}, received event {event.id}"
            )
        self.last_id = event.id
        self.event_count += 1
        return True
