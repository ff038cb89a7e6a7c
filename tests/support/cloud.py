"""Simulated cloud that starts, refuses and reclaims hosts according to plans."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from tanagerturn.schema import settings_pb2
from tanagerturn.serving.capacity.messages import (
    DrainHost,
    HeldHost,
    HostState,
    Market,
    Offer,
    OfferKey,
    StartHost,
    StopHost,
)
from tanagerturn.serving.capacity.plan import CapacityPlanner

START_MS = 40_000
ZONES = "abcd"


def offers(reclaimable=0.4, on_demand=1.0, zones=ZONES, slots=8):
    """Return one offer per zone and market; zone `a` is the cheapest."""
    found = []
    for index, zone in enumerate(zones):
        for market, price in ((Market.RECLAIMABLE, reclaimable),
                              (Market.ON_DEMAND, on_demand)):  # fmt: skip
            key = OfferKey(zone, "gpu", market)
            found.append(Offer(key, price * (1 + 0.05 * index), slots))
    return found


class Cloud:
    """Hosts of one service in simulated time, which `run` advances."""

    def __init__(self, need, seed=0, policy=settings_pb2.LOWEST_COST):
        self.need, self.policy, self.random = need, policy, Random(seed)
        self.capacity, self.now_ms = CapacityPlanner(), 0
        self.held, self.names, self.log = {}, 0, []
        self.offers, self.refusing, self.cost, self.busy = offers(), set(), 0.0, 0

    def run(self, duration_ms, step_ms=2_000):
        """Plan and perform the steps every `step_ms`."""
        for _ in range(0, duration_ms, step_ms):
            self.now_ms += step_ms
            prices = {offer.key: offer.price_per_hour for offer in self.offers}
            for host in list(self.held.values()):
                started = host.state is HostState.STARTING
                if started and self.now_ms - host.since_ms >= START_MS:
                    host = replace(host, state=HostState.READY, since_ms=self.now_ms)
                price = prices.get(host.key, host.price_per_hour)
                self.held[host.id] = replace(host, price_per_hour=price)
                self.cost += price * step_ms / 3_600_000
            plan = self.capacity.plan(
                self.need, list(self.held.values()), self.offers, self.now_ms,
                self.policy,
            )  # fmt: skip
            for step in plan.steps:
                self.perform(step)

    def perform(self, step):
        """Perform a step or refuse it."""
        self.log.append((self.now_ms, step))
        if isinstance(step, StartHost):
            if step.key.market in self.refusing:
                self.capacity.refusals.on_refused(step.key, self.now_ms, self.random)
                return
            self.capacity.refusals.on_started(step.key)
            self.names += 1
            host = HeldHost(
                f"h{self.names}", step.key, HostState.STARTING, self.now_ms, 0.0, 8
            )
            self.held[host.id] = host
        elif isinstance(step, DrainHost):
            host = self.held[step.id]
            self.held[step.id] = replace(
                host, state=HostState.DRAINING, running=self.busy
            )
        elif isinstance(step, StopHost):
            del self.held[step.id]

    def ready(self):
        """Return the hosts that accept requests."""
        return [
            host
            for host in self.held.values()
            if host.state is HostState.READY and not host.under_notice
        ]

    def notice(self, zone):
        """Put the reclaimable hosts of a zone under notice, until `reclaim`."""
        for host in list(self.held.values()):
            if host.key.zone == zone and host.key.market is Market.RECLAIMABLE:
                self.held[host.id] = replace(host, under_notice=True)
        self.capacity.on_reclaim(zone, self.now_ms)

    def reclaim(self):
        """Remove the hosts under notice."""
        self.held = {k: h for k, h in self.held.items() if not h.under_notice}

    def count(self, kind):
        """Return the number of logged steps of a kind."""
        return sum(isinstance(step, kind) for _, step in self.log)
