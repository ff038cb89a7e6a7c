"""Speed of backend servers of one service that differ from each other; without I/O.

The time that work takes at a backend server is the expected time, multiplied by a
lasting factor of its machine and by a momentary one of the other workloads there. The
lasting factor is learned from measured against expected times, with the momentary one
divided out. Only factors relative to the other backend servers of the service count,
since the expected times have a common error. The momentary factor is reported by the
backend server; how fast a report loses its value is learned from later reports.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_FACTOR: Final = 10.0
"""Largest factor, and inverse of the smallest one, that a measurement or a report may
give; timeouts handle slower backend servers."""

MIN_SAMPLE_WEIGHT: Final = 0.02
"""Smallest weight of the latest measurement in the average of a backend server."""

PRIOR_SAMPLES: Final = 3.0
"""Number of measurements with the factor 1 that are assumed of each backend server."""

MAX_PEER_SAMPLES: Final = 200.0
"""Largest weight of the measurements of all peer gateways together, in samples."""

PRIOR_REPORTS: Final = 5.0
"""Number of reports of 100 percent that are assumed of each backend server."""

MAX_MEAN_REPORTS: Final = 200.0
"""Number of reports over which the mean report of a backend server is taken."""

LAGS_S: Final = (0.025, 0.075, 0.15, 0.3, 0.6, 1.2, 2.4)
"""Times in seconds between two reports whose relation is learned."""

LAG_BOUNDS_S: Final = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
"""Upper bounds in seconds of the times that count for each of `LAGS_S`."""

PRIOR_TIME_CONSTANT_S: Final = 0.5
"""Time constant in seconds with which a report loses its value before its loss is
learned."""

PRIOR_PAIRS: Final = 10.0
"""Number of pairs of reports that `PRIOR_TIME_CONSTANT_S` counts for, at each lag."""

PAIR_MEMORY: Final = 0.995
"""Factor on the sums of a lag at each further pair of reports."""

WEIGHT_STEPS_PER_S: Final = 20
"""Steps per second of age in the table of weights."""

MAX_WEIGHTED_AGE_S: Final = 3.2
"""Age in seconds from which a report has no weight."""

PAIRS_PER_TABLE: Final = 16
"""Number of pairs of reports after which the table of weights is computed again."""

REFRESH_INTERVAL_S: Final = 0.25
"""Time in seconds after which the lasting factors are computed again, since they are
relative to those of all backend servers of the service."""


class ReportDecay:
    """Weight of a report by its age, learned from successive reports of a service."""

    def __init__(self) -> None:
        self.products = [0.0] * len(LAGS_S)
        """Sum of the products of the deviations of two reports, by lag."""
        self.squares = [0.0] * len(LAGS_S)
        """Sum of the mean squared deviations of two reports, by lag."""
        self.variance = 0.0
        """Moving average of the squared deviation of a report from its mean."""
        self.pair_count = 0
        """Number of pairs of reports so far."""
        self.weights: list[float] = []
        """Weight by age, in steps of `WEIGHT_STEPS_PER_S`; the last one is 0."""
        self._compute_weights()

    def on_pair(self, earlier: float, later: float, lag_s: float) -> None:
        """Learn from two successive reports of one backend server.

        Args:
            earlier: Deviation of the earlier report from the backend server's mean.
            later: Deviation of the later report from it.
            lag_s: Time between the reports in seconds.
        """
        squares = (earlier * earlier + later * later) / 2
        self.variance += 0.01 * (squares - self.variance)
        for index, bound_s in enumerate(LAG_BOUNDS_S):
            if lag_s <= bound_s:
                memory = PAIR_MEMORY
                self.products[index] = memory * self.products[index] + earlier * later
                self.squares[index] = memory * self.squares[index] + squares
                break
        self.pair_count += 1
        if self.pair_count % PAIRS_PER_TABLE == 0:
            self._compute_weights()

    def weight(self, age_s: float) -> float:
        """Return the weight of a report, from 1 for a new one to 0 for an old one."""
        step = max(0, int(age_s * WEIGHT_STEPS_PER_S))
        return self.weights[min(step, len(self.weights) - 1)]

    def _compute_weights(self) -> None:
        points = [(0.0, 1.0)]
        prior_squares = PRIOR_PAIRS * self.variance
        for index, lag_s in enumerate(LAGS_S):
            prior = math.exp(-lag_s / PRIOR_TIME_CONSTANT_S)
            squares = self.squares[index] + prior_squares
            learned = (
                (self.products[index] + prior * prior_squares) / squares
                if squares > 0
                else prior
            )
            points.append((lag_s, max(0.0, min(points[-1][1], learned))))
        points.append((MAX_WEIGHTED_AGE_S, 0.0))
        steps = int(MAX_WEIGHTED_AGE_S * WEIGHT_STEPS_PER_S)
        self.weights = [
            _interpolate(points, (step + 0.5) / WEIGHT_STEPS_PER_S)
            for step in range(steps)
        ]
        self.weights.append(0.0)


class EngineSpeed:
    """Speed of one process start of a backend server.

    Args:
        start: Id of the process start; another start begins without measurements.
        key: Hash of the backend server and its start, which stands for them among
            gateways.
    """

    def __init__(self, start: str, key: int = 0) -> None:
        self.start = start
        """Id of the process start."""
        self.key = key
        """Hash of the backend server and its start."""
        self.log_ratio = 0.0
        """Average of the logarithms of measured to expected times of this gateway."""
        self.samples = 0
        """Number of measurements of this gateway."""
        self.sent_samples = 0
        """Value of `samples` when `log_ratio` was last sent to peer gateways."""
        self.peer_log_ratio = 0.0
        """Average of `log_ratio` of peer gateways."""
        self.peer_samples = 0.0
        """Weight of `peer_log_ratio`, in samples."""
        self.lasting = 1.0
        """Lasting factor relative to the other backend servers of the service, as of
        the last refresh."""
        self.report = 1.0
        """Last reported momentary factor."""
        self.reported_s = -1e9
        """Time of the last report in seconds; -1e9 before the first."""
        self.mean_report = 1.0
        """Mean of the reports."""
        self.report_count = PRIOR_REPORTS
        """Weight of `mean_report`, in reports."""

    def __repr__(self) -> str:
        return (
            f"EngineSpeed({self.start}, lasting={self.lasting:.2f}, "
            f"samples={self.samples}, report={self.report:.2f})"
        )

    def on_report(self, percent: int, decay: ReportDecay, now_s: float) -> None:
        """Record a reported percentage of the usual time.

        Args:
            percent: The percentage.
            decay: Loss of value of the service's reports, which learns from this one.
            now_s: Current time in seconds.
        """
        report = _bounded(percent / 100)
        lag_s = now_s - self.reported_s
        mean = self.mean_report
        if 0 < lag_s < MAX_WEIGHTED_AGE_S:
            decay.on_pair(self.report - mean, report - mean, lag_s)
        self.report_count = min(MAX_MEAN_REPORTS, self.report_count + 1)
        self.mean_report += (report - mean) / self.report_count
        self.report, self.reported_s = report, now_s

    def momentary(self, decay: ReportDecay, now_s: float) -> float:
        """Return the momentary factor: the report, or the mean as the report ages."""
        weight = decay.weight(now_s - self.reported_s)
        return self.mean_report + weight * (self.report - self.mean_report)

    def time_factor(self, decay: ReportDecay, now_s: float) -> float:
        """Return the factor on expected times.

        Args:
            decay: Loss of value of the service's reports.
            now_s: Time in seconds at which the work is done.
        """
        return self.lasting * self.momentary(decay, now_s)

    def mean_factor(self) -> float:
        """Return the factor on expected times over a long time."""
        return self.lasting * self.mean_report

    def on_measured(
        self, measured_s: float, expected_s: float, momentary: float
    ) -> None:
        """Learn from one measured time.

        Args:
            measured_s: Measured time in seconds.
            expected_s: Time in seconds that was expected at the factor 1.
            momentary: Momentary factor while the work was done.
        """
        if measured_s <= 0 or expected_s <= 0:
            return
        ratio = _bounded(measured_s / expected_s / momentary)
        self.samples += 1
        weight = max(1 / self.samples, MIN_SAMPLE_WEIGHT)
        self.log_ratio += weight * (math.log(ratio) - self.log_ratio)

    def on_peer(self, log_ratio: float, samples: int) -> None:
        """Learn from the average of a peer gateway.

        Args:
            log_ratio: `log_ratio` of the peer.
            samples: Number of its measurements.
        """
        limit = math.log(MAX_FACTOR)
        if samples <= 0 or not -limit <= log_ratio <= limit:
            return
        weight = min(samples, 1 / MIN_SAMPLE_WEIGHT)
        total = self.peer_samples + weight
        self.peer_log_ratio += weight / total * (log_ratio - self.peer_log_ratio)
        self.peer_samples = min(MAX_PEER_SAMPLES, total)

    def known_log_ratio(self) -> tuple[float, float]:
        """Return the average over all gateways, and its weight in samples."""
        own = min(self.samples, 1 / MIN_SAMPLE_WEIGHT)
        total = own + self.peer_samples
        if not total:
            return 0.0, 0.0
        ratio = (own * self.log_ratio + self.peer_samples * self.peer_log_ratio) / total
        return ratio, total


class ServiceSpeeds:
    """What the backend servers of one service have in common."""

    def __init__(self) -> None:
        self.decay = ReportDecay()
        """Loss of value of reports with their age."""
        self.common_log_ratio = 0.0
        """Mean of the logarithms of measured to expected times of all backend
        servers: the common error of the expected times."""
        self.refreshed_s = -1e9
        """Time of the last refresh in seconds."""
        self.response_s = 0.0
        """Mean time of a whole response or first event in seconds; 0 before the
        first."""
        self.in_flight_s = 0.0
        """Mean time that a request is in flight in seconds; 0 before the first."""
        self.event_s = 0.0
        """Mean time between two events of a stream at the factor 1 in seconds; 0 before
        the first stream."""

    def is_refresh_due(self, now_s: float) -> bool:
        """Return whether the lasting factors are to be computed again."""
        return now_s - self.refreshed_s >= REFRESH_INTERVAL_S

    def refresh(self, speeds: Iterable[EngineSpeed], now_s: float) -> None:
        """Compute the lasting factors again.

        Args:
            speeds: Speeds of all backend servers of the service.
            now_s: Current time in seconds.
        """
        self.refreshed_s = now_s
        known = [(speed, *speed.known_log_ratio()) for speed in speeds]
        trust = [samples / (samples + PRIOR_SAMPLES) for _, _, samples in known]
        total = sum(trust)
        if not total:
            return
        weighted = zip(known, trust, strict=True)
        self.common_log_ratio = sum(t * ratio for (_, ratio, _), t in weighted) / total
        for (speed, ratio, _), share in zip(known, trust, strict=True):
            speed.lasting = _bounded(math.exp(share * (ratio - self.common_log_ratio)))

    def on_response(self, measured_s: float) -> None:
        """Record the time of a whole response or of a first event."""
        if not self.response_s:
            self.response_s = measured_s
        self.response_s += 0.05 * (measured_s - self.response_s)

    def on_ended(self, in_flight_s: float) -> None:
        """Record the time that a finished request was in flight in seconds."""
        if not self.in_flight_s:
            self.in_flight_s = in_flight_s
        self.in_flight_s += 0.05 * (in_flight_s - self.in_flight_s)

    def common_ratio(self) -> float:
        """Return the ratio of measured to expected times that all have in common."""
        return math.exp(self.common_log_ratio)

    def on_event_time(self, event_s: float, factor: float) -> None:
        """Record the mean time between the events of one stream.

        Args:
            event_s: The time in seconds.
            factor: Factor of the backend server on its expected times.
        """
        if not self.event_s:
            self.event_s = event_s / factor
        self.event_s += 0.05 * (event_s / factor - self.event_s)


def _bounded(factor: float) -> float:
    return min(MAX_FACTOR, max(1 / MAX_FACTOR, factor))


def _interpolate(points: list[tuple[float, float]], at: float) -> float:
    for (left, low), (right, high) in itertools.pairwise(points):
        if at <= right:
            return low + (high - low) * (at - left) / (right - left)
    return points[-1][1]
