"""Choice of the backend server for one request.

Of all that offer the service and model, a few are drawn at random, together
with those that hold the prompt's prefix, and the one with the lowest estimate
is chosen. Drawing keeps many entry processes from rushing to the one backend
server that looked idle, and keeps the cost of a decision independent of the
number of backend servers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from tanagerturn.schema import serving_pb2, settings_pb2
from tanagerturn.serving.backends.view import PoolKey
from tanagerturn.serving.routing._estimate import estimate
from tanagerturn.serving.routing.messages import Estimate, NoBackend, RouteDecision

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.view import BackendView
    from tanagerturn.serving.routing.messages import RouteRequest

    Chooser = Callable[
        [BackendView, RouteRequest, list[Backend], int, Random], RouteDecision
    ]

DRAWN: Final = 4
"""Candidates drawn at random."""

PREFIX_HOLDERS: Final = 3
"""Candidates added because they hold the longest prefix."""

ALL_UP_TO: Final = 5
"""Pools up to this size are weighed whole."""


def choose(
    view: BackendView,
    request: RouteRequest,
    now_ms: int,
    random: Random,
    policy: settings_pb2.RoutingPolicy.ValueType = settings_pb2.PREFIX_AND_LOAD,
) -> Result[RouteDecision, NoBackend]:
    """Choose the backend server for a request.

    The caller counts the request with `BackendView.on_started` at once, so that
    the next choice sees it.

    Args:
        view: What is known of backend servers.
        request: The request.
        now_ms: Present time.
        random: Source of the draws.
        policy: Routing policy of the deployment.

    Returns:
        The choice and why, or why there is none.
    """
    pool = view.pool(*_key(request))
    chooser = CHOOSERS.get(policy, _by_prefix_and_load)
    exhaustive = chooser is not _by_prefix_and_load
    able = _able(view, request, pool, now_ms, random, exhaustive)
    if not able:
        return Error(_none_able(view, request, pool, now_ms))
    return Ok(chooser(view, request, able, now_ms, random))


def _key(request: RouteRequest) -> PoolKey:
    return PoolKey(request.service, request.model, request.version, request.adapter)


def _able(
    view: BackendView,
    request: RouteRequest,
    pool: list[Backend],
    now_ms: int,
    random: Random,
    exhaustive: bool,
) -> list[Backend]:
    """Return candidates that may get the request; drawn ones from a large pool."""
    if not exhaustive and len(pool) > ALL_UP_TO:
        drawn = _drawn(view, request, pool, now_ms, random)
        if drawn:
            return drawn
    able = [b for b in pool if _may_take(view, request, b, now_ms)]
    healthy = [b for b in able if _is_healthy(view, b, now_ms, random)]
    return healthy or able


def _drawn(
    view: BackendView,
    request: RouteRequest,
    pool: list[Backend],
    now_ms: int,
    random: Random,
) -> list[Backend]:
    drawn = random.sample(pool, DRAWN)
    if request.prefix_blocks:
        holders = view.cache.engines_with(request.prefix_blocks, PREFIX_HOLDERS)
        for holder in holders:
            backend = view.backends.get(holder)
            if backend is None or backend in drawn:
                continue
            if view.offers(backend, _key(request)):
                drawn.append(backend)
    return [
        backend
        for backend in drawn
        if _is_healthy(view, backend, now_ms, random)
        and _may_take(view, request, backend, now_ms)
    ]


def _is_healthy(
    view: BackendView, backend: Backend, now_ms: int, random: Random
) -> bool:
    """Tell whether it may be drawn; after an ejection it is drawn more and more."""
    weight = view.weight(backend, now_ms)
    return weight >= 1.0 or random.random() < weight


def _may_take(
    view: BackendView, request: RouteRequest, backend: Backend, now_ms: int
) -> bool:
    if backend.id in request.excluded or not view.takes_work(backend, now_ms):
        return False
    return backend.role in (serving_pb2.BOTH, request.phase)


def _none_able(
    view: BackendView, request: RouteRequest, pool: list[Backend], now_ms: int
) -> NoBackend:
    leaving = sum(1 for backend in pool if view.is_leaving(backend))
    silent = sum(1 for backend in pool if not backend.alive(now_ms))
    reason = (
        f"{len(pool)} offer it: {leaving} leaving, {silent} silent, "
        f"{len(request.excluded)} excluded"
    )
    return NoBackend(request.service, reason, len(pool), leaving)


def _by_prefix_and_load(
    view: BackendView,
    request: RouteRequest,
    able: list[Backend],
    now_ms: int,
    random: Random,
) -> RouteDecision:
    estimates = [estimate(backend, view, request, now_ms) for backend in able]
    best = min(estimates, key=lambda each: (each.score, random.random()))
    chosen = view.backends[best.backend_id]
    return RouteDecision(
        chosen.id, chosen.address, _why(best, estimates), best, len(able), estimates
    )


def _why(best: Estimate, estimates: Sequence[Estimate]) -> str:
    if len(estimates) == 1:
        return "only candidate"
    if best.cached_tokens > 0 and best.cached_tokens == max(
        each.cached_tokens for each in estimates
    ):
        return f"{best.cached_tokens} tokens cached outweigh the wait"
    if any(each.cached_tokens > best.cached_tokens for each in estimates):
        return "wait at the holder of the prefix outweighs its tokens"
    return f"lowest estimate of {len(estimates)}"


def _by_least_load(
    view: BackendView,
    request: RouteRequest,
    able: list[Backend],
    now_ms: int,
    random: Random,
) -> RouteDecision:
    best = min(able, key=lambda b: (b.load() / b.slots, random.random()))
    load = best.load()
    return RouteDecision(
        best.id,
        best.address,
        f"least load of {len(able)}",
        Estimate(best.id, load=load),
        len(able),
    )


def _by_round_robin(
    view: BackendView,
    request: RouteRequest,
    able: list[Backend],
    now_ms: int,
    random: Random,
) -> RouteDecision:
    """Take the one that was chosen longest ago; the view keeps the order."""
    best = min(able, key=lambda backend: (backend.chosen, backend.id))
    best.chosen = 1 + max(backend.chosen for backend in able)
    return RouteDecision(
        best.id, best.address, f"next of {len(able)}", Estimate(best.id), len(able)
    )


CHOOSERS: Final[dict[settings_pb2.RoutingPolicy.ValueType, Chooser]] = {
    settings_pb2.PREFIX_AND_LOAD: _by_prefix_and_load,
    settings_pb2.LEAST_LOAD: _by_least_load,
    settings_pb2.ROUND_ROBIN: _by_round_robin,
}
"""How each routing policy chooses."""
