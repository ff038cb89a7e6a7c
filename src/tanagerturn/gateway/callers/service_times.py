"""How long the requests of each route lately took at backend servers; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

WINDOW_S: Final = 30.0
"""Length in seconds of a window; the longest time of the last two windows is known."""

SLOWER_FACTOR: Final = 1.5
"""Ratio by which a request may take longer than the longest one known."""


@dataclass
class LongestTimes:
    """Longest times of one route in this and the last window."""

    window: int
    """Number of the window."""
    current_s: float = 0.0
    """Longest time in this window in seconds; 0 without a response."""
    previous_s: float = 0.0
    """Longest time in the window before in seconds; 0 without a response."""

    def advance(self, window: int) -> None:
        """Start a window, unless it is this one."""
        if window == self.window:
            return
        is_next = window == self.window + 1
        self.previous_s = self.current_s if is_next else 0.0
        self.window, self.current_s = window, 0.0


class ServiceTimes:
    """Longest times from sending a request to the end of its response, by route."""

    def __init__(self) -> None:
        self.routes: dict[str, LongestTimes] = {}
        """Longest times by name of the route."""

    def on_answered(self, route: str, taken_s: float, now_s: float) -> None:
        """Record a complete response.

        Args:
            route: Name of the route.
            taken_s: Time in seconds from sending the request to the response's end.
            now_s: Current boot-clock time in seconds.
        """
        times = self._times(route, now_s)
        times.current_s = max(times.current_s, taken_s)

    def longest_s(self, route: str, now_s: float) -> float | None:
        """Return the time in seconds within which a request most probably ends.

        None if no request of the route was answered lately.
        """
        if route not in self.routes:
            return None
        times = self._times(route, now_s)
        longest_s = max(times.current_s, times.previous_s)
        return SLOWER_FACTOR * longest_s if longest_s else None

    def _times(self, route: str, now_s: float) -> LongestTimes:
        window = int(now_s // WINDOW_S)
        times = self.routes.setdefault(route, LongestTimes(window))
        times.advance(window)
        return times
