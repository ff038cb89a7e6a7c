"""Fates of the requests on engines under notice, by what their loss costs.

Requests that end in time go on. The others are ranked by loss, and moved in
that order while the links of the engines and the room of the importers last.
What is left is handed over at once with its delivered tokens, so that it loses
as little time as may be.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from tanagerturn.schema import serving_pb2
from tanagerturn.serving.reclaims.messages import (
    Fate,
    Importer,
    LinkLimits,
    RequestPlan,
    RunningRequest,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

    from tanagerturn.serving.backends.messages import BackendId
    from tanagerturn.serving.backends.view import BackendView

FINISH_MARGIN: Final = 1.3
"""Requests finish in place if this much of their time is left."""

MOVE_FROM_TOKENS: Final = 64
"""Smaller KV caches are computed again sooner than moved."""

LATE_WEIGHT: Final = 10.0
"""A request that would miss its deadline if computed again."""

PRIORITY_WEIGHTS: Final[dict[serving_pb2.Priority.ValueType, float]] = {
    serving_pb2.URGENT: 4.0,
    serving_pb2.NORMAL: 2.0,
    serving_pb2.LOW: 1.0,
}
NOTHING_BUSY: Final[Mapping[BackendId, int]] = MappingProxyType({})
KEPT_WEIGHT: Final = 1.5
"""Requests with a durable record must be answered, whatever it costs."""


@dataclass
class _Room:
    """An importer with what the plan has given it so far."""

    importer: Importer
    free_tokens: float
    free_slots: float
    free_at_ms: int


@dataclass
class _Links:
    """When each link is free."""

    limits: LinkLimits
    now_ms: int
    rooms: list[_Room]
    sources: dict[BackendId, int] = field(default_factory=dict)


def plan_fates(
    requests: Iterable[RunningRequest],
    importers: Sequence[Importer],
    at_ms: int,
    limits: LinkLimits,
    now_ms: int,
    moves_allowed: bool = True,
    busy_until_ms: Mapping[BackendId, int] = NOTHING_BUSY,
) -> list[RequestPlan]:
    """Decide what becomes of each request before its engine is gone.

    Args:
        requests: Requests on engines under notice.
        importers: Engines that may take KV caches, none under notice.
        at_ms: When the engines are gone.
        limits: How fast KV caches can be moved.
        now_ms: Present time.
        moves_allowed: False hands over all that can't finish.
        busy_until_ms: Engines whose link a move under way uses, till then.

    Returns:
        One plan for each request, the costliest losses first.
    """
    last_ms = at_ms - limits.margin_ms
    rooms = [
        _Room(
            importer,
            importer.free_tokens,
            importer.free_slots,
            busy_until_ms.get(importer.backend_id, now_ms),
        )
        for importer in importers
        if moves_allowed
    ]
    links = _Links(limits, now_ms, rooms, dict(busy_until_ms))
    ranked = sorted(
        ((loss(each, importers, now_ms), each) for each in requests),
        key=lambda pair: (-pair[0], pair[1].request_id),
    )
    plans = [_stay(each, cost, links, last_ms) for cost, each in ranked]
    movable = [plan for plan in plans if plan.fate is Fate.MOVE]
    moved = {plan.request.request_id: plan for plan in _move(movable, links, last_ms)}
    return [moved.get(plan.request.request_id, plan) for plan in plans]


def loss(request: RunningRequest, importers: Sequence[Importer], now_ms: int) -> float:
    """Return what the loss of a request would cost, in weighed tokens."""
    if not request.done_tokens:
        return 0.0
    weight = PRIORITY_WEIGHTS.get(request.priority, 1.0)
    if request.kind != serving_pb2.IDEMPOTENT:
        weight *= KEPT_WEIGHT
    if request.deadline_ms:
        rate = min((i.prefill_ms_per_token for i in importers), default=0.25)
        again_ms = request.kv_tokens * rate + request.left_tokens * request.token_ms
        if now_ms + again_ms > request.deadline_ms:
            weight *= LATE_WEIGHT
    return weight * request.kv_tokens


def importers_for(
    view: BackendView,
    service: str,
    model: str,
    version: str,
    adapter: str,
    now_ms: int,
    request_tokens: float = 0.0,
) -> list[Importer]:
    """Return the engines that may take KV caches of a model and version.

    Engines that leave or are under notice, by their id or their zone, are not
    among them. What an engine reports as used may be cached prefixes that it can
    drop, so its room is also estimated from the requests that it has; one that
    has no room after all refuses the import.

    Args:
        view: What is known of backend servers.
        service: Service of the requests.
        model: Model that they need.
        version: Version of the model.
        adapter: Adapter, or empty.
        now_ms: Present time.
        request_tokens: Mean KV cache of a request of the service, 0 if unknown.
    """
    importers = []
    for backend in view.candidates(service, model, version, adapter, now_ms=now_ms):
        if backend.role == serving_pb2.PREFILL:
            continue
        load = backend.load()
        free_tokens = backend.kv_free
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


def own_fraction(view: BackendView, sources: Iterable[BackendId]) -> float:
    """Return the own part of the requests on engines under notice.

    Each entry process moves its own requests, and uses no more than this part
    of the links and of the importers' room.
    """
    own, running = 0, 0
    for source in sources:
        backend = view.backends.get(source)
        if backend is not None:
            own += len(backend.in_flight)
            running += max(backend.reported, len(backend.in_flight))
    return own / running if running else 1.0


def _stay(
    request: RunningRequest, cost: float, links: _Links, last_ms: int
) -> RequestPlan:
    """Plan a request by itself; a move is only meant, not yet placed."""
    left_ms = request.left_tokens * request.token_ms * FINISH_MARGIN
    if request.done_tokens and links.now_ms + left_ms <= last_ms:
        return RequestPlan(request, Fate.FINISH, "ends in time", cost)
    if not request.done_tokens:
        return RequestPlan(request, Fate.HAND_OVER, "nothing is lost yet", cost)
    if request.kv_tokens < MOVE_FROM_TOKENS:
        return RequestPlan(request, Fate.HAND_OVER, "little to compute again", cost)
    return RequestPlan(request, Fate.MOVE, "", cost)


def _move(
    ranked: list[RequestPlan], links: _Links, last_ms: int
) -> Iterator[RequestPlan]:
    """Place moves: whenever a link is free, the costliest loss that can start."""
    left: dict[BackendId, list[RequestPlan]] = {}
    for plan in ranked:
        left.setdefault(plan.request.backend_id, []).append(plan)
    rooms = list(links.rooms)
    while rooms and any(left.values()):
        room = min(rooms, key=lambda each: (each.free_at_ms, -each.free_slots))
        firsts = [_first_fitting(plans, room) for plans in left.values()]
        fitting = [plan for plan in firsts if plan is not None]
        if not fitting:
            rooms.remove(room)
            continue
        plan = min(
            fitting,
            key=lambda each: (_start_ms(each.request, room, links), -each.loss),
        )
        left[plan.request.backend_id].remove(plan)
        yield _place(plan, room, links, last_ms)
    reason = "no importer has room" if links.rooms else "no importer, or not allowed"
    for plans in left.values():
        for plan in plans:
            yield RequestPlan(plan.request, Fate.HAND_OVER, reason, plan.loss)


def _first_fitting(plans: list[RequestPlan], room: _Room) -> RequestPlan | None:
    return next((plan for plan in plans if _fits(plan.request, room)), None)


def _place(plan: RequestPlan, room: _Room, links: _Links, last_ms: int) -> RequestPlan:
    request = plan.request
    start_ms = _start_ms(request, room, links)
    end_ms = start_ms + links.limits.move_ms(request.kv_tokens)
    if end_ms > last_ms:
        reason = "links are full till then"
        return RequestPlan(request, Fate.HAND_OVER, reason, plan.loss)
    links.sources[request.backend_id] = end_ms
    room.free_at_ms = end_ms
    room.free_tokens -= request.kv_tokens + request.left_tokens
    room.free_slots -= 1
    return RequestPlan(
        request,
        Fate.MOVE,
        f"loss of {plan.loss:.0f} weighed tokens",
        plan.loss,
        room.importer.backend_id,
        start_ms,
        end_ms,
    )


def _fits(request: RunningRequest, room: _Room) -> bool:
    if room.importer.backend_id in request.excluded:
        return False
    return room.free_tokens >= request.kv_tokens + request.left_tokens


def _start_ms(request: RunningRequest, room: _Room, links: _Links) -> int:
    source_ms = links.sources.get(request.backend_id, links.now_ms)
    return max(links.now_ms, source_ms, room.free_at_ms)
