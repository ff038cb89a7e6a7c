"""Hedging: when an idempotent lookup is sent a second time, by measured latency."""

from __future__ import annotations

from typing import Final

from hdrh.histogram import HdrHistogram

MIN_SAMPLES: Final = 100
"""Number of latencies in a window from which its percentiles are used."""

WINDOW_SAMPLES: Final = 10_000
"""Number of latencies after which a new window starts."""

MAX_LATENCY_US: Final = 600_000_000
"""Longest recorded latency in microseconds; longer ones are recorded as this one."""


class LatencyWindow:
    """Latencies of one call in the current and the previous window."""

    def __init__(self) -> None:
        self.current = _histogram()
        """Latencies of the current window, in microseconds."""
        self.previous = _histogram()
        """Latencies of the previous window, in microseconds."""

    def record(self, latency_s: float) -> None:
        """Add a latency to the current window.

        Args:
            latency_s: The latency in seconds.
        """
        self.current.record_value(max(1, min(MAX_LATENCY_US, int(latency_s * 1e6))))
        if self.current.get_total_count() >= WINDOW_SAMPLES:
            self.previous = self.current
            self.current = _histogram()

    def percentile_s(self, percentile: float) -> float | None:
        """Return a percentile of the latencies in seconds; None without enough of them.

        Args:
            percentile: The percentile, 0 to 100.
        """
        for histogram in (self.current, self.previous):
            if histogram.get_total_count() >= MIN_SAMPLES:
                return float(histogram.get_value_at_percentile(percentile)) / 1e6
        return None


def hedge_after_s(window: LatencyWindow, percentile: float) -> float | None:
    """Return the delay in seconds after which a lookup is hedged; None for no hedge.

    Args:
        window: Measured latencies of the lookup.
        percentile: Percentile from the settings of the service; 0 for no hedging.
    """
    if percentile <= 0:
        return None
    return window.percentile_s(percentile)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, 2)
