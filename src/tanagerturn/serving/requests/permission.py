"""Permission to send one attempt, with an expiry on the sender's monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

PERMISSION_LIFETIME_S: Final = 2.0
"""Lifetime of a permission in seconds, counted from before its commit was sent."""

CLOCK_RATE_MARGIN_S: Final = 0.5
"""Seconds to wait beyond the lifetime of a permission before another process settles
the request, because the clocks of two hosts may run at different rates."""


@dataclass(frozen=True)
class Permission:
    """Permission to start sending one attempt of one request."""

    attempt: int
    """Number of the attempt, from 1."""
    expires_at_s: float
    """Expiry on the monotonic clock of the owner of the record, in seconds."""

    def allows(self, now_s: float) -> bool:
        """Return whether the first byte may be sent at `now_s`.

        Args:
            now_s: Time on the monotonic clock of the owner, in seconds.
        """
        return now_s < self.expires_at_s


def make_permission(attempt: int, requested_at_s: float) -> Permission:
    """Return a permission for an attempt.

    Args:
        attempt: Number of the attempt, from 1.
        requested_at_s: Time on the owner's monotonic clock in seconds, read before the
            commit of the attempt was sent.
    """
    return Permission(attempt, requested_at_s + PERMISSION_LIFETIME_S)


def earliest_settlement_s(taken_over_s: float) -> float:
    """Return the time from which every permission of the previous owner has expired.

    Args:
        taken_over_s: Time on the new owner's monotonic clock in seconds, read after its
            takeover was committed; the previous owner requested its permission before
            the takeover.

    Returns:
        Time on the monotonic clock of the new owner, in seconds.
    """
    return taken_over_s + PERMISSION_LIFETIME_S + CLOCK_RATE_MARGIN_S
