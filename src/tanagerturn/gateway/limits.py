"""Enforces the limits of client accounts across all gateways.

Each account's limit is owned by one gateway, which its peers ask to charge their
requests; a peer that can't reach it asks through another gateway. Without the owner's
response, a gateway grants only from its part of a reserve.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.limit_charges import Charge, ChargeSums
from tanagerturn.gateway.logs import component_log
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.limits.owned import OwnedLimits, owner_of
from tanagerturn.serving.limits.reserve import GatewayReserve
from tanagerturn.serving.limits.terms import (
    AccountLimit,
    Admitted,
    Exceeded,
    Tolerance,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from expression import Result
    from prometheus_client import Counter

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.gateway.links import Links

PROMPT_RESPONSE_S: Final = 0.06
"""Time in seconds without a response after which the reserve is used. Hosts of a region
respond within a few milliseconds, and callers of plain services expect a response in
about 0.1 s."""

OWNER_TIMEOUT_S: Final = 0.3
"""Timeout of a call to an owner in seconds; a host whose processor share is used up
responds after up to 0.1 s."""

FORWARDED_TIMEOUT_S: Final = 0.2
"""Timeout in seconds of a call that is passed on to the owner for another gateway."""

BACKOFF_S: Final = 0.5
"""Time in seconds for which an owner that did not respond is not asked again."""

LOCAL: Final = ""
"""Stands for this gateway where the link address of a gateway is expected."""

log = component_log("limits")


@dataclass(frozen=True)
class Unverified:
    """The request was not charged: its account's owner did not respond."""


class AccountLimits:
    """Limits of client accounts at one gateway.

    Args:
        host: Host of this gateway.
        tolerance: How far accounts may exceed their limits.
        is_backend: The limits are those of backend servers, whose keys stand for client
            accounts.
    """

    def __init__(
        self, host: str, tolerance: Tolerance, *, is_backend: bool = False
    ) -> None:
        self.host = host
        """Host of this gateway."""
        self.owned = OwnedLimits(tolerance)
        """Limits of the accounts that this gateway owns."""
        self.reserve = GatewayReserve(tolerance)
        """This gateway's part of the units granted without the owners."""
        self.gateways: dict[str, str] = {}
        """Link addresses of the present peer gateways by host."""
        self.has_met_all = True
        """Whether this gateway has heard from nearly all gateways that any peer knows;
        otherwise it may select another owner than its peers, and owns nothing."""
        self.is_draining = False
        """Whether this gateway is about to stop, and leaves limits to its peers."""
        self.owners: dict[str, str] = {}
        """Link address of the owner of each account asked for, `LOCAL` for this
        gateway; cleared when the present gateways change."""
        self.direct_backoff_s: dict[str, float] = {}
        """Boot-clock time in seconds until which an owner that did not respond is
        asked only through other gateways, by link address."""
        self.backoff_s: dict[str, float] = {}
        """Boot-clock time in seconds until which an owner that did not respond to other
        gateways either is not asked, by link address."""
        self.is_backend = is_backend
        """Whether the limits are those of backend servers."""
        self.sums = ChargeSums()
        """Units checked here since the last report."""
        self.unfinished_calls: set[asyncio.Task[Admitted | Exceeded | None]] = set()
        """Calls whose request was decided before their response."""

    def set_terms(self, terms: Mapping[str, AccountLimit], now_s: float) -> None:
        """Put the limits of a configuration in force.

        Args:
            terms: Limits by client account; accounts without a limit are missing.
            now_s: Current boot-clock time in seconds.
        """
        self.owned.replace_limits(terms, now_s)
        self.reserve.replace_limits(terms, now_s)
        self._select_owned(now_s)

    def set_gateways(
        self,
        gateways: Mapping[str, str],
        visible_share: float,
        now_s: float,
        *,
        has_met_all: bool = True,
        is_draining: bool = False,
    ) -> None:
        """Set the present peer gateways, from which owners are selected.

        Args:
            gateways: Link address of each present peer gateway by host.
            visible_share: Fraction of all known gateways that is present, 0 to 1.
            now_s: Current boot-clock time in seconds.
            has_met_all: Whether this gateway has heard from nearly all gateways that
                any peer knows.
            is_draining: Whether this gateway is about to stop; its peers do not select
                it as owner any more.
        """
        known_count = round((1 + len(gateways)) / visible_share)
        self.owned.set_visible_share(visible_share, now_s)
        self.reserve.set_gateways(known_count if has_met_all else 0, now_s)
        view = (gateways, has_met_all, is_draining)
        if view == (self.gateways, self.has_met_all, self.is_draining):
            return
        self.gateways = dict(gateways)
        self.has_met_all, self.is_draining = has_met_all, is_draining
        self.owners = {}
        self._select_owned(now_s)

    def on_pause(self, now_s: float) -> None:
        """Start anew as an owner after the process did not run for a while.

        Peers may have selected another owner meanwhile, which granted the units that
        the buckets of this one gained.

        Args:
            now_s: Current boot-clock time in seconds.
        """
        self.owned.set_owned((), now_s)
        self._select_owned(now_s)

    async def charge(
        self, account: str, units: float, links: Links
    ) -> Admitted | Exceeded | Unverified:
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
        if self.is_owner(account):
            return self._charge_owned(account, units, now_s)
        address = self._owner_address(account)
        if now_s < self.backoff_s.get(address, 0.0):
            return self._charge_reserve(account, units, links, "backoff")
        asked = asyncio.create_task(self._ask(account, units, address, links))
        try:
            done, _ = await asyncio.wait((asked,), timeout=PROMPT_RESPONSE_S)
            if not done and self.reserve.try_charge(account, units, now_s):
                self.sums.add(account, Charge.RESERVE_ADMITTED, units)
                self._settle(asked, account, units, links, is_admitted=True)
                return Admitted()
            taken = await asyncio.shield(asked)
        except asyncio.CancelledError:
            self._settle(asked, account, units, links, is_admitted=False)
            raise
        if taken is not None:
            return taken
        return self._charge_reserve(account, units, links, "no response")

    def is_owner(self, account: str) -> bool:
        """Return whether all gateways select this one for an account or another key."""
        return self.has_met_all and self._owner_address(account) == LOCAL

    def refund(self, account: str, units: float, links: Links) -> None:
        """Refund the units of a request that was charged but never executed."""
        if account in self.owned.limits_by_account:
            self._correct(account, -units, links, is_forwarded=False)

    def on_correction(self, correction: gpb.LimitCorrection, links: Links) -> None:
        """Charge units that a gateway admitted without asking, or refund negative ones.

        A correction for another owner is passed on once.
        """
        account = correction.client_account
        if self.is_owner(account) or not correction.forwarded:
            self._correct(account, correction.units, links, is_forwarded=True)

    async def serve(self, call: gpb.TakeCall, links: Links, now_s: float) -> gpb.Frame:
        """Charge a request for a peer gateway and return the response frame.

        A call for an account with another owner is passed on once.
        """
        account = call.client_account
        if account not in self.owned.limits_by_account:
            # The account may be unlimited here only because this gateway has not
            # received the configuration that the peer has.
            reason = f"no limit of the client account {account} is known"
            return gpb.Frame(failure=gpb.Failure(reason=reason))
        if self.is_owner(account):
            return _taken_frame(self._charge_owned(account, call.units, now_s))
        address = self._owner_address(account)
        if call.forwarded or address == LOCAL:
            return gpb.Frame(failure=gpb.Failure(reason="not the owner of the limit"))
        passed_on = self._take_call(account, call.units)
        passed_on.forwarded = True
        answered = await links.link_to(address).call(
            gpb.Frame(take=passed_on), FORWARDED_TIMEOUT_S
        )
        if answered.is_error():
            return gpb.Frame(failure=gpb.Failure(reason=str(answered.error)))
        return answered.ok

    def report(self, checked_units: Counter, now_s: float) -> None:
        """Log and count the units checked here, at most once per second.

        Args:
            checked_units: Metric of checked units by charge.
            now_s: Current boot-clock time in seconds.
        """
        visible_share = self.owned.visible_share
        self.sums.report(checked_units, len(self.gateways), visible_share, now_s)

    async def _ask(
        self, account: str, units: float, address: str, links: Links
    ) -> Admitted | Exceeded | None:
        """Ask the owner, then another gateway; return None without a response."""
        frame = gpb.Frame(take=self._take_call(account, units))
        if address != LOCAL and boot_s() >= self.direct_backoff_s.get(address, 0.0):
            answered = await links.link_to(address).call(frame, OWNER_TIMEOUT_S)
            if answered.is_ok() and answered.ok.WhichOneof("kind") == "taken":
                return _taken(answered.ok.taken)
            self.direct_backoff_s[address] = boot_s() + BACKOFF_S
            self._log_failure(account, address, answered)
        helper = self._helper_address(account, address)
        if helper is None:
            return None
        frame = gpb.Frame(take=self._take_call(account, units))
        answered = await links.link_to(helper).call(frame, OWNER_TIMEOUT_S)
        if answered.is_ok() and answered.ok.WhichOneof("kind") == "taken":
            return _taken(answered.ok.taken)
        self.backoff_s[address] = boot_s() + BACKOFF_S
        self._log_failure(account, helper, answered)
        return None

    def _take_call(self, account: str, units: float) -> gpb.TakeCall:
        return gpb.TakeCall(
            client_account=account, units=units, backend_limit=self.is_backend
        )

    def _charge_owned(
        self, account: str, units: float, now_s: float
    ) -> Admitted | Exceeded:
        taken = self.owned.try_charge(account, units, now_s)
        is_admitted = isinstance(taken, Admitted)
        charge = Charge.ADMITTED if is_admitted else Charge.REFUSED
        self.sums.add(account, charge, units)
        return taken

    def _charge_reserve(
        self, account: str, units: float, links: Links, reason: str
    ) -> Admitted | Unverified:
        """Decide a request without the owner, which is told of admitted units."""
        is_admitted = self.reserve.try_charge(account, units, boot_s())
        charge = Charge.RESERVE_ADMITTED if is_admitted else Charge.UNVERIFIED
        self.sums.add(account, charge, units)
        if is_admitted:
            self._correct(account, units, links, is_forwarded=False)
            return Admitted()
        log.info("limit_unverified", account=account, units=round(units), reason=reason)
        return Unverified()

    def _settle(
        self,
        asked: asyncio.Task[Admitted | Exceeded | None],
        account: str,
        units: float,
        links: Links,
        *,
        is_admitted: bool,
    ) -> None:
        """Correct the owner's charge if its late response differs from the decision.

        Args:
            asked: Call to the owner, still unfinished.
            account: Client account of the request.
            units: Units of the request.
            links: Links to peer gateways.
            is_admitted: Whether the request was admitted meanwhile.
        """

        def correct(finished: asyncio.Task[Admitted | Exceeded | None]) -> None:
            self.unfinished_calls.discard(finished)
            if finished.cancelled():
                return
            is_charged = isinstance(finished.result(), Admitted)
            if is_charged != is_admitted:
                difference = units if is_admitted else -units
                self._correct(account, difference, links, is_forwarded=False)

        self.unfinished_calls.add(asked)
        asked.add_done_callback(correct)

    def _correct(
        self, account: str, units: float, links: Links, *, is_forwarded: bool
    ) -> None:
        """Charge or refund units here if this gateway owns the account, else there."""
        if self.is_owner(account):
            self.owned.apply_correction(account, units, boot_s())
            charge = Charge.CORRECTED if units > 0 else Charge.REFUNDED
            self.sums.add(account, charge, abs(units))
            return
        address = self._owner_address(account)
        if address == LOCAL:
            return
        correction = gpb.LimitCorrection(
            client_account=account,
            units=units,
            forwarded=is_forwarded,
            backend_limit=self.is_backend,
        )
        links.link_to(address).send_one_way(gpb.Frame(correction=correction))

    def _select_owned(self, now_s: float) -> None:
        accounts = self.owned.limits_by_account
        owned = {n for n in accounts if self.is_owner(n)}
        for account in self.owned.buckets.keys() - owned:
            log.info("limit_owner_changed", account=account, peers=len(self.gateways))
        self.owned.set_owned(owned, now_s)

    def _owner_address(self, account: str) -> str:
        """Return the owner's link address; `LOCAL` if it is this gateway."""
        address = self.owners.get(account)
        if address is None:
            local = () if self.is_draining and self.gateways else (self.host,)
            owner = owner_of(account, [*local, *self.gateways])
            address = self.owners[account] = self.gateways.get(owner, LOCAL)
        return address

    def _helper_address(self, account: str, owner_address: str) -> str | None:
        """Return the link address of a gateway to ask instead of the owner, if any."""
        others = {h: a for h, a in self.gateways.items() if a != owner_address}
        return others[owner_of(account, others)] if others else None

    def _log_failure(
        self, account: str, address: str, answered: Result[gpb.Frame, StepError]
    ) -> None:
        if answered.is_error():
            reason = str(answered.error)
        else:
            reason = answered.ok.failure.reason or "unexpected response"
        log.info("limit_owner_silent", account=account, peer=address, reason=reason)


def _taken(taken: gpb.Taken) -> Admitted | Exceeded:
    return Admitted() if taken.admitted else Exceeded(taken.retry_after_s)


def _taken_frame(taken: Admitted | Exceeded) -> gpb.Frame:
    answer = gpb.Taken(admitted=isinstance(taken, Admitted))
    if isinstance(taken, Exceeded):
        answer.retry_after_s = taken.retry_after_s
    return gpb.Frame(taken=answer)
