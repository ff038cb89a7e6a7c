"""Requests that an unproven version may still receive, and the shares that follow."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from tanagerturn.serving.rollouts._reports import Reports
    from tanagerturn.serving.rollouts.messages import ExposureBound

USED_ALLOWANCE: Final = 0.9
"""Part of the allowance that is planned with; the rest covers rounding at gateways."""

RATE_MARGIN: Final = 1.15
"""Factor on the measured rate for what is still to come, for bursts."""

NEEDED_PART: Final = 0.75
WANTED_PART: Final = 0.5
"""Highest parts of the whole budget that are kept for the last stage and its tests."""

RATE_WINDOW_MS: Final = 3000
"""Time in milliseconds over which the rate is measured."""

SHARE_MEMORY_MS: Final = 3000
"""Time in milliseconds for which a share that was issued may still be in use."""


class ExposureBudget:
    """Budget of one rollout.

    At each moment the target has received at most the bound's share of what the service
    has been seen to receive, plus a part of the allowance. What gateways have not
    reported yet is added at the highest share that may be in use.

    Args:
        bound: The bound.
        duration_ms: Duration of the rollout in milliseconds.
    """

    def __init__(self, bound: ExposureBound, duration_ms: int) -> None:
        self.bound = bound
        """The bound."""
        self.duration_ms = duration_ms
        """Duration of the rollout in milliseconds."""
        self.rate_per_ms = 0.0
        """Requests of the service per millisecond."""
        self.left = 0.0
        """Requests that the target may still receive."""
        self._samples: deque[tuple[int, int]] = deque()
        self._shares: deque[tuple[int, float]] = deque()

    def update(self, reports: Reports, share: float, now_ms: int) -> None:
        """Update the budget from the latest reports.

        Args:
            reports: Reports of the gateways.
            share: Share that was issued last.
            now_ms: Current time in milliseconds.
        """
        self._samples.append((now_ms, reports.seen))
        while now_ms - self._samples[0][0] > RATE_WINDOW_MS:
            self._samples.popleft()
        since_ms, seen = self._samples[0]
        if now_ms > since_ms:
            self.rate_per_ms = (reports.seen - seen) / (now_ms - since_ms)
        self._shares.append((now_ms, share))
        while now_ms - self._shares[0][0] > SHARE_MEMORY_MS:
            self._shares.popleft()
        ages = [now_ms - report.received_ms for report in reports.latest.values()]
        age_ms = sum(ages) / len(ages) if ages else 0.0
        unseen = max(s for _, s in self._shares) * self.rate_per_ms * age_ms
        allowed = self.bound.share * reports.seen
        allowed += USED_ALLOWANCE * self.bound.allowance
        self.left = allowed - reports.exposed - unseen

    def highest_share(self, valid_ms: float) -> float:
        """Return the highest share that the budget covers for a permission's time."""
        expected = RATE_MARGIN * self.rate_per_ms * valid_ms
        return 1.0 if expected <= self.left else max(0.0, self.left / expected)

    def allows_full(self, exposed_ms: float) -> bool:
        """Return whether the target may get all requests for a time in milliseconds."""
        return RATE_MARGIN * self.rate_per_ms * exposed_ms <= self.left

    def planned_share(
        self, left_ms: float, needed_ms: float, wanted_ms: float
    ) -> float:
        """Return the share that leaves enough for the last stage.

        Args:
            left_ms: Time in milliseconds until the last stage.
            needed_ms: Time in milliseconds at a share of 1 that it needs.
            wanted_ms: The same with all tests under load.
        """
        expected = self.rate_per_ms * left_ms
        if not expected:
            return 0.0
        total = self.left + self.bound.share * expected
        per_ms = RATE_MARGIN * self.rate_per_ms
        # A part of what is left instead of the whole would be spent bit by bit.
        whole = self.bound.share * self.rate_per_ms * self.duration_ms
        whole += USED_ALLOWANCE * self.bound.allowance
        needed = min(per_ms * needed_ms, NEEDED_PART * whole)
        kept = max(needed, min(per_ms * wanted_ms, WANTED_PART * whole))
        return max(0.0, min(1.0, (total - kept) / expected))

    def share_for(self, responses: int, left_ms: float) -> float:
        """Return the share that gives a number of responses within a time."""
        expected = self.rate_per_ms * max(1.0, left_ms)
        return max(0.0, min(1.0, responses / expected)) if expected else 0.0
