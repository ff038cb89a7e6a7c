"""Amounts of the three kinds of limits, and how each limit is split."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.schema import shares_pb2 as spb

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.schema.settings_pb2 import AccountLimits

KINDS: Final = ("requests_per_s", "concurrent_requests", "tokens_per_s")
"""Fields of `Amounts`."""

WHOLE: Final = "concurrent_requests"
"""The kind that is divided in whole numbers."""

SAFE_FRACTION: Final = 0.5
"""Part of a limit that is divided equally for good."""


@dataclass(frozen=True)
class LimitSplit:
    """A client account's limits, split for a number of hosts."""

    safe: spb.Amounts
    """Safe share of each host."""
    pool: spb.Amounts
    """What the allocator divides by demand."""


def split_limits(limits: AccountLimits, hosts: int) -> LimitSplit:
    """Split the limits of a client account.

    Safe shares and pool add up to the limit for at most `hosts` hosts. Only of
    concurrent requests a safe share is one at least, so that a limit below the
    number of hosts may be exceeded by the difference.

    Args:
        limits: Limits over all hosts.
        hosts: Largest number of hosts that take the account's requests.
    """
    hosts = max(1, hosts)
    rate = SAFE_FRACTION / hosts
    whole = max(1, math.floor(limits.concurrent_requests * rate))
    safe = spb.Amounts(
        requests_per_s=limits.requests_per_s * rate,
        concurrent_requests=whole,
        tokens_per_s=limits.tokens_per_s * rate,
    )
    pool = spb.Amounts(
        requests_per_s=limits.requests_per_s * (1 - SAFE_FRACTION),
        concurrent_requests=max(0, limits.concurrent_requests - whole * hosts),
        tokens_per_s=limits.tokens_per_s * (1 - SAFE_FRACTION),
    )
    return LimitSplit(safe, pool)


def added(one: spb.Amounts, other: spb.Amounts) -> spb.Amounts:
    """Return the sum of two amounts."""
    return spb.Amounts(**{k: getattr(one, k) + getattr(other, k) for k in KINDS})


def fair_shares(demands: Mapping[str, float], pool: float) -> dict[str, float]:
    """Divide a pool: no more than each asks for, and the rest in equal parts.

    Args:
        demands: What each holder asks for.
        pool: What there is.

    Returns:
        Share by holder; they add up to the pool.
    """
    shares = {}
    left = pool
    order = sorted(demands, key=lambda holder: (demands[holder], holder))
    for place, holder in enumerate(order):
        equal = left / (len(order) - place)
        shares[holder] = min(demands[holder], equal)
        left -= shares[holder]
    spare = left / max(1, len(order))
    return {holder: share + spare for holder, share in shares.items()}
