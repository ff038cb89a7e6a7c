"""Divides the pools among holders; pure.

At any time the amounts that holders may believe in add up to the pool at most.
A holder's share shrinks before another one's grows: the allocator counts what
a holder reported to hold, or was granted since, until the holder reports less
or its grant is surely over.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.leases import CLOCK_DRIFT_BOUND
from tanagerturn.coordination.shares.amounts import KINDS, WHOLE, fair_shares
from tanagerturn.schema import shares_pb2 as spb

if TYPE_CHECKING:
    from collections.abc import Mapping

GRANT_MS: Final = 20_000
"""Time that a grant lasts by the holder's clock, margins not yet taken off; it
outlasts a change of the allocator."""

TARGETS_MS: Final = 500
"""Time for which computed targets of a client account are used."""

DEMAND_HEADROOM: Final = 1.25
"""A holder's target is its demand times this."""


@dataclass
class Commitment:
    """What a holder may believe that it has, of one client account."""

    amounts: spb.Amounts
    demand: spb.Amounts


@dataclass
class Holder:
    """One holder as the allocator knows it."""

    sequence: int
    over_at_ms: int
    """By then all its grants are surely over."""
    accounts: dict[str, Commitment] = field(default_factory=dict)


@dataclass(frozen=True)
class Targets:
    """What each holder should have of one client account, by kind."""

    computed_at_ms: int
    by_kind: dict[str, dict[str, float]]


class ShareAllocator:
    """Divides the pools of client accounts.

    Only the holder of the allocator's lease may run one. A new one renews what
    holders report, and gives nothing new before all earlier grants are over.

    Args:
        started_at_ms: When the lease was granted, monotonic.
        grant_ms: Time that a grant lasts.
    """

    def __init__(self, started_at_ms: int, grant_ms: int = GRANT_MS) -> None:
        self.grant_ms = grant_ms
        """Time that a grant lasts."""
        self.pools: Mapping[str, spb.Amounts] = {}
        """Pool of each client account, from settings."""
        self.holders: dict[str, Holder] = {}
        """Holders with grants that may not be over."""
        self.quiet_until_ms = started_at_ms + self.surely_over_ms
        """No more is granted than was reported before this time."""
        self.targets: dict[str, Targets] = {}
        """Computed targets by client account."""

    @property
    def surely_over_ms(self) -> int:
        """Time on this clock after which a grant is over on any clock."""
        drift = CLOCK_DRIFT_BOUND
        return math.ceil(self.grant_ms * (1 + drift) / (1 - drift))

    def set_pools(self, pools: Mapping[str, spb.Amounts]) -> None:
        """Take the pools of newer settings; smaller ones shrink the shares."""
        self.pools = pools
        self.targets.clear()

    def report(self, report: spb.ShareReport, now_ms: int) -> spb.ShareGrant:
        """Take a holder's report and answer it with its grant.

        Args:
            report: The report; one that is older than the last is ignored.
            now_ms: Present monotonic time.

        Returns:
            The grant, empty for an old report.
        """
        self._forget(now_ms)
        known = self.holders.get(report.holder)
        if known is not None and report.sequence <= known.sequence:
            return spb.ShareGrant()
        # Answers to earlier reports are void from here on.
        holder = Holder(report.sequence, now_ms + self.surely_over_ms)
        self.holders[report.holder] = holder
        for account in report.accounts:
            name = account.client_account
            holder.accounts[name] = Commitment(account.held, account.demand)
        grant = spb.ShareGrant(sequence=report.sequence, duration_ms=self.grant_ms)
        for account in report.accounts:
            if account.client_account in self.pools:
                granted = self._grant(report.holder, account, now_ms)
                grant.accounts.add(
                    client_account=account.client_account, granted=granted
                )
        return grant

    def dump(self, now_ms: int) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            "holders": len(self.holders),
            "quiet_for_ms": max(0, self.quiet_until_ms - now_ms),
            "accounts": {
                name: {kind: self._committed(name, kind) for kind in KINDS}
                for name in self.pools
            },
        }

    def _grant(
        self, holder: str, account: spb.AccountReport, now_ms: int
    ) -> spb.Amounts:
        name = account.client_account
        commitment = self.holders[holder].accounts[name]
        granted = spb.Amounts()
        for kind in KINDS:
            held = getattr(account.held, kind)
            others = self._committed(name, kind) - held
            room = max(0.0, getattr(self.pools[name], kind) - others)
            amount = min(self._target(holder, name, kind, now_ms), room)
            if now_ms < self.quiet_until_ms:
                amount = min(amount, held)
            if kind == WHOLE:
                amount = math.floor(amount + 1e-9)
            setattr(granted, kind, amount)
        commitment.amounts = spb.Amounts(
            **{k: max(getattr(account.held, k), getattr(granted, k)) for k in KINDS}
        )
        return granted

    def _committed(self, account: str, kind: str) -> float:
        total = 0.0
        for holder in self.holders.values():
            if account in holder.accounts:
                total += getattr(holder.accounts[account].amounts, kind)
        return total

    def _target(self, holder: str, account: str, kind: str, now_ms: int) -> float:
        targets = self.targets.get(account)
        stale = targets is None or now_ms - targets.computed_at_ms >= TARGETS_MS
        if targets is None or stale or holder not in targets.by_kind[kind]:
            targets = self._compute_targets(account, now_ms)
            self.targets[account] = targets
        return targets.by_kind[kind][holder]

    def _compute_targets(self, account: str, now_ms: int) -> Targets:
        demands = {
            name: holder.accounts[account].demand
            for name, holder in self.holders.items()
            if account in holder.accounts
        }
        by_kind = {}
        for kind in KINDS:
            wanted = {
                name: getattr(demand, kind) * DEMAND_HEADROOM
                for name, demand in demands.items()
            }
            by_kind[kind] = fair_shares(wanted, getattr(self.pools[account], kind))
        return Targets(now_ms, by_kind)

    def _forget(self, now_ms: int) -> None:
        over = [n for n, h in self.holders.items() if now_ms >= h.over_at_ms]
        for name in over:
            del self.holders[name]
        if over:
            self.targets.clear()
