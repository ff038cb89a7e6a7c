"""The shares of client accounts that one entry host holds; pure."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.leases import LeaseTerms
from tanagerturn.coordination.shares.amounts import KINDS, added
from tanagerturn.schema import shares_pb2 as spb

if TYPE_CHECKING:
    from collections.abc import Mapping

DEMAND_AGE_MS: Final = 2000
"""Time constant of the smoothed demand."""


class AccountShare:
    """One client account at one host.

    Args:
        safe: Safe share of the host.
    """

    def __init__(self, safe: spb.Amounts) -> None:
        self.safe = safe
        """Safe share of the host."""
        self.granted = spb.Amounts()
        """What the allocator granted beyond it."""
        self.valid_until_ms = 0
        """When the grant is over, monotonic."""
        self.running = 0
        """Requests that run now."""
        self.demand = spb.Amounts()
        """Smoothed demand, refused requests included."""
        self.demand_at_ms: int | None = None

    def share(self, now_ms: int) -> spb.Amounts:
        """Return what the host may use now."""
        if self.cut_off(now_ms):
            return self.safe
        return added(self.safe, self.granted)

    def cut_off(self, now_ms: int) -> bool:
        """Tell whether only the safe share counts: no grant is valid."""
        return now_ms >= self.valid_until_ms

    def on_request(self, now_ms: int) -> None:
        """Count a request, let in or refused."""
        self._age_demand(now_ms)
        self.demand.requests_per_s += 1000 / DEMAND_AGE_MS
        concurrent = max(self.demand.concurrent_requests, self.running + 1)
        self.demand.concurrent_requests = concurrent

    def on_tokens(self, tokens: float, now_ms: int) -> None:
        """Count tokens that were made."""
        self._age_demand(now_ms)
        self.demand.tokens_per_s += tokens * 1000 / DEMAND_AGE_MS

    def held(self, now_ms: int) -> spb.Amounts:
        """Return what is used or may be used beyond the safe share."""
        held = spb.Amounts()
        if not self.cut_off(now_ms):
            held.CopyFrom(self.granted)
        over = self.running - self.safe.concurrent_requests
        held.concurrent_requests = max(held.concurrent_requests, over)
        return held

    def wanted(self, now_ms: int) -> spb.Amounts:
        """Return the smoothed demand beyond the safe share."""
        self._age_demand(now_ms)
        demand = spb.Amounts(
            requests_per_s=self.demand.requests_per_s,
            concurrent_requests=max(self.demand.concurrent_requests, self.running),
            tokens_per_s=self.demand.tokens_per_s,
        )
        for kind in KINDS:
            beyond = getattr(demand, kind) - getattr(self.safe, kind)
            setattr(demand, kind, max(0.0, beyond))
        return demand

    def _age_demand(self, now_ms: int) -> None:
        if self.demand_at_ms is not None:
            age = math.exp((self.demand_at_ms - now_ms) / DEMAND_AGE_MS)
            for kind in KINDS:
                setattr(self.demand, kind, getattr(self.demand, kind) * age)
        self.demand_at_ms = now_ms


class HostShares:
    """All client accounts at one entry host.

    Args:
        holder: Name of the process, new at each start.
        cluster: Name of the cluster.
    """

    def __init__(self, holder: str, cluster: str) -> None:
        self.holder = holder
        """Name of the process, new at each start."""
        self.cluster = cluster
        """Name of the cluster."""
        self.accounts: dict[str, AccountShare] = {}
        """Shares by client account."""
        self.sequence = 0
        """Of the last report."""
        self.sent_at_ms = 0
        """When the last report was sent."""

    def set_safe_shares(self, safe: Mapping[str, spb.Amounts]) -> None:
        """Take the safe shares of newer settings; unknown accounts go."""
        self.accounts = {
            name: self.accounts.get(name, AccountShare(share))
            for name, share in safe.items()
        }
        for name, share in safe.items():
            self.accounts[name].safe = share

    def make_report(self, now_ms: int) -> spb.ShareReport:
        """Return the report to send now; it voids the answers to earlier ones."""
        self.sequence += 1
        self.sent_at_ms = now_ms
        report = spb.ShareReport(
            cluster=self.cluster, holder=self.holder, sequence=self.sequence
        )
        for name, account in self.accounts.items():
            wanted = account.wanted(now_ms)
            held = account.held(now_ms)
            if any(getattr(wanted, k) or getattr(held, k) for k in KINDS):
                report.accounts.add(client_account=name, demand=wanted, held=held)
        return report

    def take_grant(self, grant: spb.ShareGrant) -> bool:
        """Take the answer to the last report; returns whether it counted."""
        if not self.sequence or grant.sequence != self.sequence:
            return False
        usable_ms = LeaseTerms(grant.duration_ms).usable_ms
        for entry in grant.accounts:
            account = self.accounts.get(entry.client_account)
            if account is not None:
                account.granted = entry.granted
                account.valid_until_ms = self.sent_at_ms + usable_ms
        return True
