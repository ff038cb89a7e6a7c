"""Limits of client accounts on one entry host, within the host's share of them.

The limits apply over all entry hosts because the shares of the hosts add up to them.
Requests are charged when they start and tokens when they have been generated, so that
running requests may put an account into token debt; the account is then refused until
the debt is refilled.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.limits.buckets import TokenBucket

if TYPE_CHECKING:
    from tanagerturn.serving.requests.ids import ClientAccountId

BURST_S: Final = 1.0
"""Burst of a rate limit, in seconds of that rate."""

CONCURRENCY_RETRY_AFTER_S: Final = 1.0
"""Retry delay when the limit of concurrent requests is reached, in seconds."""


class Limit(Enum):
    """Kind of a limit."""

    REQUESTS = "requests per second"
    CONCURRENT = "concurrent requests"
    TOKENS = "tokens per second"


@dataclass(frozen=True)
class Allowance:
    """Limits of one client account on one entry host."""

    requests_per_s: float
    """Started requests per second."""
    concurrent_requests: int
    """Concurrently running requests."""
    tokens_per_s: float
    """Generated tokens per second."""


@dataclass(frozen=True)
class Within:
    """The request is within the limits and was charged."""


@dataclass(frozen=True)
class LimitExceeded:
    """The request is over a limit and was not charged."""

    limit: Limit
    """The limit that was reached."""
    retry_after_s: float
    """Seconds after which a request may be within the limit again."""


class _AccountUsage:
    """Current usage of one client account."""

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
    """Return the burst of the request rate; at least 1."""
    return max(1.0, allowance.requests_per_s * BURST_S)


def scale_allowance(allowance: Allowance, share: float) -> Allowance:
    """Return a host's share of the limits of an account.

    Args:
        allowance: Limits over all entry hosts.
        share: Share of this host, 0 to 1. Concurrent requests are rounded down so
            that the shares do not add up to more than the limit, but each host gets
            at least one.
    """
    return Allowance(
        requests_per_s=allowance.requests_per_s * share,
        concurrent_requests=max(1, int(allowance.concurrent_requests * share)),
        tokens_per_s=allowance.tokens_per_s * share,
    )


class AccountLimiter:
    """Limits of all client accounts on one entry host; not thread-safe."""

    def __init__(self) -> None:
        self.accounts: dict[ClientAccountId, _AccountUsage] = {}
        """Usage by client account."""

    def set_allowance(
        self, account: ClientAccountId, allowance: Allowance, now_s: float
    ) -> None:
        """Set the limits of a client account on this host."""
        known = self.accounts.get(account)
        if known is None:
            self.accounts[account] = _AccountUsage(allowance, now_s)
        elif known.allowance != allowance:
            known.set_allowance(allowance, now_s)

    def start(self, account: ClientAccountId, now_s: float) -> Within | LimitExceeded:
        """Charge a request if it is within the limits.

        Args:
            account: Client account of the request.
            now_s: Monotonic clock in seconds.

        Returns:
            `Within` when the request was charged, or the limit that it exceeds.

        Raises:
            KeyError: No limits were set for the client account.
        """
        usage = self.accounts[account]
        if usage.concurrent >= usage.allowance.concurrent_requests:
            return LimitExceeded(Limit.CONCURRENT, CONCURRENCY_RETRY_AFTER_S)
        wait_s = usage.requests.wait_s(1.0, now_s)
        if wait_s > 0:
            return LimitExceeded(Limit.REQUESTS, wait_s)
        wait_s = usage.tokens.wait_s(1.0, now_s)
        if wait_s > 0:
            return LimitExceeded(Limit.TOKENS, wait_s)
        usage.requests.take(1.0, now_s)
        usage.concurrent += 1
        return Within()

    def finish(self, account: ClientAccountId, tokens: int, now_s: float) -> None:
        """End a request and charge the tokens that it generated."""
        usage = self.accounts.get(account)
        if usage is None:
            return
        usage.concurrent -= 1
        usage.tokens.take(tokens, now_s)

    def demand(self, account: ClientAccountId) -> int:
        """Return the number of running requests of a client account."""
        usage = self.accounts.get(account)
        return usage.concurrent if usage is not None else 0
