"""When to send an idempotent lookup a second time, from measured latency."""

from __future__ import annotations

from typing import Final

from hdrh.histogram import HdrHistogram

LEAST_SAMPLES: Final = 100
"""Latencies needed before the percentile is used."""

WINDOW_SAMPLES: Final = 10_000
"""Latencies after which older ones are dropped."""

LARGEST_US: Final = 600_000_000


class LatencyWindow:
    """Latencies of one call: the present window and the one before."""

    def __init__(self) -> None:
        self.current = _histogram()
        """Latencies of the present window, in microseconds."""
        self.previous = _histogram()
        """Latencies of the window before."""

    def record(self, latency_s: float) -> None:
        """Add a latency in seconds."""
        self.current.record_value(max(1, min(LARGEST_US, int(latency_s * 1e6))))
        if self.current.get_total_count() >= WINDOW_SAMPLES:
            self.previous = self.current
            self.current = _histogram()

    def percentile_s(self, percentile: float) -> float | None:
        """Return a percentile in seconds; None before there are enough samples."""
        for histogram in (self.current, self.previous):
            if histogram.get_total_count() >= LEAST_SAMPLES:
                return float(histogram.get_value_at_percentile(percentile)) / 1e6
        return None


def hedge_after_s(window: LatencyWindow, percentile: float) -> float | None:
    """Return when to hedge a lookup; None for never.

    Args:
        window: Latencies of the call.
        percentile: Percentile by the service's settings; 0 for never.
    """
    if percentile <= 0:
        return None
    return window.percentile_s(percentile)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, LARGEST_US, 2)
