"""Limits of client accounts on one entry host, within the host's share of each limit.

The limits apply over all entry hosts because the shares of the hosts add up to them.
Requests are charged when they start and tokens after they have been generated, so that
running requests may put an account into token debt. Requests of the account are then
refused until the debt is refilled.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.limits.buckets import TokenBucket

if TYPE_CHECKING:
    from tanagerturn.serving.requests.ids import ClientAccountId

BURST_S: Final = 1.0
"""Seconds of a rate limit that may be used at once after a pause."""

CONCURRENCY_RETRY_AFTER_S: Final = 1.0
"""Retry delay in seconds when the limit of concurrent requests is reached."""


class Limit(Enum):
    """Kind of limit of a client account."""

    REQUESTS = "requests per second"
    CONCURRENT = "concurrent requests"
    TOKENS = "tokens per second"


@dataclass(frozen=True)
class Allowance:
    """Limits of one client account on one entry host."""

    requests_per_s: float
    """Number of requests that may start per second."""
    concurrent_requests: int
    """Number of requests that may run concurrently."""
    tokens_per_s: float
    """Number of tokens that may be generated per second."""


@dataclass(frozen=True)
class Within:
    """The request is within the limits and was charged."""


@dataclass(frozen=True)
class LimitExceeded:
    """The request exceeds a limit and was not charged."""

    limit: Limit
    """The exceeded limit."""
    retry_after_s: float
    """Seconds after which a request may be within the limit again."""


class _AccountUsage:
    """Current usage of the limits of one client account."""

    def __init__(self, allowance: Allowance, now_s: float) -> None:
        self.allowance = allowance
        self.request_bucket = TokenBucket(
            allowance.requests_per_s, request_burst(allowance), now_s
        )
        self.token_bucket = TokenBucket(
            allowance.tokens_per_s, allowance.tokens_per_s * BURST_S, now_s
        )
        self.concurrent = 0

    def set_allowance(self, allowance: Allowance, now_s: float) -> None:
        self.allowance = allowance
        rate = allowance.requests_per_s
        self.request_bucket.set_rate(rate, request_burst(allowance), now_s)
        tokens = allowance.tokens_per_s
        self.token_bucket.set_rate(tokens, tokens * BURST_S, now_s)


def request_burst(allowance: Allowance) -> float:
    """Return the number of requests that may start at once, at least 1."""
    return max(1.0, allowance.requests_per_s * BURST_S)


def scale_allowance(allowance: Allowance, share: float) -> Allowance:
    """Return an entry host's share of the limits of an account.

    Args:
        allowance: Limits of the account over all entry hosts.
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
        """Usage of each client account with limits, by account."""

    def set_allowance(
        self, account: ClientAccountId, allowance: Allowance, now_s: float
    ) -> None:
        """Set the limits of a client account on this host.

        Args:
            account: The client account.
            allowance: This host's share of its limits.
            now_s: Monotonic time in seconds.
        """
        known = self.accounts.get(account)
        if known is None:
            self.accounts[account] = _AccountUsage(allowance, now_s)
        elif known.allowance != allowance:
            known.set_allowance(allowance, now_s)

    def start(self, account: ClientAccountId, now_s: float) -> Within | LimitExceeded:
        """Charge a request if it is within the limits of its account.

        Args:
            account: Client account of the request.
            now_s: Monotonic time in seconds.

        Returns:
            `Within` if the request was charged, otherwise the limit that it exceeds.

        Raises:
            KeyError: No limits were set for the client account.
        """
        usage = self.accounts[account]
        if usage.concurrent >= usage.allowance.concurrent_requests:
            return LimitExceeded(Limit.CONCURRENT, CONCURRENCY_RETRY_AFTER_S)
        wait_s = usage.request_bucket.wait_s(1.0, now_s)
        if wait_s > 0:
            return LimitExceeded(Limit.REQUESTS, wait_s)
        wait_s = usage.token_bucket.wait_s(1.0, now_s)
        if wait_s > 0:
            return LimitExceeded(Limit.TOKENS, wait_s)
        usage.request_bucket.charge(1.0, now_s)
        usage.concurrent += 1
        return Within()

    def finish(self, account: ClientAccountId, tokens: int, now_s: float) -> None:
        """End a request and charge its generated tokens.

        Args:
            account: Client account of the request.
            tokens: Number of tokens that the request generated.
            now_s: Monotonic time in seconds.
        """
        usage = self.accounts.get(account)
        if usage is None:
            return
        usage.concurrent -= 1
        usage.token_bucket.charge(tokens, now_s)

    def demand(self, account: ClientAccountId) -> int:
        """Return the number of running requests of a client account."""
        usage = self.accounts.get(account)
        return usage.concurrent if usage is not None else 0
