"""Limits of client accounts on one entry host, within its share of them.

The limits hold over all entry hosts, since the hosts' shares add up to them.
Requests are charged when they are taken, tokens when they were made: an account
may go into debt with tokens by the requests that run, and is refused until the
debt is paid off.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.limits.buckets import TokenBucket

if TYPE_CHECKING:
    from tanagerturn.serving.requests.ids import ClientAccountId

BURST_S: Final = 1.0
"""Burst of a rate, as the time in which the rate makes it."""

CONCURRENT_RETRY_S: Final = 1.0


class Limit(Enum):
    """Which limit was reached."""

    REQUESTS = "requests per second"
    CONCURRENT = "concurrent requests"
    TOKENS = "tokens per second"


@dataclass(frozen=True)
class Allowance:
    """What one entry host may let a client account use."""

    requests_per_s: float
    """Requests per second."""
    concurrent_requests: int
    """Requests at once."""
    tokens_per_s: float
    """Tokens per second."""


@dataclass(frozen=True)
class Within:
    """The request is within the limits and was charged."""


@dataclass(frozen=True)
class Over:
    """The request is over a limit and was not charged."""

    limit: Limit
    """The limit that was reached."""
    retry_after_s: float
    """Time after which it is within the limit again."""


class _Account:
    """Use of one client account."""

    def __init__(self, allowance: Allowance, now_s: float) -> None:
        self.allowance = allowance
        self.requests = TokenBucket(
            allowance.requests_per_s, request_burst(allowance), now_s
        )
        self.tokens = TokenBucket(
            allowance.tokens_per_s, allowance.tokens_per_s * BURST_S, now_s
        )
        self.concurrent = 0

    def set_allowance(self, allowance: Allowance, now_s: float) -> None:
        self.allowance = allowance
        rate = allowance.requests_per_s
        self.requests.set_rate(rate, request_burst(allowance), now_s)
        tokens = allowance.tokens_per_s
        self.tokens.set_rate(tokens, tokens * BURST_S, now_s)


def request_burst(allowance: Allowance) -> float:
    """Return how many requests may come at once; at least one."""
    return max(1.0, allowance.requests_per_s * BURST_S)


def share_of(allowance: Allowance, share: float) -> Allowance:
    """Return a host's part of an account's limits.

    Args:
        allowance: Limits over all entry hosts.
        share: Part of this host, 0 to 1. Concurrent requests are rounded down,
            so that parts never add up to more, but a host keeps at least one.
    """
    return Allowance(
        requests_per_s=allowance.requests_per_s * share,
        concurrent_requests=max(1, int(allowance.concurrent_requests * share)),
        tokens_per_s=allowance.tokens_per_s * share,
    )


class AccountLimiter:
    """Limits on one entry host; its caller keeps calls apart."""

    def __init__(self) -> None:
        self.accounts: dict[ClientAccountId, _Account] = {}
        """Use by client account."""

    def set_allowance(
        self, account: ClientAccountId, allowance: Allowance, now_s: float
    ) -> None:
        """Set what the host may let a client account use."""
        known = self.accounts.get(account)
        if known is None:
            self.accounts[account] = _Account(allowance, now_s)
        elif known.allowance != allowance:
            known.set_allowance(allowance, now_s)

    def start(self, account: ClientAccountId, now_s: float) -> Within | Over:
        """Charge a request, or tell why it is over a limit.

        Raises:
            KeyError: No allowance was set for the client account.
        """
        use = self.accounts[account]
        if use.concurrent >= use.allowance.concurrent_requests:
            return Over(Limit.CONCURRENT, CONCURRENT_RETRY_S)
        wait_s = use.requests.wait_s(1.0, now_s)
        if wait_s > 0:
            return Over(Limit.REQUESTS, wait_s)
        wait_s = use.tokens.wait_s(1.0, now_s)
        if wait_s > 0:
            return Over(Limit.TOKENS, wait_s)
        use.requests.take(1.0, now_s)
        use.concurrent += 1
        return Within()

    def finish(self, account: ClientAccountId, tokens: int, now_s: float) -> None:
        """End a request and charge the tokens that it made."""
        use = self.accounts.get(account)
        if use is None:
            return
        use.concurrent -= 1
        use.tokens.take(tokens, now_s)

    def demand(self, account: ClientAccountId) -> int:
        """Return the requests of a client account that run now."""
        use = self.accounts.get(account)
        return use.concurrent if use is not None else 0
