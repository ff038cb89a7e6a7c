"""Limits that backend servers name for the requests of all gateways together; no I/O.

A backend server names its limit in responses, which gateways receive at different
times. The latest statement that any gateway received is in force at all.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, NewType

from tanagerturn.serving.limits.terms import AccountLimit

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

LimitKey = NewType("LimitKey", str)
"""Id and start time of a backend server."""

MIN_RATE_PER_S: Final = 0.2
"""Smallest limit in requests per second: without any request, a backend server could
not raise its limit."""

BURST_S: Final = 0.5
"""Time in seconds whose requests may be sent at once after a pause."""

ENDED_MAX_AGE_S: Final = 10.0
"""Time in seconds for which the end of a limit is remembered and reported; peers have
heard of it by then."""


@dataclass(frozen=True)
class NamedLimit:
    """The latest statement of a backend server on its limit."""

    rate_per_s: float | None
    """Requests per second from all gateways together; None if it named none."""
    named_s: float
    """Monotonic time in seconds at which a gateway received the statement."""


class NamedLimits:
    """Latest statements of all backend servers, as known to one gateway."""

    def __init__(self) -> None:
        self.statements: dict[LimitKey, NamedLimit] = {}
        """Latest statement by backend server; those without a limit are missing."""
        self.urgent: set[LimitKey] = set()
        """Backend servers whose limit has changed and peers do not know it yet."""

    def on_response(
        self, key: LimitKey, rate_per_s: float | None, sent_s: float, now_s: float
    ) -> bool:
        """Record what a response to a request of this gateway says.

        Args:
            key: Backend server.
            rate_per_s: Limit that the response names; None if it names none.
            sent_s: Monotonic time in seconds at which the request was sent.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the limit in force has changed.
        """
        known = self.statements.get(key)
        if rate_per_s is None and (known is None or known.rate_per_s is None):
            return False
        if rate_per_s is None and known is not None and sent_s <= known.named_s:
            # Responses overtake each other, so this one may be older than the limit.
            return False
        self.statements[key] = NamedLimit(rate_per_s, now_s)
        has_changed = known is None or known.rate_per_s != rate_per_s
        if has_changed:
            self.urgent.add(key)
        return has_changed

    def merge(self, key: LimitKey, reported: NamedLimit) -> bool:
        """Apply a statement that a peer reported, unless a later one is known.

        Args:
            key: Backend server.
            reported: The statement, in this gateway's monotonic time.

        Returns:
            Whether the limit in force has changed.
        """
        known = self.statements.get(key)
        if known is not None and reported.named_s <= known.named_s:
            return False
        self.statements[key] = reported
        known_rate_per_s = None if known is None else known.rate_per_s
        return reported.rate_per_s != known_rate_per_s

    def expire(self, present: Collection[LimitKey], now_s: float) -> bool:
        """Forget ended limits, and those of backend servers that are gone.

        Args:
            present: Backend servers that this gateway knows.
            now_s: Monotonic time in seconds.

        Returns:
            Whether a limit in force was forgotten.
        """
        dropped = {
            key: statement
            for key, statement in self.statements.items()
            if now_s - statement.named_s >= ENDED_MAX_AGE_S
            and (statement.rate_per_s is None or key not in present)
        }
        for key in dropped:
            del self.statements[key]
        return any(each.rate_per_s is not None for each in dropped.values())

    def in_force(self) -> Mapping[str, AccountLimit]:
        """Return the limits in force by backend server."""
        return {
            key: _limit(statement.rate_per_s)
            for key, statement in self.statements.items()
            if statement.rate_per_s is not None
        }

    def take_urgent(self) -> list[LimitKey]:
        """Return the backend servers whose limits peers have to learn; clear them."""
        urgent, self.urgent = self.urgent, set()
        return sorted(key for key in urgent if key in self.statements)


def _limit(rate_per_s: float) -> AccountLimit:
    rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
    return AccountLimit(rate_per_s, max(1.0, BURST_S * rate_per_s))
