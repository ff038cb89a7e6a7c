"""Limits of client accounts, each enforced by one owner gateway; without I/O.

All gateways hash an account to the same owner among the present gateways, so that one
bucket counts all requests of the account. This serves accounts that send few large
requests to many gateways: with ninety gateways, the share of the limit at each would be
smaller than one request. An owner that sees only a fraction of the gateways grants only
that fraction of the limit, because the other gateways may have selected another owner.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

from tanagerturn.serving.limits.buckets import TokenBucket
from tanagerturn.serving.limits.terms import (
    MIN_RETRY_AFTER_S,
    AccountLimit,
    Admitted,
    Exceeded,
    Tolerance,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

SUSTAINED_EXCESS_SHARE: Final = 0.5
"""Share of the tolerated excess of a window that is added to the rate, so that no
request is refused without need. The remainder covers debts, the reserve of gateways
that cannot reach the owner, and requests admitted just before their account's owner
changed."""

MAX_DEBT_SHARE: Final = 0.12
"""Share of the tolerated excess up to which an account may go into debt. Refusing
a request that is within the limit by a slightly different clock would cost its caller
more than the debt costs."""

SMALL_REQUEST_SHARE: Final = 0.01
"""Largest size of a small request, as a share of the units of one second; purchases
and lookups are small in comparison with generations."""

SMALL_REQUEST_DEBT_SHARE: Final = 0.2
"""Value of `MAX_DEBT_SHARE` for small requests, so that large generations of an account
do not block its purchases. All small requests together use about 1% of the units."""


class OwnedLimits:
    """Buckets of the client accounts that this gateway owns.

    Args:
        tolerance: Tolerated excess over each limit.
    """

    def __init__(self, tolerance: Tolerance) -> None:
        self.tolerance = tolerance
        """Tolerated excess over each limit."""
        self.limits_by_account: Mapping[str, AccountLimit] = {}
        """Limits in force over all gateways, by client account."""
        self.visible_share = 1.0
        """Fraction of the gateways that this gateway sees, 0 to 1."""
        self.buckets: dict[str, TokenBucket] = {}
        """Bucket of each owned account, by client account."""
        self.added_accounts: frozenset[str] = frozenset()
        """Client accounts that the last change of the configuration added; no previous
        owner can have granted their burst."""

    def replace_limits(self, limits: Mapping[str, AccountLimit], now_s: float) -> None:
        """Apply the limits of a configuration.

        Args:
            limits: Limit of each client account over all gateways.
            now_s: Monotonic time in seconds.
        """
        previous = self.limits_by_account.keys()
        self.added_accounts = frozenset(limits.keys() - previous if previous else ())
        self.limits_by_account = limits
        self.buckets = {n: b for n, b in self.buckets.items() if n in limits}
        for name in self.buckets:
            self._set_rate(name, now_s)

    def set_visible_share(self, share: float, now_s: float) -> None:
        """Set the fraction of the gateways that this gateway sees, 0 to 1."""
        if share == self.visible_share:
            return
        self.visible_share = share
        for name in self.buckets:
            self._set_rate(name, now_s)

    def set_owned(self, owned: Iterable[str], now_s: float) -> None:
        """Set the accounts that this gateway owns, and drop the others' buckets.

        A new owner starts in debt, because the previous one may have granted the whole
        burst just before; changes of owner therefore add no units. Accounts that were
        just added to the configuration start without a debt.

        Args:
            owned: Client accounts that this gateway owns; those without a limit are
                ignored.
            now_s: Monotonic time in seconds.
        """
        owned_names = self.limits_by_account.keys() & set(owned)
        self.buckets = {n: b for n, b in self.buckets.items() if n in owned_names}
        for name in sorted(owned_names - self.buckets.keys()):
            self._bucket(name, now_s)

    def try_charge(self, name: str, units: float, now_s: float) -> Admitted | Exceeded:
        """Charge a request if its account is within its limit.

        Args:
            name: Client account; one without a limit is always admitted.
            units: Number of units that the request uses.
            now_s: Monotonic time in seconds.
        """
        limit = self.limits_by_account.get(name)
        if limit is None:
            return Admitted()
        bucket = self._bucket(name, now_s)
        is_small = units <= SMALL_REQUEST_SHARE * limit.rate_per_s
        debt_share = SMALL_REQUEST_DEBT_SHARE if is_small else MAX_DEBT_SHARE
        debt = debt_share * self.tolerance.excess_units(limit)
        wait_s = bucket.wait_s(min(units, limit.burst) - debt, now_s)
        if wait_s > 0:
            return Exceeded(max(MIN_RETRY_AFTER_S, wait_s))
        bucket.charge(units, now_s)
        return Admitted()

    def apply_correction(self, name: str, units: float, now_s: float) -> None:
        """Charge units that another gateway admitted; negative units are refunded.

        Args:
            name: Client account; one without a limit is ignored.
            units: Number of units.
            now_s: Monotonic time in seconds.
        """
        if name in self.limits_by_account:
            self._bucket(name, now_s).charge(units, now_s)

    def _bucket(self, name: str, now_s: float) -> TokenBucket:
        bucket = self.buckets.get(name)
        if bucket is None:
            limit = self.limits_by_account[name]
            bucket = TokenBucket(limit.rate_per_s, limit.burst, now_s)
            debt = MAX_DEBT_SHARE * self.tolerance.excess_units(limit)
            bucket.units = 0.0 if name in self.added_accounts else -debt
            self.buckets[name] = bucket
            self._set_rate(name, now_s)
        return bucket

    def _set_rate(self, name: str, now_s: float) -> None:
        limit, tolerance = self.limits_by_account[name], self.tolerance
        sustained_excess_per_s = (
            SUSTAINED_EXCESS_SHARE * tolerance.excess_units(limit) / tolerance.window_s
        )
        rate_per_s = (limit.rate_per_s + sustained_excess_per_s) * self.visible_share
        self.buckets[name].set_rate(rate_per_s, limit.burst, now_s)


def owner_of(account: str, gateways: Iterable[str]) -> str:
    """Return the id of the gateway that enforces the limit of an account.

    Args:
        account: Client account.
        gateways: Ids of the present gateways, at least one.
    """
    return max(
        gateways, key=lambda host: xxhash.xxh64_intdigest(f"{host}|{account}".encode())
    )
