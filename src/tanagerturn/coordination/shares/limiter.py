"""The limits of client accounts at one entry host; pure."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.leases import LeaseTerms
from tanagerturn.coordination.shares.amounts import KINDS, added
from tanagerturn.schema import shares_pb2 as spb

if TYPE_CHECKING:
    from collections.abc import Mapping

BURST_S: Final = 1.0
"""A bucket holds what its rate gives in this time, one request at least."""

DEMAND_AGE_MS: Final = 2000
"""Time constant of the smoothed demand."""

CONCURRENT_RETRY_MS: Final = 1000
"""Wait told to a caller when all concurrent requests are taken."""


class Limit(Enum):
    """The limit that refused a request."""

    REQUESTS = "requests_per_s"
    CONCURRENT = "concurrent_requests"
    TOKENS = "tokens_per_s"


@dataclass(frozen=True)
class Refusal:
    """A request is over a limit of its client account."""

    limit: Limit
    retry_after_ms: int
    """When the same request would pass, if nothing else came."""
    cut_off: bool
    """Only the safe share counts, as the allocator does not answer."""


class Bucket:
    """A token bucket whose rate may change."""

    def __init__(self, floor: float) -> None:
        self.floor = floor
        """Least capacity."""
        self.level = 0.0
        """What is left; negative while a debt is paid off."""
        self.filled_at_ms: int | None = None

    def fill(self, rate: float, now_ms: int) -> None:
        """Add what the time since the last fill gives."""
        capacity = max(self.floor, rate * BURST_S)
        if self.filled_at_ms is None:
            self.level = capacity
        else:
            gained = rate * (now_ms - self.filled_at_ms) / 1000
            self.level = min(capacity, self.level + gained)
        self.filled_at_ms = now_ms

    def wait_ms(self, cost: float, rate: float) -> int:
        """Return the time until the cost is there; 0 when it is."""
        if self.level >= cost:
            return 0
        if rate <= 0:
            return CONCURRENT_RETRY_MS
        return math.ceil((cost - self.level) / rate * 1000)


class AccountLimiter:
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
        self.requests = Bucket(1.0)
        """Bucket of requests."""
        self.tokens = Bucket(1.0)
        """Bucket of tokens; a request is admitted while it is not in debt."""
        self.demand = spb.Amounts()
        """Smoothed demand."""
        self.demand_at_ms: int | None = None

    def share(self, now_ms: int) -> spb.Amounts:
        """Return what the host may use now."""
        if now_ms >= self.valid_until_ms:
            return self.safe
        return added(self.safe, self.granted)

    def admit(self, tokens: float, now_ms: int) -> Refusal | None:
        """Take a request, or say which limit refuses it.

        Args:
            tokens: Tokens expected; `used_tokens` corrects them later.
            now_ms: Present monotonic time.
        """
        self._note_demand(tokens, now_ms)
        share = self.share(now_ms)
        self.requests.fill(share.requests_per_s, now_ms)
        self.tokens.fill(share.tokens_per_s, now_ms)
        refusal = self._refusal(share, now_ms)
        if refusal is None:
            self.running += 1
            self.requests.level -= 1
            self.tokens.level -= tokens
        return refusal

    def ended(self) -> None:
        """Note that a request has ended."""
        self.running -= 1

    def used_tokens(self, difference: float) -> None:
        """Correct the tokens of a request: used less expected."""
        self.tokens.level -= difference

    def held(self, now_ms: int) -> spb.Amounts:
        """Return what is used or may be used beyond the safe share."""
        valid = now_ms < self.valid_until_ms
        held = spb.Amounts()
        if valid:
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

    def _refusal(self, share: spb.Amounts, now_ms: int) -> Refusal | None:
        cut_off = now_ms >= self.valid_until_ms
        if self.running + 1 > share.concurrent_requests:
            return Refusal(Limit.CONCURRENT, CONCURRENT_RETRY_MS, cut_off)
        wait_ms = self.requests.wait_ms(1.0, share.requests_per_s)
        if wait_ms:
            return Refusal(Limit.REQUESTS, wait_ms, cut_off)
        wait_ms = self.tokens.wait_ms(0.0, share.tokens_per_s)
        if wait_ms:
            return Refusal(Limit.TOKENS, wait_ms, cut_off)
        return None

    def _note_demand(self, tokens: float, now_ms: int) -> None:
        self._age_demand(now_ms)
        per_s = 1000 / DEMAND_AGE_MS
        self.demand.requests_per_s += per_s
        self.demand.tokens_per_s += tokens * per_s
        wanted = self.running + 1
        concurrent = max(self.demand.concurrent_requests, wanted)
        self.demand.concurrent_requests = concurrent

    def _age_demand(self, now_ms: int) -> None:
        if self.demand_at_ms is not None:
            age = math.exp((self.demand_at_ms - now_ms) / DEMAND_AGE_MS)
            for kind in KINDS:
                setattr(self.demand, kind, getattr(self.demand, kind) * age)
        self.demand_at_ms = now_ms


class HostLimiter:
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
        self.accounts: dict[str, AccountLimiter] = {}
        """Limits by client account."""
        self.sequence = 0
        """Of the last report."""
        self.sent_at_ms = 0
        """When the last report was sent."""

    def set_safe_shares(self, safe: Mapping[str, spb.Amounts]) -> None:
        """Take the safe shares of newer settings; unknown accounts go."""
        self.accounts = {
            name: self.accounts.get(name, AccountLimiter(share))
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
