"""Counts of what the versions of a service's backend servers returned.

Each gateway counts its own requests from the time at which it learns of an order. Counters
only grow, so a report replaces an earlier one of the same process, and a lost or repeated
report does no harm. Histograms are relative to the route's objective, so that routes add up.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from typing import Final, NamedTuple

BUCKET_BOUNDS: Final = tuple(2.0 ** (step / 2) for step in range(-12, 7))
"""Upper bounds of the histogram's buckets, as multiples of the objective, from 1/64 to 8;
a last bucket holds what is above. Two buckets are a factor of two."""

BUCKETS: Final = len(BUCKET_BOUNDS) + 1
"""Number of buckets of a histogram."""


class CellKey(NamedTuple):
    """What a cell counts."""

    route: str
    """Route of the requests."""
    version: str
    """Software version of the backend servers."""
    backend: str = ""
    """Backend server, for those of the target; empty for all others together."""


@dataclass
class Cell:
    """Monotonic counters of the requests of one route at one version.

    A request is counted as started when it is sent to a backend server, and once as
    failed, finished or cancelled. Requests that a backend server refused since it had no
    room, and those that the caller cancelled, are cancelled ones.
    """

    started: int = 0
    """Number of requests sent, retries included."""
    failed: int = 0
    """Number of failures: 5xx, broken or invalid responses, time-outs."""
    cancelled: int = 0
    """Number of requests whose result says nothing about the version."""
    times: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    """Histogram of response times over the route's objective: to the first event of
    streams, to the end of other responses."""
    paces: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    """Histogram of the mean times between events of streams over the pause objective."""
    ended: int = 0
    """Number of requests that have ended in any way."""

    @property
    def running(self) -> int:
        """Number of requests that have not ended."""
        return max(0, self.started - self.ended)

    def add(self, other: Cell) -> None:
        """Add the counters of another cell."""

    def minus(self, earlier: Cell) -> Cell:
        """Return what was counted since an earlier copy of the cell."""
        return Cell()


class VersionEvidence:
    """Counters of one gateway process for one rollout.

    Args:
        number: Number of the order.
        started_ms: Start of the gateway process in milliseconds, which tells the counters
            of a restarted process from those before.
    """

    def __init__(self, number: int, started_ms: int) -> None:
        self.number = number
        """Number of the order."""
        self.started_ms = started_ms
        """Start of the gateway process in milliseconds."""
        self.cells: dict[CellKey, Cell] = {}
        """Counters by route, version and backend server."""
        self.permission_ms = 0
        """`issued_ms` of the latest permission that the gateway has applied; 0 if none."""

    def on_started(self, key: CellKey) -> None:
        """Count a request that is sent to a backend server."""

    def on_time(self, key: CellKey, time_ratio: float) -> None:
        """Count a response time: the first event of a stream, the end of another response.

        A request that has no response yet after eight times its objective is counted here
        with that ratio, and not again.

        Args:
            key: Cell of the request.
            time_ratio: Response time over the route's objective.
        """

    def on_ended(
        self,
        key: CellKey,
        *,
        failed: bool = False,
        cancelled: bool = False,
        pace_ratio: float | None = None,
    ) -> None:
        """Count the end of a request.

        Args:
            key: Cell of the request.
            failed: Whether the backend server failed it.
            cancelled: Whether its result says nothing about the version.
            pace_ratio: Mean time between events over the pause objective, of streams.
        """

    def merge(self, other: VersionEvidence) -> None:
        """Take over a later report of the same process; a counter never shrinks."""


def bucket(ratio: float) -> int:
    """Return the bucket of a time, as a multiple of the objective."""
    return bisect_left(BUCKET_BOUNDS, ratio)
