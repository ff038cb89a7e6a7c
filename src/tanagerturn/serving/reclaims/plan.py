"""Planned actions for the requests on engines under notice, by their loss.

Requests that finish before the reclaim stay at their engine. The other requests are
ordered by the cost of losing their KV cache and migrated in that order, as far as the
links of the engines and the capacity of the importers allow. The remaining requests are
handed over at once with their delivered tokens, so that they lose little time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from tanagerturn.schema import serving_pb2
from tanagerturn.serving.reclaims.messages import (
    Importer,
    LinkLimits,
    ReclaimAction,
    RequestPlan,
    RunningRequest,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

    from tanagerturn.serving.backends.messages import BackendId
    from tanagerturn.serving.backends.view import BackendView

FINISH_TIME_FACTOR: Final = 1.3
"""Factor on the expected remaining time of a request; a request finishes at its engine
if this time ends before the reclaim."""

MIN_MIGRATED_TOKENS: Final = 64
"""Smallest KV cache that is migrated, in tokens; smaller ones are recomputed faster."""

MISSED_DEADLINE_WEIGHT: Final = 10.0
"""Loss factor of a request that would miss its deadline if its KV cache were lost."""

PRIORITY_WEIGHTS: Final[dict[serving_pb2.Priority.ValueType, float]] = {
    serving_pb2.URGENT: 4.0,
    serving_pb2.NORMAL: 2.0,
    serving_pb2.LOW: 1.0,
}
"""Loss factor of each priority."""

NO_BUSY_LINKS: Final[Mapping[BackendId, int]] = MappingProxyType({})
DURABLE_WEIGHT: Final = 1.5
"""Loss factor of a request with a durable record, which must be completed in any
case."""


@dataclass
class _ImporterCapacity:
    """Remaining capacity of an importer after the migrations planned so far.

    Attributes:
        importer: The importing engine.
        free_tokens: Free KV cache capacity, in tokens.
        free_slots: Number of further requests that the importer can run.
        link_free_at_ms: Time in milliseconds from which the importer's link is free.
    """

    importer: Importer
    free_tokens: float
    free_slots: float
    link_free_at_ms: int


@dataclass
class _LinkSchedule:
    """Times at which the links of sources and importers become free.

    Attributes:
        limits: Limits on the transfer of KV caches.
        now_ms: Current time in milliseconds.
        capacities: Remaining capacity of each importer.
        source_free_at_ms: Time in milliseconds from which the link of each source is
            free; a source that is not contained is free now.
    """

    limits: LinkLimits
    now_ms: int
    capacities: list[_ImporterCapacity]
    source_free_at_ms: dict[BackendId, int] = field(default_factory=dict)


def plan_actions(
    requests: Iterable[RunningRequest],
    importers: Sequence[Importer],
    reclaim_at_ms: int,
    limits: LinkLimits,
    now_ms: int,
    migrations_allowed: bool = True,
    busy_until_ms: Mapping[BackendId, int] = NO_BUSY_LINKS,
) -> list[RequestPlan]:
    """Plan the action for each request before its engine is reclaimed.

    Args:
        requests: Requests on engines under notice.
        importers: Engines that may import KV caches, none of them under notice.
        reclaim_at_ms: Time in milliseconds at which the engines are reclaimed.
        limits: Limits on the transfer of KV caches.
        now_ms: Current time in milliseconds.
        migrations_allowed: Whether requests may be migrated; if not, all requests that
            can't finish in time are handed over.
        busy_until_ms: Time in milliseconds at which the migration in progress of each
            engine ends.

    Returns:
        One plan per request, in descending order of loss.
    """
    latest_end_ms = reclaim_at_ms - limits.margin_ms
    capacities = [
        _ImporterCapacity(
            importer,
            importer.free_tokens,
            importer.free_slots,
            busy_until_ms.get(importer.backend_id, now_ms),
        )
        for importer in importers
        if migrations_allowed
    ]
    schedule = _LinkSchedule(limits, now_ms, capacities, dict(busy_until_ms))
    ranked = sorted(
        ((kv_cache_loss(each, importers, now_ms), each) for each in requests),
        key=lambda pair: (-pair[0], pair[1].request_id),
    )
    plans = [
        _plan_request(each, loss_tokens, schedule, latest_end_ms)
        for loss_tokens, each in ranked
    ]
    migratable = [plan for plan in plans if plan.action is ReclaimAction.MIGRATE]
    migrated = {
        plan.request.request_id: plan
        for plan in _schedule_migrations(migratable, schedule, latest_end_ms)
    }
    return [migrated.get(plan.request.request_id, plan) for plan in plans]


def kv_cache_loss(
    request: RunningRequest, importers: Sequence[Importer], now_ms: int
) -> float:
    """Return the cost of losing the KV cache of a request, in weighted tokens.

    Args:
        request: The request.
        importers: Engines that could recompute the KV cache.
        now_ms: Current time in milliseconds.
    """
    if not request.done_tokens:
        return 0.0
    weight = PRIORITY_WEIGHTS.get(request.priority, 1.0)
    if request.kind != serving_pb2.IDEMPOTENT:
        weight *= DURABLE_WEIGHT
    if request.deadline_ms:
        rate = min((i.prefill_ms_per_token for i in importers), default=0.25)
        recompute_ms = request.kv_tokens * rate + request.left_tokens * request.token_ms
        if now_ms + recompute_ms > request.deadline_ms:
            weight *= MISSED_DEADLINE_WEIGHT
    return weight * request.kv_tokens


def find_importers(
    view: BackendView,
    service: str,
    model: str,
    version: str,
    adapter: str,
    now_ms: int,
    request_tokens: float = 0.0,
) -> list[Importer]:
    """Return the engines that may import KV caches of a model and version.

    Engines that are leaving or under notice, by their id or zone, are omitted. The KV
    cache that an engine reports as used may contain prefixes that it can evict, so its
    free capacity is also estimated from the number of its requests. An engine without
    enough capacity refuses the import.

    Args:
        view: Known backend servers with their reclaim notices.
        service: Service of the requests.
        model: Model of the requests.
        version: Version of the model.
        adapter: Adapter of the requests; empty for none.
        now_ms: Current time in milliseconds.
        request_tokens: Mean KV cache size of a request of the service in tokens; 0
            if unknown.
    """
    importers = []
    for backend in view.candidates(service, model, version, adapter, now_ms=now_ms):
        if backend.role == serving_pb2.PREFILL:
            continue
        load = backend.load()
        free_tokens = backend.kv_free_tokens
        if request_tokens:
            kv_tokens = backend.announcement.kv_tokens
            free_tokens = max(free_tokens, kv_tokens - load * request_tokens)
        importers.append(
            Importer(
                backend.id,
                backend.zone,
                free_tokens,
                backend.slots - load,
                backend.rates.prefill_ms_per_token,
            )
        )
    return importers


def local_share(view: BackendView, sources: Iterable[BackendId]) -> float:
    """Return the share of local requests among all requests on engines under notice.

    Each entry process migrates its own requests. It uses at most this share of the
    links and of the capacity of the importers. 1 if no requests run on the engines.

    Args:
        view: Known backend servers.
        sources: Ids of the engines under notice.
    """
    local, running = 0, 0
    for source in sources:
        backend = view.backends.get(source)
        if backend is not None:
            local += len(backend.in_flight)
            running += max(backend.reported_requests, len(backend.in_flight))
    return local / running if running else 1.0


def _plan_request(
    request: RunningRequest,
    loss_tokens: float,
    schedule: _LinkSchedule,
    latest_end_ms: int,
) -> RequestPlan:
    """Plan a request independently of others; migrations get no schedule yet."""
    remaining_ms = request.left_tokens * request.token_ms * FINISH_TIME_FACTOR
    if request.done_tokens and schedule.now_ms + remaining_ms <= latest_end_ms:
        return RequestPlan(request, ReclaimAction.FINISH, "ends in time", loss_tokens)
    if not request.done_tokens:
        return RequestPlan(
            request, ReclaimAction.HAND_OVER, "no token was generated", loss_tokens
        )
    if request.kv_tokens < MIN_MIGRATED_TOKENS:
        return RequestPlan(
            request, ReclaimAction.HAND_OVER, "its KV cache is small", loss_tokens
        )
    return RequestPlan(request, ReclaimAction.MIGRATE, "", loss_tokens)


def _schedule_migrations(
    ranked: list[RequestPlan], schedule: _LinkSchedule, latest_end_ms: int
) -> Iterator[RequestPlan]:
    """Schedule migrations.

    Whenever the link of an importer becomes free, the request that can start first on
    this link is scheduled; of several, the one with the largest loss.
    """
    remaining: dict[BackendId, list[RequestPlan]] = {}
    for plan in ranked:
        remaining.setdefault(plan.request.backend_id, []).append(plan)
    capacities = list(schedule.capacities)
    while capacities and any(remaining.values()):
        capacity = min(
            capacities, key=lambda each: (each.link_free_at_ms, -each.free_slots)
        )
        candidates = [_first_fitting(plans, capacity) for plans in remaining.values()]
        fitting = [plan for plan in candidates if plan is not None]
        if not fitting:
            capacities.remove(capacity)
            continue
        plan = min(
            fitting,
            key=lambda each: (_start_ms(each.request, capacity, schedule), -each.loss),
        )
        remaining[plan.request.backend_id].remove(plan)
        yield _schedule_migration(plan, capacity, schedule, latest_end_ms)
    reason = (
        "no importer has enough free capacity"
        if schedule.capacities
        else "no importer is available, or migrations are not allowed"
    )
    for plans in remaining.values():
        for plan in plans:
            yield RequestPlan(plan.request, ReclaimAction.HAND_OVER, reason, plan.loss)


def _first_fitting(
    plans: list[RequestPlan], capacity: _ImporterCapacity
) -> RequestPlan | None:
    return next((plan for plan in plans if _fits(plan.request, capacity)), None)


def _schedule_migration(
    plan: RequestPlan,
    capacity: _ImporterCapacity,
    schedule: _LinkSchedule,
    latest_end_ms: int,
) -> RequestPlan:
    request = plan.request
    start_ms = _start_ms(request, capacity, schedule)
    end_ms = start_ms + schedule.limits.migration_ms(request.kv_tokens)
    if end_ms > latest_end_ms:
        reason = "the links are busy until the reclaim"
        return RequestPlan(request, ReclaimAction.HAND_OVER, reason, plan.loss)
    schedule.source_free_at_ms[request.backend_id] = end_ms
    capacity.link_free_at_ms = end_ms
    capacity.free_tokens -= request.kv_tokens + request.left_tokens
    capacity.free_slots -= 1
    return RequestPlan(
        request,
        ReclaimAction.MIGRATE,
        f"loss of {plan.loss:.0f} weighted tokens",
        plan.loss,
        capacity.importer.backend_id,
        start_ms,
        end_ms,
    )


def _fits(request: RunningRequest, capacity: _ImporterCapacity) -> bool:
    if capacity.importer.backend_id in request.excluded:
        return False
    return capacity.free_tokens >= request.kv_tokens + request.left_tokens


def _start_ms(
    request: RunningRequest, capacity: _ImporterCapacity, schedule: _LinkSchedule
) -> int:
    source_ms = schedule.source_free_at_ms.get(request.backend_id, schedule.now_ms)
    return max(schedule.now_ms, source_ms, capacity.link_free_at_ms)
