"""Hedging: when to send an idempotent lookup a second time, by measured latency."""

from __future__ import annotations

from typing import Final

from hdrh.histogram import HdrHistogram

MIN_SAMPLES: Final = 100
"""Number of samples required before the percentile is used."""

WINDOW_SAMPLES: Final = 10_000
"""Number of samples after which a new window starts."""

MAX_LATENCY_US: Final = 600_000_000
"""Largest latency that is recorded, in microseconds; longer ones count as this."""


class LatencyWindow:
    """Latencies of one call in the current and the previous window."""

    def __init__(self) -> None:
        self.current = _histogram()
        """Latencies of the current window, in microseconds."""
        self.previous = _histogram()
        """Latencies of the previous window, in microseconds."""

    def record(self, latency_s: float) -> None:
        """Add a latency, given in seconds."""
        self.current.record_value(max(1, min(MAX_LATENCY_US, int(latency_s * 1e6))))
        if self.current.get_total_count() >= WINDOW_SAMPLES:
            self.previous = self.current
            self.current = _histogram()

    def percentile_s(self, percentile: float) -> float | None:
        """Return a percentile in seconds; None without enough samples."""
        for histogram in (self.current, self.previous):
            if histogram.get_total_count() >= MIN_SAMPLES:
                return float(histogram.get_value_at_percentile(percentile)) / 1e6
        return None


def hedge_after_s(window: LatencyWindow, percentile: float) -> float | None:
    """Return the delay before a lookup is hedged, in seconds; None for no hedge.

    Args:
        window: Latencies of the call.
        percentile: Percentile from the settings of the service; 0 for no hedging.
    """
    if percentile <= 0:
        return None
    return window.percentile_s(percentile)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, 2)
