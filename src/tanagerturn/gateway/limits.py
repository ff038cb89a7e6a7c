"""Asks the owner of a client account's limit, or decides here when it is not there."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.logs import part_log
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.limits.owned import OwnedLimits, owner_of
from tanagerturn.serving.limits.spread import (
    Admitted,
    Exceeded,
    SpreadLimits,
    SpreadTerms,
    Tolerance,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.gateway.links import Links

ASK_TIMEOUT_S: Final = 0.06
"""Longest time to wait for the owner; hosts of a region answer in a few
milliseconds, and a caller of a plain service waits about a tenth of a second."""

SHUN_S: Final = 0.5
"""Time for which an owner that did not answer is not asked."""

log = part_log("limits")


class AccountLimits:
    """Limits of client accounts at one gateway.

    Args:
        host: This gateway.
        tolerance: What accounts may get beyond their limits.
    """

    def __init__(self, host: str, tolerance: Tolerance) -> None:
        self.host = host
        """This gateway."""
        self.owned = OwnedLimits(tolerance)
        """Accounts that this gateway owns."""
        self.spread = SpreadLimits(tolerance)
        """Parts of all limits, for when an owner does not answer."""
        self.gateways: dict[str, str] = {}
        """Link addresses of the other gateways that are present."""
        self.shunned_until_s: dict[str, float] = {}
        """Owners that did not answer, and when they are asked again."""

    def set_terms(self, terms: Mapping[str, SpreadTerms], now_s: float) -> None:
        """Take over the limits of a configuration."""
        self.owned.set_terms(terms, now_s)
        self.spread.set_terms(dict(terms), now_s)

    def set_gateways(
        self, gateways: Mapping[str, str], visible_share: float, now_s: float
    ) -> None:
        """Take the other gateways that are present.

        Args:
            gateways: Their link addresses by host.
            visible_share: Part of all known gateways that are present.
            now_s: Present time.
        """
        self.owned.set_visible_share(visible_share, now_s)
        self.spread.gateways = 1 + len(gateways)
        if gateways.keys() == self.gateways.keys():
            self.gateways = dict(gateways)
            return
        self.gateways = dict(gateways)
        self.owned.forget_others(n for n in self.owned.terms if self._owner(n) == "")

    async def take(
        self, account: str, units: float, links: Links
    ) -> Admitted | Exceeded:
        """Charge a request, if its account is within its limit."""
        if account not in self.owned.terms:
            return Admitted()
        now_s = boot_s()
        # Both counts go on, so that either can decide alone.
        local = self.spread.take(account, units, now_s)
        address = self._owner(account)
        if not address:
            return self.owned.take(account, units, now_s)
        if now_s < self.shunned_until_s.get(address, 0.0):
            if isinstance(local, Admitted):
                # An owner that is only slow must not give the same units out again.
                self._correct(account, units, address, links)
            return local
        call = gpb.TakeCall(client_account=account, units=units)
        answered = await links.to(address).call(gpb.Frame(take=call), ASK_TIMEOUT_S)
        if answered.is_error() or answered.ok.WhichOneof("kind") != "taken":
            self.shunned_until_s[address] = boot_s() + SHUN_S
            log.info("limit_owner_silent", account=account, peer=address)
            return local
        taken = answered.ok.taken
        return Admitted() if taken.admitted else Exceeded(taken.retry_after_s)

    def give_back(self, account: str, units: float, links: Links) -> None:
        """Take back what a request was charged that never ran."""
        if account not in self.owned.terms:
            return
        now_s = boot_s()
        self.spread.correct(account, -units, now_s)
        address = self._owner(account)
        if not address:
            self.owned.correct(account, -units, now_s)
            return
        self._correct(account, -units, address, links)

    def on_correction(self, correction: gpb.LimitCorrection, now_s: float) -> None:
        """Count what another gateway let in without asking, or gives back."""
        self.owned.correct(correction.client_account, correction.units, now_s)

    def _correct(self, account: str, units: float, address: str, links: Links) -> None:
        correction = gpb.LimitCorrection(client_account=account, units=units)
        links.to(address).tell(gpb.Frame(correction=correction))

    def serve(self, call: gpb.TakeCall, now_s: float) -> gpb.Frame:
        """Answer a call of another gateway."""
        taken = self.owned.take(call.client_account, call.units, now_s)
        answer = gpb.Taken(admitted=isinstance(taken, Admitted))
        if isinstance(taken, Exceeded):
            answer.retry_after_s = taken.retry_after_s
        return gpb.Frame(taken=answer)

    def _owner(self, account: str) -> str:
        """Return the owner's link address; empty for this gateway."""
        owner = owner_of(account, [self.host, *self.gateways])
        return self.gateways.get(owner, "")
