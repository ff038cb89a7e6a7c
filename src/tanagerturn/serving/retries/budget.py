"""Retry budget: retries are a share of first tries, by service and account."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

BURST_RETRIES: Final = 10.0
"""Most retries that add up while none are needed."""

FIRST_RETRIES: Final = 3.0
"""Retries allowed before any first try was counted."""


@dataclass(frozen=True)
class BudgetKey:
    """Whose budget it is."""

    service: str
    """Service that is called."""
    client_account: str
    """Client account that calls."""


class RetryBudget:
    """Counts first tries and grants retries; its caller keeps calls apart."""

    def __init__(self) -> None:
        self.credits: dict[BudgetKey, float] = {}
        """Retries at hand."""

    def first_try(self, key: BudgetKey, share: float) -> None:
        """Count a first try.

        Args:
            key: Whose budget it is.
            share: Retries allowed for each first try.
        """
        credit = self.credits.get(key, FIRST_RETRIES)
        self.credits[key] = min(BURST_RETRIES, credit + share)

    def take(self, key: BudgetKey) -> bool:
        """Take one retry or hedge; False when the budget is spent."""
        credit = self.credits.get(key, FIRST_RETRIES)
        if credit < 1.0:
            return False
        self.credits[key] = credit - 1.0
        return True
