"""Policies of admission that `scarce_capacity.py` compares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from scarce_sim import DIGEST_DELAY_S, IDLE_S, TIMEOUT_S, Arrival, Simulation

from tanagerturn.serving.admission.engine_demand import OTHER_ACCOUNTS
from tanagerturn.serving.admission.first_event import Deferred, admit
from tanagerturn.serving.admission.price import ServicePrice
from tanagerturn.serving.admission.scarcity import (
    Refuse,
    ScarceRequest,
    decide,
    on_requested,
)

if TYPE_CHECKING:
    from collections.abc import Callable

POLL_S = 0.025
DISPATCH_BACKLOG_S = 0.1


class Policy:
    """How gateways decide; the base class sends everything."""

    name = "send all"

    def start(self, sim: Simulation, end_s: float) -> None:
        """Prepare for a simulation."""

    def on_digest(self, sim: Simulation, gateway: int, now_s: float) -> None:
        """Send a digest to the peers of a gateway."""

    def on_first_event(
        self, gateway: int, wait_s: float, work_s: float, now_s: float
    ) -> None:
        """Learn how long a request waited at its engine."""

    def on_arrival(
        self, sim: Simulation, gateway: int, request: Arrival, now_s: float
    ) -> None:
        """Decide about an attempt."""
        engine, _ = sim.best(gateway, now_s)
        sim.send(gateway, request, engine, now_s)


class PresentRule(Policy):
    """The rule of first_event.py."""

    name = "present rule"

    def on_arrival(
        self, sim: Simulation, gateway: int, request: Arrival, now_s: float
    ) -> None:
        """Decide about an attempt."""
        engine, backlog_s = sim.best(gateway, now_s)
        kind, waited_s = request.kind, now_s - request.at_s
        decision = admit(
            IDLE_S + backlog_s + kind.read_s,
            kind.read_s,
            waited_s,
            kind.objective_s,
            kind.priority,
            TIMEOUT_S - waited_s,
        )
        if isinstance(decision, Deferred):
            sim.refuse(gateway, request, now_s, decision.retry_after_s)
        else:
            sim.send(gateway, request, engine, now_s)


class SharedPrice(Policy):
    """The rule of scarcity.py."""

    name = "shared price"

    def __init__(self) -> None:
        self.prices: list[ServicePrice] = []
        self.levels: list[tuple[float, float]] = []
        self.cut_off: set[int] = set()

    def start(self, sim: Simulation, end_s: float) -> None:
        """Prepare for a simulation."""
        self.prices = [ServicePrice() for _ in range(sim.gateways)]

    def on_first_event(
        self, gateway: int, wait_s: float, work_s: float, now_s: float
    ) -> None:
        """Learn how long a request waited at its engine."""
        self.prices[gateway].on_first_event(wait_s, work_s, now_s)

    def on_digest(self, sim: Simulation, gateway: int, now_s: float) -> None:
        """Send a digest to the peers of a gateway."""
        price = self.prices[gateway]
        price.step(sim.engines, sim.gateways, now_s)
        self.levels.append((now_s, min(price.level, 3.0)))
        if gateway in self.cut_off:
            return
        report, sent_s = price.report(now_s), now_s

        def deliver(now_s: float) -> None:
            for peer, each in enumerate(self.prices):
                if peer != gateway and peer not in self.cut_off:
                    each.on_report(str(gateway), report, sent_s, now_s)

        sim.at(now_s + DIGEST_DELAY_S, deliver)

    def on_arrival(
        self, sim: Simulation, gateway: int, request: Arrival, now_s: float
    ) -> None:
        """Decide about an attempt."""
        engine, backlog_s = sim.best(gateway, now_s)
        kind, waited_s = request.kind, now_s - request.at_s
        price = self.prices[gateway]
        scarce = ScarceRequest(
            priority=kind.priority,
            account=request.account or OTHER_ACCOUNTS,
            draw=request.draw,
            read_s=kind.read_s,
            output_tokens=kind.output_tokens,
            idle_s=IDLE_S,
            backlog_s=backlog_s,
            waited_s=waited_s,
            objective_s=kind.objective_s,
            time_left_s=TIMEOUT_S - waited_s,
            nothing_waits=backlog_s <= 0.0,
        )
        if request.attempts == 1:
            on_requested(price, scarce, now_s)
        price.step(sim.engines, sim.gateways, now_s)
        decision = decide(price, scarce, now_s)
        if isinstance(decision, Refuse):
            sim.refuse(gateway, request, now_s, decision.retry_after_s)
        else:
            sim.send(gateway, request, engine, now_s)


class QueuePolicy(Policy):
    """Requests wait at their gateway and are sent in an order.

    Args:
        name: Name in the table.
        key: Returns a sort key of a request; the least one is sent first.
        is_fair: Client accounts take turns by the work sent for them.
    """

    def __init__(
        self,
        name: str,
        key: Callable[[Arrival, float], float],
        *,
        is_fair: bool = False,
    ) -> None:
        self.name, self.key, self.is_fair = name, key, is_fair
        self.queues: list[list[Arrival]] = []
        self.sent: list[dict[int, float]] = []

    def start(self, sim: Simulation, end_s: float) -> None:
        """Prepare for a simulation."""
        self.queues = [[] for _ in range(sim.gateways)]
        self.sent = [{} for _ in range(sim.gateways)]
        sim.at(0.0, lambda now_s: self._poll(sim, now_s, end_s))

    def on_arrival(
        self, sim: Simulation, gateway: int, request: Arrival, now_s: float
    ) -> None:
        """Decide about an attempt."""
        self.queues[gateway].append(request)
        self._dispatch(sim, gateway, now_s)

    def _poll(self, sim: Simulation, now_s: float, end_s: float) -> None:
        for gateway, queue in enumerate(self.queues):
            if queue:
                self._dispatch(sim, gateway, now_s)
        if now_s < end_s:
            sim.at(now_s + POLL_S, lambda now_s: self._poll(sim, now_s, end_s))

    def _dispatch(self, sim: Simulation, gateway: int, now_s: float) -> None:
        queue = self.queues[gateway]
        for request in list(queue):
            kind = request.kind
            latest_s = request.at_s + kind.objective_s - IDLE_S - kind.read_s
            if now_s > latest_s:
                queue.remove(request)
                sim.refuse(gateway, request, now_s, None)
        sent = self.sent[gateway]
        while queue:
            engine, backlog_s = sim.best(gateway, now_s)
            if backlog_s > DISPATCH_BACKLOG_S:
                return
            if self.is_fair:
                request = min(queue, key=lambda r: (sent.get(r.account, 0.0), r.at_s))
                floor = min(sent.get(each.account, 0.0) for each in queue)
                sent[request.account] = (
                    max(floor, sent.get(request.account, 0.0)) + request.kind.work_s
                )
            else:
                request = min(queue, key=lambda r: (self.key(r, now_s), r.at_s))
            queue.remove(request)
            sim.send(gateway, request, engine, now_s)


def queue_policies() -> list[QueuePolicy]:
    """Return the orders that are compared."""

    def smith(request: Arrival, now_s: float) -> float:
        # Importance halves with each priority step; waiting doubles it in 0.3 s.
        weight = 0.5**request.kind.priority * (1.0 + (now_s - request.at_s) / 0.3)
        return -weight / request.kind.work_s

    return [
        QueuePolicy("strict priority", lambda r, _: r.kind.priority),
        QueuePolicy("earliest deadline", lambda r, _: r.at_s + r.kind.objective_s),
        QueuePolicy("Smith's rule, ageing", smith),
        QueuePolicy("fair shares", lambda r, _: 0.0, is_fair=True),
    ]
