"""Retry budget: a share of the first attempts, by service and client account."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_CREDITS: Final = 10.0
"""Maximum number of retries that accumulate while none are used."""

INITIAL_CREDITS: Final = 3.0
"""Retries available before any first attempt was counted."""


@dataclass(frozen=True)
class BudgetKey:
    """Service and client account that share a budget."""

    service: str
    """Called service."""
    client_account: str
    """Calling client account."""


class RetryBudget:
    """Counts first attempts and grants retries; not thread-safe."""

    def __init__(self) -> None:
        self.credits: dict[BudgetKey, float] = {}
        """Available retries, by budget; fractions accumulate."""

    def on_first_attempt(self, key: BudgetKey, share: float) -> None:
        """Count a first attempt.

        Args:
            key: Budget to credit.
            share: Retries credited per first attempt.
        """
        credit = self.credits.get(key, INITIAL_CREDITS)
        self.credits[key] = min(MAX_CREDITS, credit + share)

    def take(self, key: BudgetKey) -> bool:
        """Use one retry or hedge; return False when the budget is exhausted."""
        credit = self.credits.get(key, INITIAL_CREDITS)
        if credit < 1.0:
            return False
        self.credits[key] = credit - 1.0
        return True
