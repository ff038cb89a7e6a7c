"""Orders backend servers at the cloud API as the plan of numbers says."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import to_ms
from tanagerturn.gateway.logs import part_log
from tanagerturn.serving.backends.messages import AvailabilityZone
from tanagerturn.serving.capacity.counts import CountKey, CountPlanner, ZoneOffer
from tanagerturn.serving.capacity.messages import Market

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tanagerturn.gateway.configuration import Service
    from tanagerturn.gateway.state import GatewayState

ORDER_AGAIN_S: Final = 6.0
"""Time after which an accepted order is repeated while its backend servers are
missing: longer than a boot; they may have been taken since."""

SETTLE_S: Final = 2.0
"""Time after its start in which a gateway orders nothing: it may not have heard of
all backend servers yet, which announce themselves every second."""

PRIOR_SHARE: Final = 0.35
"""Part of all limits that callers are expected to ask at first; operators set limits
at about twice the usual traffic."""

REFUSED_STATUS: Final = 409

log = part_log("capacity")


@dataclass
class ServiceOrders:
    """What was ordered for one service."""

    planner: CountPlanner
    """Its plan."""
    sent: dict[CountKey, tuple[int, float]] = field(default_factory=dict)
    """Last accepted number by zone and market, and when it was sent."""


class CapacityOrders:
    """Orders of one holder of the duties.

    Args:
        state: State of the gateway.
        send: Sends an order; returns the status, or None without an answer.
        started_s: Boot clock at the start of the process.
    """

    def __init__(
        self,
        state: GatewayState,
        send: Callable[[Service, CountKey, int], Awaitable[int | None]],
        started_s: float,
    ) -> None:
        self.state = state
        """State of the gateway."""
        self.send = send
        """Sends an order."""
        self.orders: dict[str, ServiceOrders] = {}
        """Orders by service."""
        self.started_s = started_s
        """Boot clock at the start of the process."""

    def reset(self) -> None:
        """Forget what was ordered: another gateway may have ordered since."""
        self.orders = {}

    async def step(self, now_s: float) -> None:
        """Send the orders that are due."""
        if now_s - self.started_s < SETTLE_S:
            return
        for service in self.state.configuration.services.values():
            if service.scaling is not None and service.engine is not None:
                await self._step_service(service, now_s)

    async def _step_service(self, service: Service, now_s: float) -> None:
        assert service.scaling is not None
        scaling = service.scaling
        orders = self.orders.get(service.name)
        if orders is None:
            planner = CountPlanner(scaling.boot_s)
            orders = self.orders[service.name] = ServiceOrders(planner)
        ready = ready_counts(self.state, service.name, now_s)
        offers = [
            ZoneOffer(AvailabilityZone(zone), price, scaling.least, scaling.most)
            for zone, price in scaling.zone_prices.items()
        ]
        if not offers or not ready:
            return
        wanted = orders.planner.plan(
            self.state.asked.total(now_s),
            offers,
            scaling.reclaimable_price > 0,
            ready,
            now_s,
            prior_demand(self.state),
        )
        # More is ordered before anything is given back.
        for key, count in sorted(
            wanted.items(), key=lambda each: ready.get(each[0], 0) - each[1]
        ):
            if not _is_due(orders, key, count, ready.get(key, 0), now_s):
                continue
            status = await self.send(service, key, count)
            if status is None:
                return
            orders.sent[key] = (count, now_s)
            if status == REFUSED_STATUS:
                orders.planner.on_refused(key, now_s)
                del orders.sent[key]
            elif status < REFUSED_STATUS:
                orders.planner.on_accepted(key, count, now_s)
            log.info(
                "backends_ordered",
                service=service.name,
                zone=key.zone,
                market=key.market.value,
                count=count,
                ready=ready.get(key, 0),
                demand=round(self.state.asked.total(now_s)),
                status=status,
            )


def prior_demand(state: GatewayState) -> float:
    """Return the tokens a second to expect before callers come."""
    rates = [a.rate_per_s for a in state.configuration.accounts if a.counts_tokens]
    return PRIOR_SHARE * sum(rates)


def ready_counts(state: GatewayState, service: str, now_s: float) -> Counter[CountKey]:
    """Return the backend servers that are alive and do not leave."""
    counts: Counter[CountKey] = Counter()
    for backend in state.fleet.view.pool(service):
        if backend.leaving or not backend.alive(to_ms(now_s)):
            continue
        market = Market.RECLAIMABLE if backend.reclaimable else Market.ON_DEMAND
        counts[CountKey(backend.zone, market)] += 1
    return counts


def _is_due(
    orders: ServiceOrders, key: CountKey, count: int, ready: int, now_s: float
) -> bool:
    sent = orders.sent.get(key)
    if sent is None:
        refused_s = orders.planner.refused_until_s.get(key, 0.0)
        return now_s >= refused_s and (count > 0 or ready > 0)
    if sent[0] != count:
        return True
    return ready != count and now_s - sent[1] >= ORDER_AGAIN_S
