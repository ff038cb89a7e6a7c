"""Permission to send one attempt: short-lived on the sender's monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

PERMISSION_LIFE_S: Final = 2.0
"""Life of a permission, from before its commit was sent."""

SETTLE_MARGIN_S: Final = 0.5
"""Added to a permission's life for clocks that run at different rates."""


@dataclass(frozen=True)
class Permission:
    """May one attempt of one request be sent?"""

    attempt: int
    """Attempt that may be sent."""
    expires_at_s: float
    """End on the owner's monotonic clock."""

    def allows(self, now_s: float) -> bool:
        """Tell whether the first byte may leave now."""
        return now_s < self.expires_at_s


def make_permission(attempt: int, asked_at_s: float) -> Permission:
    """Make a permission.

    Args:
        attempt: Attempt that it is for.
        asked_at_s: Monotonic clock of the owner before the commit was sent.
    """
    return Permission(attempt, asked_at_s + PERMISSION_LIFE_S)


def settle_not_before(taken_over_at_s: float) -> float:
    """Return when a permission of the previous owner has surely ended.

    Args:
        taken_over_at_s: Monotonic clock of the new owner after its takeover was
            committed; the earlier permission was asked for before that.
    """
    return taken_over_at_s + PERMISSION_LIFE_S + SETTLE_MARGIN_S
