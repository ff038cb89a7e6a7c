"""Retry budget of a service over all gateways in a sliding window; without I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

SAFETY_FACTOR: Final = 0.7
"""Share of the budget that is granted, because the gateways may temporarily differ in
the number of gateways that they count."""


@dataclass(frozen=True)
class RetryLimits:
    """Retry budget of a service over all gateways."""

    window_s: float
    """Length of the sliding window in seconds."""
    ratio: float
    """Number of retries allowed per request."""
    allowance: float
    """Number of retries allowed per window in addition to `ratio`."""


class RetryWindow:
    """Requests and retries of one service at one gateway.

    Args:
        limits: Retry budget of the service over all gateways.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self.limits = limits
        """Retry budget of the service over all gateways."""
        self.requests: deque[float] = deque()
        """Monotonic times of the requests in the window, in seconds."""
        self.retries: deque[float] = deque()
        """Monotonic times of the retries in the window, in seconds."""

    def on_request(self, now_s: float) -> None:
        """Count a request of a caller at `now_s`, a monotonic time in seconds."""
        self.requests.append(now_s)
        self._remove_expired(now_s)

    def take(self, gateways: int, now_s: float) -> bool:
        """Use one retry; return False if the budget of this gateway is exhausted.

        Args:
            gateways: Number of gateways that share the allowance, recently lost ones
                included; 0 if it is unknown, then there is no allowance.
            now_s: Monotonic time in seconds.
        """
        self._remove_expired(now_s)
        limits = self.limits
        allowance = limits.allowance / gateways if gateways else 0.0
        allowed = allowance + limits.ratio * len(self.requests)
        if len(self.retries) + 1 > SAFETY_FACTOR * allowed:
            return False
        self.retries.append(now_s)
        return True

    def _remove_expired(self, now_s: float) -> None:
        before_s = now_s - self.limits.window_s
        for times in (self.requests, self.retries):
            while times and times[0] <= before_s:
                times.popleft()
