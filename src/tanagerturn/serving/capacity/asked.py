"""What callers ask of engines, over all gateways; pure.

Only what is within the limits counts, and each request once: a caller that is sent
away and returns does not ask for more than before.
"""

from __future__ import annotations

import math
from typing import Final

AVERAGE_S: Final = 2.0
"""Time constant of the average; the plan smooths it further."""

KEEP_S: Final = 4.0
"""Time for which what another gateway told counts."""


class AskedTokens:
    """Tokens a second that callers ask, here and elsewhere."""

    def __init__(self) -> None:
        self.own_per_s = 0.0
        """Average of this gateway."""
        self.at_s = 0.0
        """Time of the average."""
        self.others: dict[str, tuple[float, float]] = {}
        """Averages of other gateways, and when they were told."""

    def on_asked(self, tokens: float, now_s: float) -> None:
        """Count a request that is within its limit and came for the first time."""
        self._age(now_s)
        self.own_per_s += tokens / AVERAGE_S

    def on_told(self, gateway: str, tokens_per_s: float, now_s: float) -> None:
        """Take the average of another gateway."""
        self.others[gateway] = (tokens_per_s, now_s)

    def own(self, now_s: float) -> float:
        """Return the average of this gateway."""
        self._age(now_s)
        return self.own_per_s

    def total(self, now_s: float) -> float:
        """Return the average of all gateways."""
        told = [n for n, at_s in self.others.values() if now_s - at_s < KEEP_S]
        return self.own(now_s) + sum(told)

    def _age(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self.at_s)
        self.own_per_s *= math.exp(-passed_s / AVERAGE_S)
        self.at_s = now_s
