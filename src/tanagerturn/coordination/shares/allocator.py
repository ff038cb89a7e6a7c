"""Division of the pools of client accounts among holders, without I/O.

A holder is one start of a process on an entry host. At any time the amounts that all
holders may use add up to at most the pool. The share of one holder shrinks before that
of another grows: the allocator counts the amounts that a holder reported as held, or
was granted since, until the holder reports less or its grant has certainly expired.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.leases import CLOCK_DRIFT_BOUND
from tanagerturn.coordination.shares.amounts import (
    INTEGER_KIND,
    LIMIT_KINDS,
    fair_shares,
)
from tanagerturn.schema import shares_pb2 as spb

if TYPE_CHECKING:
    from collections.abc import Mapping

GRANT_MS: Final = 20_000
"""Duration of a grant in milliseconds on the holder's clock, before the holder deducts
its safety margins; longer than another process needs to take over as allocator."""

TARGETS_MAX_AGE_MS: Final = 500
"""Age in milliseconds from which the targets of a client account are computed again."""

DEMAND_HEADROOM: Final = 1.25
"""Factor by which a holder's target exceeds its demand, if the pool suffices."""


@dataclass
class Commitment:
    """Amounts of one client account's pool that a holder may use, and its demand."""

    amounts: spb.Amounts
    demand: spb.Amounts


@dataclass
class Holder:
    """State of one holder at the allocator.

    `sequence` is the sequence number of its last report; `accounts` holds its
    commitments by client account.
    """

    sequence: int
    expires_at_ms: int
    """Monotonic time in milliseconds at which all grants of the holder have certainly
    expired."""
    accounts: dict[str, Commitment] = field(default_factory=dict)


@dataclass(frozen=True)
class Targets:
    """Target shares of one client account: amount by kind of limit, then by holder."""

    computed_at_ms: int
    by_kind: dict[str, dict[str, float]]


class ShareAllocator:
    """Divides the pools of client accounts among holders.

    Only the process that holds the allocator's lease may run an allocator. Until all
    earlier grants have expired, a new allocator grants only what holders report as
    held.

    Args:
        started_at_ms: Monotonic time in milliseconds when the lease was granted.
        grant_ms: Duration of a grant in milliseconds on the holder's clock.
    """

    def __init__(self, started_at_ms: int, grant_ms: int = GRANT_MS) -> None:
        self.grant_ms = grant_ms
        """Duration of a grant in milliseconds on the holder's clock."""
        self.pools: Mapping[str, spb.Amounts] = {}
        """Amounts of each client account that are divided among the holders, by account
        name; empty before `set_pools`."""
        self.holders: dict[str, Holder] = {}
        """Holders whose grants may not have expired yet, by holder id."""
        self.held_only_until_ms = started_at_ms + self.grant_expiry_bound_ms
        """Monotonic time in milliseconds before which no grant exceeds the amounts that
        the holder reported as held."""
        self.targets: dict[str, Targets] = {}
        """Last computed targets by client account."""

    @property
    def grant_expiry_bound_ms(self) -> int:
        """Time in milliseconds on this clock until a grant has expired by any clock."""
        drift = CLOCK_DRIFT_BOUND
        return math.ceil(self.grant_ms * (1 + drift) / (1 - drift))

    def set_pools(self, pools: Mapping[str, spb.Amounts]) -> None:
        """Set the pools of newer settings; they apply to the next reports."""
        self.pools = pools
        self.targets.clear()

    def report(self, report: spb.ShareReport, now_ms: int) -> spb.ShareGrant:
        """Process a holder's report and return its grant.

        Args:
            report: Report of a holder; ignored unless its sequence number is higher
                than that of the holder's last report.
            now_ms: Current monotonic time in milliseconds.

        Returns:
            The grant for the report; an empty one if the report is ignored.
        """
        self._remove_expired(now_ms)
        previous = self.holders.get(report.holder)
        if previous is not None and report.sequence <= previous.sequence:
            return spb.ShareGrant()
        # The holder has ignored responses to earlier reports since it sent this one.
        holder = Holder(report.sequence, now_ms + self.grant_expiry_bound_ms)
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
        """Return the state of the allocator for a dump."""
        return {
            "holders": len(self.holders),
            "quiet_for_ms": max(0, self.held_only_until_ms - now_ms),
            "accounts": {
                name: {kind: self._committed(name, kind) for kind in LIMIT_KINDS}
                for name in self.pools
            },
        }

    def _grant(
        self, holder: str, account: spb.AccountReport, now_ms: int
    ) -> spb.Amounts:
        name = account.client_account
        commitment = self.holders[holder].accounts[name]
        granted = spb.Amounts()
        for kind in LIMIT_KINDS:
            held = getattr(account.held, kind)
            others = self._committed(name, kind) - held
            available = max(0.0, getattr(self.pools[name], kind) - others)
            amount = min(self._target(holder, name, kind, now_ms), available)
            if now_ms < self.held_only_until_ms:
                amount = min(amount, held)
            if kind == INTEGER_KIND:
                amount = math.floor(amount + 1e-9)
            setattr(granted, kind, amount)
        commitment.amounts = spb.Amounts(
            **{
                k: max(getattr(account.held, k), getattr(granted, k))
                for k in LIMIT_KINDS
            }
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
        stale = targets is None or now_ms - targets.computed_at_ms >= TARGETS_MAX_AGE_MS
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
        for kind in LIMIT_KINDS:
            wanted = {
                name: getattr(demand, kind) * DEMAND_HEADROOM
                for name, demand in demands.items()
            }
            by_kind[kind] = fair_shares(wanted, getattr(self.pools[account], kind))
        return Targets(now_ms, by_kind)

    def _remove_expired(self, now_ms: int) -> None:
        expired = [n for n, h in self.holders.items() if now_ms >= h.expires_at_ms]
        for name in expired:
            del self.holders[name]
        if expired:
            self.targets.clear()
