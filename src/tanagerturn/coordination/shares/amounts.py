"""Amounts of the three kinds of limits, and the split of each limit."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.schema import shares_pb2 as spb

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.schema.settings_pb2 import AccountLimits

LIMIT_KINDS: Final = ("requests_per_s", "concurrent_requests", "tokens_per_s")
"""Fields of `Amounts`."""

INTEGER_KIND: Final = "concurrent_requests"
"""Kind that is divided in whole numbers."""

SAFE_FRACTION: Final = 0.5
"""Fraction of a limit that is divided into equal safe shares."""


@dataclass(frozen=True)
class LimitSplit:
    """Limits of a client account, split for a number of hosts."""

    safe: spb.Amounts
    """Safe share of each host."""
    pool: spb.Amounts
    """Amounts that the allocator divides by demand."""


def split_limits(limits: AccountLimits, hosts: int) -> LimitSplit:
    """Split the limits of a client account into safe shares and a pool.

    For up to `hosts` hosts, safe shares and pool add up to the limit, except that the
    safe share of concurrent requests is at least one: a limit below the number of hosts
    may be exceeded by the difference.

    Args:
        limits: Limits across all hosts.
        hosts: Largest number of hosts that accept the account's requests.
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


def add_amounts(first: spb.Amounts, second: spb.Amounts) -> spb.Amounts:
    """Return the sum of two amounts."""
    return spb.Amounts(
        **{k: getattr(first, k) + getattr(second, k) for k in LIMIT_KINDS}
    )


def fair_shares(demands: Mapping[str, float], pool: float) -> dict[str, float]:
    """Divide a pool by max-min fairness, and the surplus in equal parts.

    Args:
        demands: Demand by holder.
        pool: Amount to divide.

    Returns:
        Share by holder; the shares add up to the pool.
    """
    shares = {}
    remaining = pool
    order = sorted(demands, key=lambda holder: (demands[holder], holder))
    for position, holder in enumerate(order):
        equal = remaining / (len(order) - position)
        shares[holder] = min(demands[holder], equal)
        remaining -= shares[holder]
    surplus = remaining / max(1, len(order))
    return {holder: share + surplus for holder, share in shares.items()}
