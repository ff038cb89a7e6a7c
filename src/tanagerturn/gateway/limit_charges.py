"""Sums of the units that a gateway checked against limits, for logs and metrics."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.logs import component_log

if TYPE_CHECKING:
    from prometheus_client import Counter

REPORT_INTERVAL_S: Final = 1.0
"""Interval in seconds at which the sums are logged."""

log = component_log("limits")


class Charge(Enum):
    """What happened to units that were checked against a limit."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    CORRECTED = "corrected"
    REFUNDED = "refunded"
    RESERVE_ADMITTED = "reserve_admitted"
    """Admitted from the reserve of a gateway that had no response of the owner."""
    UNVERIFIED = "unverified"
    """Refused because the owner did not respond."""


class ChargeSums:
    """Units that this gateway checked since the last report."""

    def __init__(self) -> None:
        self.units: dict[str, dict[Charge, float]] = {}
        """Units by client account and charge."""
        self.reported_at_s = 0.0
        """Boot-clock time in seconds of the last report; 0 before the first one."""

    def add(self, account: str, charge: Charge, units: float) -> None:
        """Add checked units of a client account."""
        units_by_charge = self.units.setdefault(account, {})
        units_by_charge[charge] = units_by_charge.get(charge, 0.0) + units

    def report(
        self, checked_units: Counter, peers: int, visible_share: float, now_s: float
    ) -> None:
        """Log and count the units since the last report, at most once per second.

        Two gateways that log `admitted` for the same account at the same time both act
        as its owner.

        Args:
            checked_units: Metric of checked units by charge.
            peers: Number of peer gateways among which owners are selected.
            visible_share: Fraction of the known gateways that is present, 0 to 1.
            now_s: Current boot-clock time in seconds.
        """
        if now_s - self.reported_at_s < REPORT_INTERVAL_S:
            return
        self.reported_at_s = now_s
        for account, units_by_charge in self.units.items():
            for charge, units in units_by_charge.items():
                checked_units.labels(charge.value).inc(units)
            log.info(
                "limit_charged",
                account=account,
                peers=peers,
                visible_share=round(visible_share, 3),
                **{c.value: round(u) for c, u in units_by_charge.items()},
            )
        self.units = {}
