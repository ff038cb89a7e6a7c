"""Retry budget of a service over all gateways, in a sliding window; pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

SAFETY_SHARE: Final = 0.7
"""Part of the budget that is used; other gateways may count a different number of
gateways for a while."""


@dataclass(frozen=True)
class RetryTerms:
    """Repeats that a service may get from all gateways together."""

    window_s: float
    """Length of the sliding window."""
    ratio: float
    """Repeats for each request."""
    allowance: float
    """Repeats beyond that in a window."""


class RetryWindow:
    """Requests and repeats of one service at one gateway.

    Args:
        terms: The budget over all gateways.
    """

    def __init__(self, terms: RetryTerms) -> None:
        self.terms = terms
        """The budget over all gateways."""
        self.requests: deque[float] = deque()
        """Times of requests in the window."""
        self.repeats: deque[float] = deque()
        """Times of repeats in the window."""

    def on_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self.requests.append(now_s)
        self._forget(now_s)

    def take(self, gateways: int, now_s: float) -> bool:
        """Take one repeat, if the budget has one.

        Args:
            gateways: Gateways among which the allowance is divided.
            now_s: Present time.
        """
        self._forget(now_s)
        terms = self.terms
        share = terms.allowance / max(1, gateways) + terms.ratio * len(self.requests)
        if len(self.repeats) + 1 > SAFETY_SHARE * share:
            return False
        self.repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        before_s = now_s - self.terms.window_s
        for times in (self.requests, self.repeats):
            while times and times[0] <= before_s:
                times.popleft()
