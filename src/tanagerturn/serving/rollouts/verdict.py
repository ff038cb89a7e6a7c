"""Sequential test of a target version against the other versions of the same period.

Each response of the target is a success or not, in one of three respects: it failed, it
was slow, or its events were. For each respect, route and assumed excess of bad
responses a walk adds up the logarithm of how much likelier the target's responses are
for a version with that excess than for one like the other versions; so does one for all
routes together. The walk is kept per backend server of the target. It starts again when
its sum falls below zero (Page's test), so that a version that becomes bad late is found
as fast as one that is bad from the start.

A version is bad when the sum passes `THRESHOLD` although the part of each backend
server is limited: a bad version is bad everywhere, while a defective host or a slow
zone affects some backend servers only.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from itertools import accumulate
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.rollouts.evidence import BUCKETS, Cell

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.serving.rollouts.evidence import CellKey

FALSE_ALARM: Final = 0.003
"""Probability with which a version like the others may be judged bad in one rollout."""

WALKS: Final = 24
"""Number of walks of a service with three routes: three respects, two excesses, and the
routes and their total."""

RESTARTS: Final = 20
"""Number of independent starts of a walk in one rollout. A walk passes a level h after
a given start with a probability of at most exp(-h) (Wald)."""

THRESHOLD: Final = math.log(WALKS * RESTARTS / FALSE_ALARM)
"""Sum, 12.0, at which the target is bad."""

EXCESSES: Final = (0.04, 0.2)
"""Assumed shares of bad responses beyond those of the other versions. The test misses
versions with less than half of the lower one; the higher one finds common faults after
few responses."""

FLOOR: Final = -3.0
"""Lowest value of a backend server's part, so that backend servers that have been good
do not hide that the version became bad."""

PART_CAPS: Final = (1.0, 1.0, 0.6, 0.35)
"""Highest part of a backend server over the threshold if there are 0, 1, 2, 3 or more.
One of two, or two of more, do not suffice. Leaving out the worst third instead missed a
version at 6 backend servers with 16 bad responses of 58."""

PRIOR_RESPONSES: Final = 50.0
"""Number of responses that the prior of a reference share counts as."""

PRIOR_BAD: Final = 1.0
"""Number of bad ones among them. Without any other response, 2 % bad ones are usual."""

PRIOR_WAITING: Final = 10.0
"""The same for requests that have no response yet, of which there are few."""

SLOW_BUCKETS: Final = 3
"""Buckets above the median of the other versions from which a response is slow: 2 to
2.8 times the median, as faults make responses several times slower."""

MIN_REFERENCE: Final = 10
"""Number of the other versions' responses from which their median is used."""

WINDOW_MS: Final = 400
"""Length of the windows in which responses are counted. Those of the target are tested
at the end of a window, against the others of the same window too: tested at once, a
burst that slowed all versions took back good ones, as the target was compared with the
time before."""

WINDOWS: Final = 8
"""Number of the latest windows that form the reference of the same period."""


@dataclass
class Reference:
    """Responses of the other versions on one route."""

    total: Cell
    """All of them."""
    windows: deque[Cell]
    """Those of the latest windows, the current one last."""


@dataclass(frozen=True)
class Usual:
    """What is usual for one respect of a route's responses."""

    share: float
    """Share of bad responses of the other versions."""
    slow_from: int
    """First bucket of slow responses; unused for failures."""


class VersionTest:
    """Sequential test of one rollout's target."""

    def __init__(self) -> None:
        self.references: dict[str, Reference] = {}
        """Responses of the other versions, by route."""
        self.pending: dict[CellKey, Cell] = {}
        """Responses of the target in the current window."""
        self.window_ms = 0
        """Start of the current window in milliseconds."""
        self.walks: dict[tuple[str, str, float], dict[str, float]] = {}
        """Parts of the walks by backend server; a walk is of a respect, a route (empty
        for all together) and an excess."""
        self.responses = 0
        """Number of responses of the target that were tested."""
        self.finding = ""
        """Respect and route for which the target was first found bad; empty if none."""

    @property
    def level(self) -> float:
        """Highest sum of a walk over `THRESHOLD`; from 1 on, the target is bad."""
        sums = (capped_sum(parts) for parts in self.walks.values())
        return max(sums, default=0.0) / THRESHOLD

    def add_others(self, route: str, counts: Cell) -> None:
        """Add responses of the other versions.

        Args:
            route: Route of the requests.
            counts: What was counted since the last call.
        """
        reference = self.references.get(route)
        if reference is None:
            reference = Reference(Cell(), deque([Cell()], maxlen=WINDOWS))
            self.references[route] = reference
        reference.total.add(counts)
        reference.windows[-1].add(counts)

    def add_target(self, counts: Mapping[CellKey, Cell]) -> None:
        """Add responses of the target.

        Args:
            counts: What was counted since the last call.
        """
        for key, cell in counts.items():
            self.pending.setdefault(key, Cell()).add(cell)

    def step(self, now_ms: int) -> None:
        """Test the responses of the current window if it has ended.

        Args:
            now_ms: Current time in milliseconds.
        """
        if now_ms < self.window_ms + WINDOW_MS:
            return
        self.window_ms = now_ms
        self._test(self.pending)
        self.pending = {}
        for reference in self.references.values():
            reference.windows.append(Cell())

    def _test(self, counts: Mapping[CellKey, Cell]) -> None:
        increments: dict[tuple[str, str, float], dict[str, float]] = {}
        for key, cell in counts.items():
            self.responses += max(sum(cell.times), cell.failed)
            for respect, usual, bad, responses in self._outcomes(key.route, cell):
                for excess in EXCESSES:
                    rise = log_ratio(usual.share, excess, bad, responses)
                    for route in (key.route, ""):
                        parts = increments.setdefault((respect, route, excess), {})
                        parts[key.backend] = parts.get(key.backend, 0.0) + rise
        for walk, rises in increments.items():
            self._advance(walk, rises)

    def test_waiting(
        self, others: Mapping[str, list[int]], target: Mapping[CellKey, list[int]]
    ) -> None:
        """Test the target with its requests that have no response yet.

        The result is not kept, as they will be counted with their responses.

        Args:
            others: Histograms of the ages of such requests of other versions, by route.
            target: The same of the target, by cell.
        """
        walks: dict[tuple[str, float], dict[str, float]] = {}
        for key, histogram in target.items():
            reference = self.references.get(key.route)
            usual = _usual_times(reference, "late") if reference else None
            if usual is None:
                continue
            ages = others.get(key.route, [])
            slow = sum(ages[usual.slow_from :]) + PRIOR_BAD
            share = slow / (sum(ages) + PRIOR_WAITING)
            bad, count = sum(histogram[usual.slow_from :]), sum(histogram)
            for excess in EXCESSES:
                rise = log_ratio(share, excess, bad, count)
                for route in (key.route, ""):
                    parts = walks.get((route, excess))
                    if parts is None:
                        parts = dict(self.walks.get(("late", route, excess), {}))
                        walks[route, excess] = parts
                    parts[key.backend] = parts.get(key.backend, 0.0) + rise
        for (route, _), parts in walks.items():
            if not self.finding and capped_sum(parts) >= THRESHOLD:
                self.finding = f"late responses, {route or 'all routes'}"

    def _advance(
        self, walk: tuple[str, str, float], rises: Mapping[str, float]
    ) -> None:
        parts = self.walks.setdefault(walk, {})
        for backend, rise in rises.items():
            parts[backend] = max(FLOOR, parts.get(backend, 0.0) + rise)
        if capped_sum(parts) <= 0.0:
            for backend in parts:
                parts[backend] = 0.0
        if not self.finding and capped_sum(parts) >= THRESHOLD:
            respect, route, _ = walk
            self.finding = f"{respect} responses, {route or 'all routes'}"

    def _outcomes(self, route: str, cell: Cell) -> list[tuple[str, Usual, int, int]]:
        """Return for each respect what is usual, the bad and all responses."""
        reference = self.references.get(route)
        outcomes = []
        # A stream that fails after its first event is counted in both.
        ended = max(cell.failed, cell.ended - cell.cancelled)
        if ended:
            usual = Usual(_failed_share(reference), 0)
            outcomes.append(("failed", usual, cell.failed, ended))
        for respect, histogram in (("late", cell.times), ("slow", cell.paces)):
            responses = sum(histogram)
            if responses and reference is not None:
                usual_times = _usual_times(reference, respect)
                if usual_times is not None:
                    bad = sum(histogram[usual_times.slow_from :])
                    outcomes.append((respect, usual_times, bad, responses))
        return outcomes


def log_ratio(usual_share: float, excess: float, bad: int, responses: int) -> float:
    """Return the logarithm of the likelihood ratio of a number of bad responses.

    Args:
        usual_share: Share of bad responses of a version like the others.
        excess: Share beyond it of a bad version.
        bad: Number of bad responses.
        responses: Number of all responses.
    """
    bad_share = min(0.98, usual_share + excess)
    usual_share = min(usual_share, 0.95)
    good = responses - bad
    rise = bad * math.log(bad_share / usual_share)
    return rise + good * math.log((1.0 - bad_share) / (1.0 - usual_share))


def capped_sum(parts: Mapping[str, float]) -> float:
    """Return the sum of a walk's parts, each at most at `PART_CAP` of the threshold."""
    count = min(len(parts), len(PART_CAPS) - 1)
    cap = PART_CAPS[count] * THRESHOLD
    return sum(min(cap, part) for part in parts.values())


def _failed_share(reference: Reference | None) -> float:
    if reference is None:
        return PRIOR_BAD / PRIOR_RESPONSES
    shares = []
    for cells in _periods(reference):
        failed = sum(cell.failed for cell in cells)
        ended = sum(cell.ended - cell.cancelled for cell in cells)
        shares.append((failed + PRIOR_BAD) / (max(failed, ended) + PRIOR_RESPONSES))
    return max(shares)


def _usual_times(reference: Reference, respect: str) -> Usual | None:
    total = _histogram(reference.total, respect)
    if sum(total) < MIN_REFERENCE:
        return None
    slow_from = min(BUCKETS - 1, _median(total) + SLOW_BUCKETS)
    shares = []
    for cells in _periods(reference):
        histograms = [_histogram(cell, respect) for cell in cells]
        slow = sum(sum(histogram[slow_from:]) for histogram in histograms)
        responses = sum(sum(histogram) for histogram in histograms)
        shares.append((slow + PRIOR_BAD) / (responses + PRIOR_RESPONSES))
    return Usual(max(shares), slow_from)


def _periods(reference: Reference) -> list[list[Cell]]:
    """Return the periods whose highest share of bad responses is the usual one.

    Single windows are among them, as a burst that slows all versions may be short.
    """
    windows = list(reference.windows)
    return [[reference.total], windows, *([window] for window in windows)]


def _histogram(cell: Cell, respect: str) -> list[int]:
    return cell.times if respect == "late" else cell.paces


def _median(histogram: list[int]) -> int:
    """Return the bucket of the median of a histogram that is not empty."""
    counts = accumulate(histogram)
    return next(index for index, n in enumerate(counts) if 2 * n >= sum(histogram))
