"""Connects the shared price of engine time with requests, fleet, digests and logs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.request_run import Refusal, earlier_wait_s, request_priority
from tanagerturn.serving.admission.engine_demand import OTHER_ACCOUNTS, DemandKey
from tanagerturn.serving.admission.price import PriceReport, ServicePrice
from tanagerturn.serving.admission.scarcity import (
    MIN_RETRY_AFTER_S,
    Refuse,
    ScarceRequest,
    decide,
    on_requested,
)

if TYPE_CHECKING:
    from tanagerturn.gateway.backends.placement import Choice
    from tanagerturn.gateway.request_run import RequestRun
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.schema import gateway_pb2 as gpb

LOG_INTERVAL_S: Final = 1.0
"""Shortest time in seconds between two log lines about the price of one service."""

DRAW_RANGE: Final = 2.0**32

MAX_REPORTED_RATE: Final = 1e4
"""Largest demand in engine seconds per second that is believed of a peer: more than all
engines of the largest deployments have."""

log = component_log("scarcity")


class ScarceServices:
    """Prices of the services whose admission depends on a shared price."""

    def __init__(self) -> None:
        self.prices: dict[str, ServicePrice] = {}
        """Price by service."""
        self.logged: dict[str, tuple[bool, float]] = {}
        """Whether the service was scarce at its last log line, and the boot-clock time
        of that line in seconds."""

    def price(self, service: str) -> ServicePrice:
        """Return the price of a service; one is added if missing."""
        return self.prices.setdefault(service, ServicePrice())


def reject_if_priced_out(
    state: GatewayState, run: RequestRun, choice: Choice, now_s: float
) -> None:
    """Reject a generation that the shared price or its deadline excludes.

    It is called before each attempt, and again each time a waiting request checks for
    capacity.

    Args:
        state: State of the gateway.
        run: The request, which has no attempt in progress.
        choice: Backend server to which it would be sent now.
        now_s: Current boot-clock time in seconds.

    Raises:
        Refusal: The request is refused.
    """
    if run.request.prompt is None or run.sent_count:
        return
    run.expected_s = choice.first_event_s
    run.unqueued_s = choice.first_event_s - choice.backlog_s
    if run.is_price_paid:
        # A second decision by price would refuse requests that have already waited.
        if choice.first_event_s <= run.time_left_s(now_s):
            return
        raise Refusal(
            503,
            f"waited for capacity and can't be served at {choice.backend.id} in time",
            max(MIN_RETRY_AFTER_S, choice.backlog_s),
        )
    service_price = state.scarcity.price(run.service)
    request = scarce_request(run, choice, now_s)
    run.work_s = request.work_s
    if not request.is_started and not earlier_wait_s(run.request, run.route):
        on_requested(service_price, request, now_s)
    step(state, run.service, now_s)
    decision = decide(service_price, request, now_s)
    if isinstance(decision, Refuse):
        state.metrics.price_refusals.labels(run.service, decision.reason).inc()
        run.price_reason = decision.reason
        cause = (
            f"service {run.service} is scarce: {decision.reason}, level"
            f" {service_price.level:.2f}, priority {request.priority}, expected"
            f" {choice.first_event_s:.2f} s to the first event"
        )
        raise Refusal(503, cause, decision.retry_after_s)
    run.is_price_paid = True


def scarce_request(run: RequestRun, choice: Choice, now_s: float) -> ScarceRequest:
    """Return what decides about a generation."""
    prompt = run.request.prompt
    assert prompt is not None
    output = prompt.expected_output_tokens or prompt.max_output_tokens
    return ScarceRequest(
        priority=request_priority(run),
        account=account_number(run.account.name if run.account else ""),
        draw=draw_of(run),
        read_s=choice.prompt_read_s,
        output_tokens=output,
        idle_s=choice.first_event_s - choice.prompt_read_s - choice.backlog_s,
        backlog_s=choice.backlog_s,
        waited_s=earlier_wait_s(run.request, run.route)
        + now_s
        - run.exchange.arrived_s,
        objective_s=run.route.latency_objective_s,
        time_left_s=run.time_left_s(now_s),
        # A resumed stream has its first events, and a peer has admitted what it
        # forwards.
        is_started=run.request.last_event_id is not None or run.forwarded is not None,
        nothing_waits=choice.nothing_waits,
        is_full=choice.is_full,
    )


def draw_of(run: RequestRun) -> float:
    """Return a number in [0, 1) that is equal for all attempts of a request.

    The last part of a prompt occurs in one request or session only. Requests without
    parts and body can't be told apart, so each of their attempts is drawn anew.
    """
    prompt, exchange = run.request.prompt, run.exchange
    if prompt is not None and prompt.parts:
        text = f"{run.account.name if run.account else ''}\n{prompt.parts[-1].id}"
    elif exchange.body:
        text = str(run.fingerprint)
    else:
        text = run.request.attempt_id
    return int(xxhash.xxh32_intdigest(text.encode())) / DRAW_RANGE


def account_number(name: str) -> int:
    """Return the number that stands for a client account in digests."""
    return xxhash.xxh32_intdigest(name.encode()) if name else OTHER_ACCOUNTS


def step(state: GatewayState, service: str, now_s: float) -> None:
    """Compute the price of a service if it is due; log when scarcity begins or ends.

    Args:
        state: State of the gateway.
        service: Service whose price is shared.
        now_s: Current boot-clock time in seconds.
    """
    price = state.scarcity.price(service)
    if not price.is_due(now_s):
        return
    engines = state.fleet.candidates(service, (), now_s)
    known_gateways = max(state.budget_gateways, state.gateway_count)
    price.step(len(engines), known_gateways, now_s)
    state.metrics.price.labels(service).set(price.price)
    was_scarce, logged_s = state.scarcity.logged.get(service, (False, -LOG_INTERVAL_S))
    if price.is_scarce != was_scarce and now_s - logged_s >= LOG_INTERVAL_S:
        state.scarcity.logged[service] = price.is_scarce, now_s
        fields = {
            "service": service,
            "level": round(price.level, 3),
            "demand": round(sum(price.totals.values()), 2),
            "engines": len(engines),
            "capacity_factor": round(price.capacity_factor, 3),
            "reports": len(price.reports),
        }
        if price.is_scarce:
            log.info("capacity_scarce", **fields)
        else:
            log.info("capacity_sufficient", **fields)


def on_first_event(state: GatewayState, run: RequestRun, now_s: float) -> None:
    """Record how long a generation waited at its engine for its first event."""
    if run.service not in state.scarcity.prices or run.backend is None:
        return
    sent = state.fleet.state(run.backend.id).in_flight.get(run.request.attempt_id)
    if sent is not None and not sent.first_event_received:
        wait_s = now_s - sent.sent_at_s - run.unqueued_s
        price = state.scarcity.price(run.service)
        price.on_first_event(wait_s, run.work_s, now_s)


def fill_digest(state: GatewayState, digest: gpb.Digest, now_s: float) -> None:
    """Add the prices of this gateway to a digest."""
    digest.knows_prices = state.settings.shares_price
    for service, price in state.scarcity.prices.items():
        report = price.report(now_s)
        entry = digest.prices.add(
            service=service,
            level=report.level,
            capacity_factor=report.capacity_factor,
            wait_s=report.wait_s,
            done=report.done,
        )
        for key, rate in report.demand.items():
            entry.demand.add(
                priority=key.priority, client_account=key.account, engine_seconds=rate
            )


def on_digest(state: GatewayState, digest: gpb.Digest, now_s: float) -> None:
    """Apply the prices in a peer's digest; those of the previous release hold none."""
    if not digest.knows_prices or not state.scarcity.prices:
        return
    sent_s = digest.sent_at_ms / 1000
    # A digest may have been delayed on its way; a wrong clock must not make it newer.
    age_s = max(0.0, state.wall_clock.read(now_s) - sent_s) if sent_s else 0.0
    entries = {entry.service: entry for entry in digest.prices}
    for service, price in state.scarcity.prices.items():
        entry = entries.get(service)
        report = None if entry is None else _decode(entry)
        price.on_report(digest.host, report, now_s - age_s, now_s)


def _decode(entry: gpb.ServicePrice) -> PriceReport | None:
    """Return a peer's report; None if a figure is absurd."""
    demand: dict[DemandKey, float] = {}
    for each in entry.demand:
        if not 0 <= each.engine_seconds <= MAX_REPORTED_RATE or each.priority > 9:
            return None
        key = DemandKey(each.priority, each.client_account)
        demand[key] = demand.get(key, 0.0) + each.engine_seconds
    figures = (entry.level, entry.capacity_factor, entry.wait_s, entry.done)
    if not all(0 <= figure <= MAX_REPORTED_RATE for figure in figures):
        return None
    return PriceReport(*figures, demand)
