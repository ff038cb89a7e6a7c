"""Enforces the limits of client accounts across all gateways.

Each account's limit is owned by one gateway, which its peers ask to charge their
requests. If the owner does not respond, a gateway decides by its share of the limit.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.logs import component_log
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.limits.divided import (
    AccountLimit,
    Admitted,
    DividedLimits,
    Exceeded,
    Tolerance,
)
from tanagerturn.serving.limits.owned import OwnedLimits, owner_of

if TYPE_CHECKING:
    from collections.abc import Mapping

    from prometheus_client import Counter

    from tanagerturn.gateway.links import Links

OWNER_TIMEOUT_S: Final = 0.06
"""Timeout of a call to an owner in seconds. Hosts of a region respond within a few
milliseconds, and callers of plain services expect a response in about 0.1 s."""

OWNER_BACKOFF_S: Final = 0.5
"""Time in seconds for which an owner that did not respond is not asked again."""

REPORT_INTERVAL_S: Final = 1.0
"""Interval in seconds at which an owner logs the units that it charged."""

log = component_log("limits")


class Charge(Enum):
    """What happened to units that were checked against a limit."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    CORRECTED = "corrected"
    REFUNDED = "refunded"
    SHARE_ADMITTED = "share_admitted"
    """Admitted by the share of a gateway whose call to the owner failed."""
    SHARE_REFUSED = "share_refused"
    """Refused by the share of a gateway whose call to the owner failed."""


class AccountLimits:
    """Limits of client accounts at one gateway.

    Args:
        host: Host of this gateway.
        tolerance: How far accounts may exceed their limits.
    """

    def __init__(self, host: str, tolerance: Tolerance) -> None:
        self.host = host
        """Host of this gateway."""
        self.owned = OwnedLimits(tolerance)
        """Limits of the accounts that this gateway owns."""
        self.local_shares = DividedLimits(tolerance)
        """This gateway's share of every limit, for owners that do not respond."""
        self.gateways: dict[str, str] = {}
        """Link addresses of the present peer gateways by host."""
        self.owner_backoff_until_s: dict[str, float] = {}
        """Boot-clock time in seconds until which an owner that did not respond is
        not asked again, by link address."""
        self.charges: dict[str, dict[Charge, float]] = {}
        """Units checked here since the last report, by client account."""
        self.reported_at_s = 0.0
        """Boot-clock time in seconds of the last report; 0 before the first one."""

    def set_terms(self, terms: Mapping[str, AccountLimit], now_s: float) -> None:
        """Put the limits of a configuration in force.

        Args:
            terms: Limits by client account; accounts without a limit are missing.
            now_s: Current boot-clock time in seconds.
        """
        self.owned.replace_limits(terms, now_s)
        self.local_shares.replace_limits(dict(terms), now_s)

    def set_gateways(
        self, gateways: Mapping[str, str], visible_share: float, now_s: float
    ) -> None:
        """Set the present peer gateways; drop buckets of accounts no longer owned here.

        Args:
            gateways: Link address of each present peer gateway by host.
            visible_share: Fraction of all known gateways that is present, 0 to 1.
            now_s: Current boot-clock time in seconds.
        """
        self.owned.set_visible_share(visible_share, now_s)
        self.local_shares.gateways = 1 + len(gateways)
        if gateways.keys() == self.gateways.keys():
            self.gateways = dict(gateways)
            return
        self.gateways = dict(gateways)
        previously_owned = self.owned.buckets.keys()
        self.owned.retain_owned(
            n for n in self.owned.limits_by_account if self._owner_address(n) == ""
        )
        for account in previously_owned - self.owned.buckets.keys():
            log.info("limit_owner_changed", account=account, peers=len(gateways))

    async def charge(
        self, account: str, units: float, links: Links
    ) -> Admitted | Exceeded:
        """Charge a request to its account if the account is within its limit.

        Args:
            account: Client account; requests of an account without a limit are always
                admitted.
            units: Units that the request costs.
            links: Links to peer gateways.
        """
        if account not in self.owned.limits_by_account:
            return Admitted()
        now_s = boot_s()
        # The local share is always charged, so that this gateway can decide by the
        # share when the owner does not respond.
        local = self.local_shares.try_charge(account, units, now_s)
        address = self._owner_address(account)
        if not address:
            return self._charge_owned(account, units, now_s)
        if now_s < self.owner_backoff_until_s.get(address, 0.0):
            if isinstance(local, Admitted):
                # A slow owner must not grant the same units again.
                self._send_correction(account, units, address, links)
            self._log_share(account, units, address, local, "backoff")
            return local
        call = gpb.TakeCall(client_account=account, units=units)
        answered = await links.link_to(address).call(
            gpb.Frame(take=call), OWNER_TIMEOUT_S
        )
        if answered.is_error() or answered.ok.WhichOneof("kind") != "taken":
            self.owner_backoff_until_s[address] = boot_s() + OWNER_BACKOFF_S
            reason = str(answered.error) if answered.is_error() else "unknown call"
            log.info("limit_owner_silent", account=account, peer=address, reason=reason)
            self._log_share(account, units, address, local, reason)
            return local
        taken = answered.ok.taken
        return Admitted() if taken.admitted else Exceeded(taken.retry_after_s)

    def refund(self, account: str, units: float, links: Links) -> None:
        """Refund the units of a request that was charged but never executed."""
        if account not in self.owned.limits_by_account:
            return
        now_s = boot_s()
        self.local_shares.apply_correction(account, -units, now_s)
        address = self._owner_address(account)
        if not address:
            self.owned.apply_correction(account, -units, now_s)
            self._record(account, Charge.REFUNDED, units)
            return
        self._send_correction(account, -units, address, links)

    def on_correction(self, correction: gpb.LimitCorrection, now_s: float) -> None:
        """Charge units that a peer admitted without asking, or refund negative ones."""
        account, units = correction.client_account, correction.units
        self.owned.apply_correction(account, units, now_s)
        charge = Charge.CORRECTED if units > 0 else Charge.REFUNDED
        self._record(account, charge, abs(units))

    def report(self, checked_units: Counter, now_s: float) -> None:
        """Log and count the units checked here, at most once per second.

        Two gateways that log the same account at the same time, other than by their
        share, both act as its owner.

        Args:
            checked_units: Metric of checked units by charge.
            now_s: Current boot-clock time in seconds.
        """
        if now_s - self.reported_at_s < REPORT_INTERVAL_S:
            return
        self.reported_at_s = now_s
        for account, units_by_charge in self.charges.items():
            for charge, units in units_by_charge.items():
                checked_units.labels(charge.value).inc(units)
            log.info(
                "limit_charged",
                account=account,
                peers=len(self.gateways),
                visible_share=round(self.owned.visible_share, 3),
                **{c.value: round(u) for c, u in units_by_charge.items()},
            )
        self.charges = {}

    def _send_correction(
        self, account: str, units: float, address: str, links: Links
    ) -> None:
        correction = gpb.LimitCorrection(client_account=account, units=units)
        links.link_to(address).send_one_way(gpb.Frame(correction=correction))

    def serve(self, call: gpb.TakeCall, now_s: float) -> gpb.Frame:
        """Charge a request for a peer gateway and return the response frame."""
        taken = self._charge_owned(call.client_account, call.units, now_s)
        answer = gpb.Taken(admitted=isinstance(taken, Admitted))
        if isinstance(taken, Exceeded):
            answer.retry_after_s = taken.retry_after_s
        return gpb.Frame(taken=answer)

    def _charge_owned(
        self, account: str, units: float, now_s: float
    ) -> Admitted | Exceeded:
        taken = self.owned.try_charge(account, units, now_s)
        is_admitted = isinstance(taken, Admitted)
        self._record(account, Charge.ADMITTED if is_admitted else Charge.REFUSED, units)
        return taken

    def _record(self, account: str, charge: Charge, units: float) -> None:
        units_by_charge = self.charges.setdefault(account, {})
        units_by_charge[charge] = units_by_charge.get(charge, 0.0) + units

    def _log_share(
        self,
        account: str,
        units: float,
        address: str,
        taken: Admitted | Exceeded,
        reason: str,
    ) -> None:
        now_s = boot_s()
        state = self.local_shares.accounts[account]
        is_admitted = isinstance(taken, Admitted)
        charge = Charge.SHARE_ADMITTED if is_admitted else Charge.SHARE_REFUSED
        self._record(account, charge, units)
        log.info(
            "limit_share_used",
            account=account,
            peer=address,
            units=round(units),
            admitted=is_admitted,
            share=round(self.local_shares.share(state, now_s), 4),
            reporting_peers=len(state.peer_demands),
            reason=reason,
        )

    def _owner_address(self, account: str) -> str:
        """Return the owner's link address; empty if this gateway is the owner."""
        owner = owner_of(account, [self.host, *self.gateways])
        return self.gateways.get(owner, "")
