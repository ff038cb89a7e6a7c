"""Units that a gateway may grant without asking the owner of a limit; without I/O.

Each gateway holds an equal part of a reserve, which is a share of the tolerated excess
over the limit. The parts do not depend on demand, and a gateway that does not know how
many gateways there are has none, so that all parts together never exceed the reserve.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.serving.limits.buckets import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.serving.limits.terms import AccountLimit, Tolerance

RESERVE_SHARE: Final = 0.2
"""Share of the tolerated excess of a window that all gateways together may grant
without the owner: half as a burst and half as the refill during a window."""


class GatewayReserve:
    """This gateway's part of the reserve of each limit.

    Args:
        tolerance: Tolerated excess over each limit, over all gateways together.
    """

    def __init__(self, tolerance: Tolerance) -> None:
        self.tolerance = tolerance
        """Tolerated excess over each limit, over all gateways together."""
        self.limits_by_account: Mapping[str, AccountLimit] = {}
        """Limits in force over all gateways, by client account."""
        self.gateways = 0
        """Number of gateways that share the reserve, this one and recently lost ones
        included; 0 while it is unknown."""
        self.buckets: dict[str, TokenBucket] = {}
        """Bucket of each account that used the reserve, by client account."""

    def replace_limits(self, limits: Mapping[str, AccountLimit], now_s: float) -> None:
        """Apply the limits of a configuration.

        Args:
            limits: Limit of each client account over all gateways.
            now_s: Monotonic time in seconds.
        """
        self.limits_by_account = limits
        self.buckets = {n: b for n, b in self.buckets.items() if n in limits}
        self._set_rates(now_s)

    def set_gateways(self, count: int, now_s: float) -> None:
        """Set the number of gateways that share the reserve; 0 if it is unknown."""
        if count == self.gateways:
            return
        self.gateways = count
        self._set_rates(now_s)

    def try_charge(self, name: str, units: float, now_s: float) -> bool:
        """Charge a request to this gateway's part of the reserve.

        Args:
            name: Client account.
            units: Number of units that the request uses.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the request was charged; False if the part is too small.
        """
        if name not in self.limits_by_account or not self.gateways:
            return False
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = TokenBucket(*self._terms(name), now_s)
        if units > bucket.burst or bucket.wait_s(units, now_s) > 0:
            return False
        bucket.charge(units, now_s)
        return True

    def _terms(self, name: str) -> tuple[float, float]:
        """Return the refill rate in units per second and the burst in units."""
        excess = self.tolerance.excess_units(self.limits_by_account[name])
        burst = RESERVE_SHARE / 2 * excess / self.gateways
        return burst / self.tolerance.window_s, burst

    def _set_rates(self, now_s: float) -> None:
        if not self.gateways:
            self.buckets = {}
            return
        for name, bucket in self.buckets.items():
            bucket.set_rate(*self._terms(name), now_s)
