"""Plans starts, drains and stops of the hosts of a service.

Hosts are started at once when slots are missing. A host is drained only after it was
unneeded for the scale-in delay and while the other ready hosts meet the need. A drained
host is stopped when it has no more requests.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, Final

from tanagerturn.schema import settings_pb2
from tanagerturn.serving.capacity._allocate import (
    Allocation,
    HostOption,
    allocate,
    make_host_options,
    short_slots,
)
from tanagerturn.serving.capacity.messages import (
    CapacityPlan,
    CapacityStep,
    DrainHost,
    HeldHost,
    HostState,
    Market,
    Offer,
    ServiceNeed,
    StartHost,
    StopHost,
)
from tanagerturn.serving.capacity.refusals import Refusals

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from tanagerturn.serving.backends.messages import AvailabilityZone
    from tanagerturn.serving.capacity.messages import HostId

PRICE_HOLD_MS: Final = 120_000
"""Milliseconds for which other hosts must be cheaper before they replace held ones."""

START_TIMEOUT_MS: Final = 300_000
"""Milliseconds after the start of a host after which it is stopped if not ready."""

RISK_WINDOW_MS: Final = 6 * 3_600_000
"""Milliseconds for which a reclaim counts towards the reclaim risk of its zone."""

RECLAIM_COST_HOURS: Final = 0.25
"""Cost of one reclaim of a host, in hours of the price of the host."""

MS_PER_H: Final = 3_600_000.0


class CapacityPlanner:
    """Plans the hosts of one service; keeps its state between plans."""

    def __init__(self) -> None:
        self.refusals = Refusals()
        """Refused starts, by kind of host."""
        self.unwanted_since_ms: dict[HostId, int] = {}
        """Live hosts that the last plan did not need, with the time in milliseconds
        since which they are not needed."""
        self.cheaper_since_ms: int | None = None
        """Time in milliseconds since which cheaper hosts are offered; None if none
        are."""
        self.reclaims: dict[AvailabilityZone, deque[int]] = {}
        """Times in milliseconds of the last reclaims of each zone."""

    def on_reclaim(self, zone: AvailabilityZone, now_ms: int) -> None:
        """Record that hosts of a zone were reclaimed at `now_ms`."""
        self.reclaims.setdefault(zone, deque(maxlen=100)).append(now_ms)

    def risk(self, now_ms: int) -> dict[str, float]:
        """Return the expected cost of reclaims by zone, as a share of the price."""
        since_ms = now_ms - RISK_WINDOW_MS
        return {
            zone: sum(1 for at_ms in times if at_ms > since_ms)
            / (RISK_WINDOW_MS / MS_PER_H)
            * RECLAIM_COST_HOURS
            for zone, times in self.reclaims.items()
        }

    def plan(
        self,
        need: ServiceNeed,
        held: Sequence[HeldHost],
        offers: Iterable[Offer],
        now_ms: int,
        policy: settings_pb2.CapacityPolicy.ValueType = settings_pb2.LOWEST_COST,
    ) -> CapacityPlan:
        """Return the steps for the service that are due now.

        The caller must count each started host as held at once, and must report a
        refused start to `refusals`.

        Args:
            need: Capacity need of the service.
            held: Hosts that are held for the service.
            offers: Hosts that can be started, with their current prices.
            now_ms: Current time in milliseconds.
            policy: Capacity policy of the deployment.
        """
        steps: list[CapacityStep] = [*_stops(held, now_ms)]
        live = [host for host in held if _is_live(host, now_ms)]
        wanted = self._allocate(need, live, offers, now_ms, policy)
        max_on_demand_hosts = _max_on_demand(need, policy)
        steps += _limit_starts(
            self._starts(need, live, wanted, now_ms), live, need, max_on_demand_hosts
        )
        steps += self._drains(need, live, wanted, now_ms, policy)
        return CapacityPlan(
            service=need.service,
            steps=tuple(steps),
            wanted=dict(Counter(option.key for option in wanted.hosts)),
            short_slots=wanted.short_slots,
            cost_per_hour=sum(option.price for option in wanted.hosts),
        )

    def _allocate(
        self,
        need: ServiceNeed,
        live: Sequence[HeldHost],
        offers: Iterable[Offer],
        now_ms: int,
        policy: settings_pb2.CapacityPolicy.ValueType,
    ) -> Allocation:
        only_on_demand = policy == settings_pb2.ON_DEMAND_ONLY
        open_offers = [
            offer
            for offer in offers
            if not self.refusals.is_paused(offer.key, now_ms)
            and not (only_on_demand and offer.key.market is Market.RECLAIMABLE)
        ]
        options = make_host_options(
            live, open_offers, self.risk(now_ms), need.max_hosts
        )
        return allocate(need, options, _max_on_demand(need, policy))

    def _starts(
        self,
        need: ServiceNeed,
        live: Sequence[HeldHost],
        wanted: Allocation,
        now_ms: int,
    ) -> list[StartHost]:
        unheld = [option for option in wanted.hosts if option.held is None]
        missing = short_slots(need, [_as_host_option(host) for host in live])
        if missing:
            self.cheaper_since_ms = None
            reason = f"{missing:.1f} slots are missing, or would be without one zone"
            return [StartHost(need.service, option.key, reason) for option in unheld]
        if not unheld:
            self.cheaper_since_ms = None
            return []
        if self.cheaper_since_ms is None:
            self.cheaper_since_ms = now_ms
        if now_ms - self.cheaper_since_ms < PRICE_HOLD_MS:
            return []
        if any(host.state is HostState.STARTING for host in live):
            return []
        return [StartHost(need.service, unheld[0].key, "cheaper than a held host")]

    def _drains(
        self,
        need: ServiceNeed,
        live: Sequence[HeldHost],
        wanted: Allocation,
        now_ms: int,
        policy: settings_pb2.CapacityPolicy.ValueType,
    ) -> list[DrainHost]:
        kept_ids = {option.held for option in wanted.hosts}
        unwanted = [host for host in live if host.id not in kept_ids]
        self.unwanted_since_ms = {
            host.id: self.unwanted_since_ms.get(host.id, now_ms) for host in unwanted
        }
        drains_at_once = policy == settings_pb2.SCALE_IN_AT_ONCE
        delay_ms = 0 if drains_at_once else need.scale_in_after_ms
        ready = [host for host in live if host.state is HostState.READY]
        steps = []
        for host in sorted(unwanted, key=lambda each: -each.price_per_hour):
            if now_ms - self.unwanted_since_ms[host.id] < delay_ms:
                continue
            remaining = [each for each in ready if each.id != host.id]
            if short_slots(need, [_as_host_option(each) for each in remaining]):
                continue
            ready = remaining
            steps.append(DrainHost(host.id, "not wanted for the steady time"))
        return steps


def _max_on_demand(
    need: ServiceNeed, policy: settings_pb2.CapacityPolicy.ValueType
) -> int:
    if policy == settings_pb2.ON_DEMAND_ONLY:
        return need.max_hosts
    return need.max_on_demand


def _limit_starts(
    starts: Iterable[StartHost],
    live: Sequence[HeldHost],
    need: ServiceNeed,
    max_on_demand: int,
) -> list[StartHost]:
    """Omit starts that would exceed the limits.

    Held hosts count towards the limits even if they are not needed.
    """
    count = len(live)
    on_demand = sum(1 for host in live if host.key.market is Market.ON_DEMAND)
    allowed = []
    for start in starts:
        is_on_demand = start.key.market is Market.ON_DEMAND
        if count >= need.max_hosts or (is_on_demand and on_demand >= max_on_demand):
            continue
        count += 1
        on_demand += is_on_demand
        allowed.append(start)
    return allowed


def _stops(held: Iterable[HeldHost], now_ms: int) -> list[StopHost]:
    steps = []
    for host in held:
        if host.state is HostState.DRAINING and not host.running:
            steps.append(StopHost(host.id, "drained"))
        elif host.state is HostState.STARTING and not _is_live(host, now_ms):
            steps.append(StopHost(host.id, "did not become ready"))
    return steps


def _is_live(host: HeldHost, now_ms: int) -> bool:
    if host.state is HostState.DRAINING or host.under_notice:
        return False
    start_timed_out = now_ms - host.since_ms >= START_TIMEOUT_MS
    return host.state is HostState.READY or not start_timed_out


def _as_host_option(host: HeldHost) -> HostOption:
    price = host.price_per_hour
    return HostOption(host.key, host.slots, price, price, host.id)
