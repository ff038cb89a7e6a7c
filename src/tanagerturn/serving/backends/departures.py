"""Departures of backend servers that a gateway repeats until every peer knows them.

A departure is a fact of one start of a backend server and never reverts, so it can be
repeated in any order, by any gateway, and also before the start itself is known.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, NewType

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.serving.backends.messages import BackendId

StartKey = NewType("StartKey", int)
"""Hash that represents one start of a backend server, 64 bits."""

FRESH_S: Final = 4.0
"""Time in seconds for which a departure is repeated in every digest; longer than the
bounds within which a departure has to bind all gateways."""

RECENT_S: Final = 12.0
"""Time in seconds for which a departure is repeated in some digests, for gateways that
were partitioned; the backend server is forgotten by then, or heard from again."""

MAX_REPEATED: Final = 128
"""Maximum number of departures in one digest; each takes 12 bytes. Of more, the digests
repeat one part after another."""

MAX_KNOWN: Final = 1_000
"""Maximum number of departures that are known; the earliest are forgotten."""


@dataclass
class Departure:
    """Departure of one start of a backend server."""

    start: StartKey
    """The start that leaves."""
    learned_s: float
    """Boot-clock time in seconds at which this gateway learned of it."""
    stops_at_s: float
    """Boot-clock time in seconds at which the start is expected to stop."""
    is_reported: bool = False
    """Whether the backend server itself reported when it stops."""
    is_acknowledged: bool = False
    """Whether this gateway has acknowledged it to the backend server."""


class Departures:
    """Departures that one gateway knows, in the order in which it learned of them."""

    def __init__(self) -> None:
        self.by_start: dict[StartKey, Departure] = {}
        """Known departures by the start that leaves."""
        self.next_repeated = 0
        """Position of the first departure of the next digest among those to repeat, if
        these are too many for one."""
        self.recorded_count = 0
        """Number of departures that were recorded since the start of the process."""
        self.unconfirmed: set[StartKey] = set()
        """Starts whose departures no other gateway is known to have."""

    def record(self, start: StartKey, stops_at_s: float, now_s: float) -> bool:
        """Record a departure unless it is known.

        Args:
            start: The start that leaves.
            stops_at_s: Boot-clock time in seconds at which it is expected to stop.
            now_s: Current boot-clock time in seconds.

        Returns:
            Whether the departure is new.
        """
        if start in self.by_start:
            return False
        self.by_start[start] = Departure(start, now_s, stops_at_s)
        self.recorded_count += 1
        self.unconfirmed.add(start)
        if len(self.by_start) > MAX_KNOWN:
            earliest = next(iter(self.by_start))
            del self.by_start[earliest]
            self.unconfirmed.discard(earliest)
        return True

    def report(self, start: StartKey, stops_at_s: float) -> bool:
        """Record when a start stops, as its backend server reported.

        Args:
            start: The start that leaves; an unknown one is ignored.
            stops_at_s: Boot-clock time in seconds; the earliest reported one applies.

        Returns:
            Whether this is the first reported time.
        """
        departure = self.by_start.get(start)
        if departure is None:
            return False
        if departure.is_reported:
            departure.stops_at_s = min(departure.stops_at_s, stops_at_s)
            return False
        departure.is_reported, departure.stops_at_s = True, stops_at_s
        return True

    def confirm(self, start: StartKey) -> None:
        """Record that another gateway has a departure."""
        self.unconfirmed.discard(start)

    def restore(self, departures: Iterable[Departure]) -> list[Departure]:
        """Add departures that were known before a restart, here or at a peer.

        Args:
            departures: The departures, each with the time at which it was learned.

        Returns:
            Those that were not known.
        """
        added = [d for d in departures if d.start not in self.by_start]
        merged = sorted((*self.by_start.values(), *added), key=lambda d: d.learned_s)
        self.by_start = {d.start: d for d in merged[-MAX_KNOWN:]}
        return added

    def take_repeated(self, now_s: float, *, includes_recent: bool) -> list[Departure]:
        """Return the departures that the next digest repeats.

        These are all, the latest first, or the next `MAX_REPEATED` of more.

        Args:
            now_s: Current boot-clock time in seconds.
            includes_recent: Include those of the last `RECENT_S`, not of `FRESH_S`.
        """
        max_age_s = RECENT_S if includes_recent else FRESH_S
        found: list[Departure] = []
        for departure in reversed(self.by_start.values()):
            if now_s - departure.learned_s > max_age_s:
                break
            found.append(departure)
        if len(found) <= MAX_REPEATED:
            return found
        first = self.next_repeated % len(found)
        self.next_repeated = first + MAX_REPEATED
        return [*found[first:], *found[:first]][:MAX_REPEATED]


def start_key(backend_id: BackendId, born_ms: int) -> StartKey:
    """Return the hash of one start of a backend server.

    Args:
        backend_id: Id of the backend server.
        born_ms: Wall-clock time of the start in milliseconds; 0 if not stated.
    """
    return StartKey(xxhash.xxh64_intdigest(f"{backend_id}@{born_ms}".encode()))
