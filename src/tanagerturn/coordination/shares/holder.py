"""Shares of client accounts held by one entry host, without I/O."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.leases import LeaseTerms
from tanagerturn.coordination.shares.amounts import LIMIT_KINDS, add_amounts
from tanagerturn.schema import shares_pb2 as spb

if TYPE_CHECKING:
    from collections.abc import Mapping

DEMAND_TIME_CONSTANT_MS: Final = 2000
"""Time constant in milliseconds of the exponential decay that smooths the demand."""


class AccountShare:
    """Share of one client account's limits at one host.

    Args:
        safe_share: Safe share of the host, which it may use without a grant.
    """

    def __init__(self, safe_share: spb.Amounts) -> None:
        self.safe_share = safe_share
        """Safe share of the host, which it may use without a grant."""
        self.granted = spb.Amounts()
        """Amounts that the allocator last granted in addition to the safe share."""
        self.valid_until_ms = 0
        """Monotonic time in milliseconds when the grant expires; 0 before the first."""
        self.running = 0
        """Number of the account's requests that run on this host."""
        self.demand = spb.Amounts()
        """Smoothed demand of the account at this host, refused requests included."""
        self.demand_at_ms: int | None = None

    def share(self, now_ms: int) -> spb.Amounts:
        """Return the amounts that the host may use now."""
        if self.has_no_grant(now_ms):
            return self.safe_share
        return add_amounts(self.safe_share, self.granted)

    def has_no_grant(self, now_ms: int) -> bool:
        """Return whether the host has no valid grant, only its safe share."""
        return now_ms >= self.valid_until_ms

    def on_request(self, now_ms: int) -> None:
        """Add a request, admitted or refused, to the demand."""
        self._decay_demand(now_ms)
        self.demand.requests_per_s += 1000 / DEMAND_TIME_CONSTANT_MS
        concurrent = max(self.demand.concurrent_requests, self.running + 1)
        self.demand.concurrent_requests = concurrent

    def on_tokens(self, tokens: float, now_ms: int) -> None:
        """Add generated tokens to the demand."""
        self._decay_demand(now_ms)
        self.demand.tokens_per_s += tokens * 1000 / DEMAND_TIME_CONSTANT_MS

    def held_beyond_safe(self, now_ms: int) -> spb.Amounts:
        """Return the amounts beyond the safe share that the host uses or may use."""
        held = spb.Amounts()
        if not self.has_no_grant(now_ms):
            held.CopyFrom(self.granted)
        excess = self.running - self.safe_share.concurrent_requests
        held.concurrent_requests = max(held.concurrent_requests, excess)
        return held

    def demand_beyond_safe(self, now_ms: int) -> spb.Amounts:
        """Return the amounts by which the smoothed demand exceeds the safe share."""
        self._decay_demand(now_ms)
        demand = spb.Amounts(
            requests_per_s=self.demand.requests_per_s,
            concurrent_requests=max(self.demand.concurrent_requests, self.running),
            tokens_per_s=self.demand.tokens_per_s,
        )
        for kind in LIMIT_KINDS:
            beyond = getattr(demand, kind) - getattr(self.safe_share, kind)
            setattr(demand, kind, max(0.0, beyond))
        return demand

    def _decay_demand(self, now_ms: int) -> None:
        if self.demand_at_ms is not None:
            decay = math.exp((self.demand_at_ms - now_ms) / DEMAND_TIME_CONSTANT_MS)
            for kind in LIMIT_KINDS:
                setattr(self.demand, kind, getattr(self.demand, kind) * decay)
        self.demand_at_ms = now_ms


class HostShares:
    """Shares of all client accounts at one entry host.

    Args:
        holder: Id of this host's process, different at each start.
        cluster: Name of the cluster.
    """

    def __init__(self, holder: str, cluster: str) -> None:
        self.holder = holder
        """Id of this host's process, different at each start."""
        self.cluster = cluster
        """Name of the cluster."""
        self.accounts: dict[str, AccountShare] = {}
        """Shares by client account; empty before `set_safe_shares`."""
        self.sequence = 0
        """Sequence number of the last report; 0 before the first."""
        self.sent_at_ms = 0
        """Monotonic time in milliseconds when the last report was made; 0 before the
        first."""

    def set_safe_shares(self, safe: Mapping[str, spb.Amounts]) -> None:
        """Set the safe shares of newer settings; remove accounts that have none."""
        self.accounts = {
            name: self.accounts.get(name, AccountShare(share))
            for name, share in safe.items()
        }
        for name, share in safe.items():
            self.accounts[name].safe_share = share

    def make_report(self, now_ms: int) -> spb.ShareReport:
        """Return a report to send now; grants for earlier reports are then ignored."""
        self.sequence += 1
        self.sent_at_ms = now_ms
        report = spb.ShareReport(
            cluster=self.cluster, holder=self.holder, sequence=self.sequence
        )
        for name, account in self.accounts.items():
            demand = account.demand_beyond_safe(now_ms)
            held = account.held_beyond_safe(now_ms)
            if any(getattr(demand, k) or getattr(held, k) for k in LIMIT_KINDS):
                report.accounts.add(client_account=name, demand=demand, held=held)
        return report

    def apply_grant(self, grant: spb.ShareGrant) -> bool:
        """Apply a grant; return False, without effect, if not for the last report."""
        if not self.sequence or grant.sequence != self.sequence:
            return False
        validity_ms = LeaseTerms(grant.duration_ms).validity_ms
        for entry in grant.accounts:
            account = self.accounts.get(entry.client_account)
            if account is not None:
                account.granted = entry.granted
                account.valid_until_ms = self.sent_at_ms + validity_ms
        return True
