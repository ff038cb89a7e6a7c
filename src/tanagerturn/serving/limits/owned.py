"""Limits of client accounts, each kept by one gateway for all of them; pure.

All gateways hash an account to the same owner among those present, so one bucket
counts the whole account. Answers the pattern of few large requests over many
gateways: a part of the limit at each of ninety gateways would be smaller than one
request. An owner that sees only a part of the gateways gives out only that part:
the others may have found another owner.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

from tanagerturn.serving.limits.buckets import TokenBucket
from tanagerturn.serving.limits.spread import (
    RETRY_LEAST_S,
    Admitted,
    Exceeded,
    SpreadTerms,
    Tolerance,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

START_SHARE: Final = 0.5
"""Part of a burst that a new owner starts with; the one before it may have given
the rest out."""

SUSTAINED_SHARE: Final = 0.5
"""Part of the tolerated excess of a window by which the rate is raised: a request
that does no harm is not refused. The rest is left for a change of owners, when the
new one gives out what the old one may have given out just before."""

DEBT_SHARE: Final = 0.12
"""Part of the tolerated excess that an account may go into debt: refusing a
request that is within the limit by another count of time costs a caller more."""

SMALL_SHARE: Final = 0.01
"""Requests that take less than this part of a second's units are small: purchases
and lookups beside generations."""

SMALL_DEBT_SHARE: Final = 0.2
"""The same debt for small requests, so that an account's large generations do not
keep its purchases out; all small ones together are about a hundredth of the units."""


class OwnedLimits:
    """Buckets of the accounts that this gateway owns.

    Args:
        tolerance: What accounts may get beyond their limits.
    """

    def __init__(self, tolerance: Tolerance) -> None:
        self.tolerance = tolerance
        """What accounts may get beyond their limits."""
        self.terms: Mapping[str, SpreadTerms] = {}
        """Limits in force."""
        self.visible_share = 1.0
        """Part of the gateways that this one sees."""
        self.buckets: dict[str, TokenBucket] = {}
        """Buckets of owned accounts."""

    def set_terms(self, terms: Mapping[str, SpreadTerms], now_s: float) -> None:
        """Take over the limits of a configuration."""
        self.terms = terms
        self.buckets = {n: b for n, b in self.buckets.items() if n in terms}
        for name in self.buckets:
            self._set_rate(name, now_s)

    def set_visible_share(self, share: float, now_s: float) -> None:
        """Take the part of the gateways that this one sees, 0 to 1."""
        if share == self.visible_share:
            return
        self.visible_share = share
        for name in self.buckets:
            self._set_rate(name, now_s)

    def forget_others(self, owned: Iterable[str]) -> None:
        """Drop the buckets of accounts that another gateway owns now."""
        kept = frozenset(owned)
        self.buckets = {n: b for n, b in self.buckets.items() if n in kept}

    def take(self, name: str, units: float, now_s: float) -> Admitted | Exceeded:
        """Charge a request, if its account is within its limit."""
        terms = self.terms.get(name)
        if terms is None:
            return Admitted()
        bucket = self._bucket(name, now_s)
        is_small = units <= SMALL_SHARE * terms.rate_per_s
        debt_share = SMALL_DEBT_SHARE if is_small else DEBT_SHARE
        debt = debt_share * self.tolerance.beyond(terms)
        wait_s = bucket.wait_s(min(units, terms.burst) - debt, now_s)
        if wait_s > 0:
            return Exceeded(max(RETRY_LEAST_S, wait_s))
        bucket.take(units, now_s)
        return Admitted()

    def correct(self, name: str, units: float, now_s: float) -> None:
        """Count units that were let in elsewhere; less than 0 gives units back."""
        if name in self.terms:
            self._bucket(name, now_s).take(units, now_s)

    def _bucket(self, name: str, now_s: float) -> TokenBucket:
        bucket = self.buckets.get(name)
        if bucket is None:
            terms = self.terms[name]
            bucket = TokenBucket(terms.rate_per_s, terms.burst, now_s)
            bucket.units *= START_SHARE
            self.buckets[name] = bucket
            self._set_rate(name, now_s)
        return bucket

    def _set_rate(self, name: str, now_s: float) -> None:
        terms, tolerance = self.terms[name], self.tolerance
        sustained = SUSTAINED_SHARE * tolerance.beyond(terms) / tolerance.window_s
        rate_per_s = (terms.rate_per_s + sustained) * self.visible_share
        self.buckets[name].set_rate(rate_per_s, terms.burst, now_s)


def owner_of(account: str, gateways: Iterable[str]) -> str:
    """Return the gateway that keeps an account's limit.

    Args:
        account: Client account.
        gateways: Gateways that are present, at least one.
    """
    return max(
        gateways, key=lambda host: xxhash.xxh64_intdigest(f"{host}|{account}".encode())
    )
