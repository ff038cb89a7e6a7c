"""Counts of what the versions of a service's backend servers returned.

Each gateway counts its own requests from the time at which it learns of an order.
Counters only grow, so a report replaces an earlier one of the same process, and a lost
or repeated report does no harm. Histograms are relative to the route's objective, so
that routes add up.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

BUCKET_BOUNDS: Final = tuple(2.0 ** (step / 2) for step in range(-12, 7))
"""Upper bounds of the histogram's buckets, as multiples of the objective, from 1/64 to
8; a last bucket holds what is above. Two buckets are a factor of two."""

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
    failed, finished or cancelled. Requests that a backend server refused since it had
    no room, and those that the caller cancelled, are cancelled ones.
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
    """Histogram of the mean times between events of streams over the pause
    objective."""
    ended: int = 0
    """Number of requests that have ended in any way."""
    waiting: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    """Histogram of the ages of the requests that `times` does not contain yet; as of
    the latest report, so it may shrink. It shows slow requests before they have
    responses."""

    @property
    def running(self) -> int:
        """Number of requests that have not ended."""
        return max(0, self.started - self.ended)

    def add(self, other: Cell) -> None:
        """Add the counters of another cell."""
        self.started += other.started
        self.failed += other.failed
        self.cancelled += other.cancelled
        self.ended += other.ended
        self.times = [a + b for a, b in zip(self.times, other.times, strict=True)]
        self.paces = [a + b for a, b in zip(self.paces, other.paces, strict=True)]

    def minus(self, earlier: Cell) -> Cell:
        """Return what was counted since an earlier copy of the cell."""
        return Cell(
            self.started - earlier.started,
            self.failed - earlier.failed,
            self.cancelled - earlier.cancelled,
            [a - b for a, b in zip(self.times, earlier.times, strict=True)],
            [a - b for a, b in zip(self.paces, earlier.paces, strict=True)],
            self.ended - earlier.ended,
            self.waiting,
        )

    def latest(self, other: Cell) -> Cell:
        """Return the higher of each of two counts, and what waits in the later cell."""
        is_later = other.started + other.ended >= self.started + self.ended
        return Cell(
            max(self.started, other.started),
            max(self.failed, other.failed),
            max(self.cancelled, other.cancelled),
            [max(a, b) for a, b in zip(self.times, other.times, strict=True)],
            [max(a, b) for a, b in zip(self.paces, other.paces, strict=True)],
            max(self.ended, other.ended),
            list(other.waiting if is_later else self.waiting),
        )


class VersionEvidence:
    """Counters of one gateway process for one rollout.

    Args:
        number: Number of the order.
        started_ms: Start of the gateway process in milliseconds, which tells the
            counters of a restarted process from those before.
    """

    def __init__(self, number: int, started_ms: int) -> None:
        self.number = number
        """Number of the order."""
        self.started_ms = started_ms
        """Start of the gateway process in milliseconds."""
        self.cells: dict[CellKey, Cell] = {}
        """Counters by route, version and backend server."""
        self.permission_ms = 0
        """`issued_ms` of the latest permission that the gateway has applied; 0 if
        none."""

    def on_started(self, key: CellKey) -> None:
        """Count a request that is sent to a backend server."""
        self._cell(key).started += 1

    def on_time(self, key: CellKey, time_ratio: float) -> None:
        """Count a response time: to the first event of a stream, or to the end.

        Args:
            key: Cell of the request.
            time_ratio: Response time over the route's objective.
        """
        self._cell(key).times[bucket(time_ratio)] += 1

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
        cell = self._cell(key)
        cell.ended += 1
        cell.failed += failed
        cell.cancelled += cancelled and not failed
        if pace_ratio is not None:
            cell.paces[bucket(pace_ratio)] += 1

    def set_waiting(self, waiting: Iterable[tuple[CellKey, float]]) -> None:
        """Set which requests have no response yet; call it before each report.

        Args:
            waiting: Cell and age of each request that `on_time` has not counted, the
                age over the route's objective.
        """
        for cell in self.cells.values():
            cell.waiting = [0] * BUCKETS
        for key, age_ratio in waiting:
            self._cell(key).waiting[bucket(age_ratio)] += 1

    def merge(self, other: VersionEvidence) -> None:
        """Take over a report of the same process; a counter never shrinks."""
        self.permission_ms = max(self.permission_ms, other.permission_ms)
        for key, cell in other.cells.items():
            self.cells[key] = cell.latest(self.cells.get(key) or Cell())

    def _cell(self, key: CellKey) -> Cell:
        cell = self.cells.get(key)
        if cell is None:
            cell = self.cells[key] = Cell()
        return cell


def bucket(ratio: float) -> int:
    """Return the bucket of a time, as a multiple of the objective."""
    return bisect_left(BUCKET_BOUNDS, ratio)
