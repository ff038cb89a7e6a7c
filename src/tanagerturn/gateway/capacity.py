"""Orders backend servers from the cloud API according to a capacity plan."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import to_ms
from tanagerturn.gateway.logs import component_log
from tanagerturn.serving.backends.messages import AvailabilityZone
from tanagerturn.serving.capacity.counts import CountPlanner
from tanagerturn.serving.capacity.engine_rate import (
    EngineCapacity,
    EngineUse,
    engines_for,
)
from tanagerturn.serving.capacity.messages import CountKey, Market, ZoneOffer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tanagerturn.gateway.configuration import Service
    from tanagerturn.gateway.state import GatewayState

REPEAT_ORDER_AFTER_S: Final = 6.0
"""Time in seconds after which an accepted order is sent again if the ready backend
servers still differ from it, because some may have been reclaimed since. The time is
longer than the boot of a backend server."""

STARTUP_WAIT_S: Final = 2.0
"""Time in seconds after its start during which a gateway sends no orders: backend
servers announce themselves every second, and the gateway may not know all of them."""

INITIAL_DEMAND_FRACTION: Final = 0.35
"""Fraction of the sum of all token limits that is expected as demand before callers
come; operators set limits at about twice the normal traffic."""

REFUSED_STATUS: Final = 409
"""HTTP status with which the cloud API refuses an order."""

log = component_log("capacity")


@dataclass
class ServiceOrders:
    """Plan and accepted orders of one service."""

    planner: CountPlanner
    """Plans the number of backend servers by zone and market."""
    last_orders: dict[CountKey, tuple[int, float]] = field(default_factory=dict)
    """Last order that got a response other than a refusal, by zone and market: number
    of backend servers and the boot-clock time of the order in seconds."""


class CapacityOrders:
    """Orders for backend servers, sent while this gateway holds the duties lease.

    Args:
        state: State of the gateway.
        send_order: Sends an order for a total number of backend servers of a service in
            one zone and market; returns the HTTP status, or None without a response.
        started_s: Boot-clock time of the process start in seconds.
    """

    def __init__(
        self,
        state: GatewayState,
        send_order: Callable[[Service, CountKey, int], Awaitable[int | None]],
        started_s: float,
    ) -> None:
        self.state = state
        """State of the gateway."""
        self.send_order = send_order
        """Sends an order for a total number of backend servers of a service in one zone
        and market; returns the HTTP status, or None without a response."""
        self.orders: dict[str, ServiceOrders] = {}
        """Plan and accepted orders of each service, by service name."""
        self.started_s = started_s
        """Boot-clock time of the process start in seconds."""

    def reset(self) -> None:
        """Forget all orders, because another gateway may have sent others since."""
        self.orders = {}

    async def step(self, now_s: float) -> None:
        """Send the orders that are due for all services with scalable engines."""
        if now_s - self.started_s < STARTUP_WAIT_S:
            return
        for service in self.state.configuration.services.values():
            if service.scaling is not None and service.engine is not None:
                await self._order_for_service(service, now_s)

    async def _order_for_service(self, service: Service, now_s: float) -> None:
        assert service.scaling is not None
        scaling = service.scaling
        orders = self.orders.get(service.name)
        if orders is None:
            planner = CountPlanner(scaling.boot_s)
            orders = self.orders[service.name] = ServiceOrders(planner)
        ready = ready_counts(self.state, service.name, now_s)
        offers = [
            ZoneOffer(
                AvailabilityZone(zone),
                price,
                scaling.min_backends,
                scaling.max_backends,
            )
            for zone, price in scaling.zone_prices.items()
        ]
        if not offers or not ready:
            return
        capacity = self._measured_capacity(service, now_s)
        holds_spares = self.state.fleet.speeds.active(service.name) is not None
        planned = orders.planner.plan(
            self.state.token_demand.total_tokens_per_s(now_s),
            offers,
            scaling.reclaimable_price > 0,
            ready,
            now_s,
            initial_demand(self.state),
            None if capacity is None else partial(engines_for, capacity=capacity),
            scaling.reclaimable_price if holds_spares else 0.0,
        )
        # Increases are ordered before decreases, which release backend servers.
        for key, count in sorted(
            planned.items(), key=lambda item: ready.get(item[0], 0) - item[1]
        ):
            if not _is_due(orders, key, count, ready.get(key, 0), now_s):
                continue
            status = await self.send_order(service, key, count)
            if status is None:
                return
            orders.last_orders[key] = (count, now_s)
            if status == REFUSED_STATUS:
                orders.planner.on_refused(key, now_s)
                del orders.last_orders[key]
            elif status < REFUSED_STATUS:
                orders.planner.on_accepted(key, count, now_s)
            log.info(
                "backends_ordered",
                service=service.name,
                zone=key.zone,
                market=key.market.value,
                count=count,
                ready=ready.get(key, 0),
                demand=round(self.state.token_demand.total_tokens_per_s(now_s)),
                engine_tokens=None
                if capacity is None
                else round(capacity.tokens_per_s),
                raised=None if capacity is None else round(capacity.raised, 2),
                status=status,
            )

    def _measured_capacity(
        self, service: Service, now_s: float
    ) -> EngineCapacity | None:
        """Return the measured capacity of the engines; None if there is none.

        Only engines that report their speed are measured.
        """
        fleet = self.state.fleet
        speeds = fleet.speeds.active(service.name)
        if speeds is None:
            return None
        ready = [
            backend
            for backend in fleet.view.pool(service.name)
            if not backend.leaving and backend.is_alive(to_ms(now_s))
        ]
        work = [fleet.state(backend.id).total_work(now_s) for backend in ready]
        use = EngineUse(
            sum(each.running for each in work),
            sum(each.prompt_tokens for each in work),
            max((backend.slots for backend in ready), default=1),
            [fleet.speeds.of(backend).mean_factor() for backend in ready],
            speeds.common_ratio(),
        )
        return fleet.speeds.rates[service.name].capacity(use, now_s)


def initial_demand(state: GatewayState) -> float:
    """Return the demand in tokens per second to plan for before callers come."""
    rates = [a.rate_per_s for a in state.configuration.accounts if a.counts_tokens]
    return INITIAL_DEMAND_FRACTION * sum(rates)


def ready_counts(state: GatewayState, service: str, now_s: float) -> Counter[CountKey]:
    """Count the backend servers of a service that are alive and not leaving."""
    counts: Counter[CountKey] = Counter()
    for backend in state.fleet.view.pool(service):
        if backend.leaving or not backend.is_alive(to_ms(now_s)):
            continue
        market = Market.RECLAIMABLE if backend.reclaimable else Market.ON_DEMAND
        counts[CountKey(backend.zone, market)] += 1
    return counts


def _is_due(
    orders: ServiceOrders, key: CountKey, count: int, ready: int, now_s: float
) -> bool:
    last_order = orders.last_orders.get(key)
    if last_order is None:
        refused_until_s = orders.planner.refused_until_s.get(key, 0.0)
        return now_s >= refused_until_s and (count > 0 or ready > 0)
    if last_order[0] != count:
        return True
    return ready != count and now_s - last_order[1] >= REPEAT_ORDER_AFTER_S
