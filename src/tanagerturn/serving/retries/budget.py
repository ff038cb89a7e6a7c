"""Retry budget by service and client account, as a share of the first attempts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_CREDITS: Final = 10.0
"""Maximum number of unused retries that accumulate."""

INITIAL_CREDITS: Final = 3.0
"""Number of retries available before any first attempt."""


@dataclass(frozen=True)
class BudgetKey:
    """Service and client account that share a retry budget."""

    service: str
    """Called service."""
    client_account: str
    """Calling client account."""


class RetryBudget:
    """Counts first attempts and grants retries; not thread-safe."""

    def __init__(self) -> None:
        self.credits: dict[BudgetKey, float] = {}
        """Number of available retries of each budget; fractions accumulate."""

    def on_first_attempt(self, key: BudgetKey, share: float) -> None:
        """Count a first attempt.

        Args:
            key: Service and client account of the attempt.
            share: Number of retries that each first attempt adds to the budget.
        """
        credit = self.credits.get(key, INITIAL_CREDITS)
        self.credits[key] = min(MAX_CREDITS, credit + share)

    def take(self, key: BudgetKey) -> bool:
        """Use one retry or hedge of a budget; return False if none is available."""
        credit = self.credits.get(key, INITIAL_CREDITS)
        if credit < 1.0:
            return False
        self.credits[key] = credit - 1.0
        return True
