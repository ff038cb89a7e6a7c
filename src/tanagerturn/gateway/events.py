"""Splits the bytes of an event stream into whole events; pure."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

EVENT_END: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
ID_LINE: Final = re.compile(rb"(?:^|[\r\n])id: ?(\d+)[ \t]*(?=[\r\n])")

EVENT_LIMIT_BYTES: Final = 1024 * 1024
"""Largest event; a longer one is taken for damage."""


@dataclass(frozen=True)
class StreamEvent:
    """One whole event."""

    data: bytes
    """Its bytes, with the empty line at its end."""
    id: int | None
    """Its number; None when it has none."""


class EventSplitter:
    """Keeps bytes until an event is whole."""

    def __init__(self) -> None:
        self.partial = b""
        """Bytes of an event that is not whole yet."""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that these bytes complete.

        Raises:
            ValueError: An event is longer than `EVENT_LIMIT_BYTES`.
        """
        buffered = self.partial + data
        events = []
        start = 0
        for end in EVENT_END.finditer(buffered):
            event = buffered[start : end.end()]
            found = ID_LINE.search(event)
            events.append(StreamEvent(event, int(found[1]) if found else None))
            start = end.end()
        self.partial = buffered[start:]
        if len(self.partial) > EVENT_LIMIT_BYTES:
            raise ValueError(f"an event is longer than {EVENT_LIMIT_BYTES} bytes")
        return events


class StreamProgress:
    """Which events a caller has, over all backend servers that made them.

    Args:
        last_id: Last event that the caller had before; None at the begin.
    """

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id
        """Last event that the caller has; None before the first."""
        self.count = 0
        """Events passed on."""

    def accept(self, event: StreamEvent) -> bool:
        """Tell whether an event is the next one; one that the caller has is not.

        Raises:
            ValueError: Events before it are missing.
        """
        if event.id is None:
            self.count += 1
            return True
        if self.last_id is not None and event.id <= self.last_id:
            return False
        if self.last_id is not None and event.id != self.last_id + 1:
            raise ValueError(f"event {event.id} follows {self.last_id}")
        self.last_id = event.id
        self.count += 1
        return True
