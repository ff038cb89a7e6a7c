"""Amounts of the three kinds of limits, and their split into safe shares and pool."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.schema import shares_pb2 as spb

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.schema.settings_pb2 import AccountLimits

LIMIT_KINDS: Final = ("requests_per_s", "concurrent_requests", "tokens_per_s")
"""Kinds of limits: the fields of `Amounts`."""

INTEGER_KIND: Final = "concurrent_requests"
"""Kind of limit whose shares are whole numbers."""

SAFE_FRACTION: Final = 0.5
"""Fraction of each limit that is divided into equal safe shares."""


@dataclass(frozen=True)
class LimitSplit:
    """Limits of one client account, split into safe shares and a pool."""

    safe_share: spb.Amounts
    """Safe share of each host."""
    pool: spb.Amounts
    """Amounts that the allocator divides among the hosts by demand."""


def split_limits(limits: AccountLimits, host_count: int) -> LimitSplit:
    """Split the limits of a client account into safe shares and a pool.

    For up to `host_count` hosts, safe shares and pool add up to the limit. But the safe
    share of concurrent requests is at least one, so hosts may exceed a limit below
    their number by the difference.

    Args:
        limits: Limits that hold across all hosts.
        host_count: Largest number of hosts that accept the account's requests; 0 counts
            as 1.
    """
    host_count = max(1, host_count)
    safe_fraction = SAFE_FRACTION / host_count
    safe_concurrent = max(1, math.floor(limits.concurrent_requests * safe_fraction))
    safe = spb.Amounts(
        requests_per_s=limits.requests_per_s * safe_fraction,
        concurrent_requests=safe_concurrent,
        tokens_per_s=limits.tokens_per_s * safe_fraction,
    )
    pool = spb.Amounts(
        requests_per_s=limits.requests_per_s * (1 - SAFE_FRACTION),
        concurrent_requests=max(
            0, limits.concurrent_requests - safe_concurrent * host_count
        ),
        tokens_per_s=limits.tokens_per_s * (1 - SAFE_FRACTION),
    )
    return LimitSplit(safe, pool)


def add_amounts(first: spb.Amounts, second: spb.Amounts) -> spb.Amounts:
    """Return the sum of two amounts."""
    return spb.Amounts(
        **{k: getattr(first, k) + getattr(second, k) for k in LIMIT_KINDS}
    )


def fair_shares(demands: Mapping[str, float], pool: float) -> dict[str, float]:
    """Divide a pool by max-min fairness; holders share the surplus equally.

    Args:
        demands: Demand by holder id, in the unit of the pool.
        pool: Amount to divide.

    Returns:
        Share by holder id; the shares add up to the pool, unless there is no holder.
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
