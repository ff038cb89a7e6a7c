"""Selection of the backend server for one request.

The candidates are a random sample of the backend servers that offer the service and
model, and the backend servers that hold the longest prefix of the prompt. The candidate
with the lowest estimate is chosen. Sampling prevents many entry processes from sending
to the same backend server because it was last reported idle, and makes the cost of a
decision independent of the number of backend servers.
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

SAMPLE_SIZE: Final = 4
"""Number of candidates sampled at random."""

MAX_PREFIX_HOLDERS: Final = 3
"""Maximum number of candidates that are added because they hold the longest prefix."""

MAX_EXHAUSTIVE_POOL: Final = 5
"""Largest number of backend servers in a pool that are all compared, not sampled."""


def choose(
    view: BackendView,
    request: RouteRequest,
    now_ms: int,
    random: Random,
    policy: settings_pb2.RoutingPolicy.ValueType = settings_pb2.PREFIX_AND_LOAD,
) -> Result[RouteDecision, NoBackend]:
    """Choose the backend server for a request.

    The caller must call `BackendView.on_started` immediately afterwards, so that the
    next choice counts this request.

    Args:
        view: Known backend servers.
        request: The request.
        now_ms: Current time in milliseconds.
        random: Source of randomness for samples and ties.
        policy: Routing policy of the deployment.

    Returns:
        The decision with its reason, or why no backend server can be chosen.
    """
    pool = view.pool(*_pool_key(request))
    chooser = CHOOSERS.get(policy, _by_prefix_and_load)
    exhaustive = chooser is not _by_prefix_and_load
    eligible = _eligible(view, request, pool, now_ms, random, exhaustive)
    if not eligible:
        return Error(_no_eligible_error(view, request, pool, now_ms))
    return Ok(chooser(view, request, eligible, now_ms, random))


def _pool_key(request: RouteRequest) -> PoolKey:
    return PoolKey(request.service, request.model, request.version, request.adapter)


def _eligible(
    view: BackendView,
    request: RouteRequest,
    pool: list[Backend],
    now_ms: int,
    random: Random,
    exhaustive: bool,
) -> list[Backend]:
    """Return the candidates for the request: from a large pool, a sample of them.

    Ejected backend servers are included only if all eligible ones are ejected.

    Args:
        view: Known backend servers.
        request: The request.
        pool: Backend servers that offer the service and model.
        now_ms: Current time in milliseconds.
        random: Source of randomness.
        exhaustive: Whether a large pool is not sampled.
    """
    if not exhaustive and len(pool) > MAX_EXHAUSTIVE_POOL:
        sampled = _sample_eligible(view, request, pool, now_ms, random)
        if sampled:
            return sampled
    eligible = [b for b in pool if _is_eligible(view, request, b, now_ms)]
    healthy = [b for b in eligible if _is_healthy(view, b, now_ms, random)]
    return healthy or eligible


def _sample_eligible(
    view: BackendView,
    request: RouteRequest,
    pool: list[Backend],
    now_ms: int,
    random: Random,
) -> list[Backend]:
    sampled = random.sample(pool, SAMPLE_SIZE)
    if request.prefix_blocks:
        holders = view.cache.find_prefix_holders(
            request.prefix_blocks, MAX_PREFIX_HOLDERS
        )
        for holder in holders:
            backend = view.backends.get(holder)
            if backend is None or backend in sampled:
                continue
            if view.offers(backend, _pool_key(request)):
                sampled.append(backend)
    return [
        backend
        for backend in sampled
        if _is_healthy(view, backend, now_ms, random)
        and _is_eligible(view, request, backend, now_ms)
    ]


def _is_healthy(
    view: BackendView, backend: Backend, now_ms: int, random: Random
) -> bool:
    """Return whether a backend server may be chosen as far as its failures allow.

    After an ejection, it may be chosen with a probability that grows with its weight.
    """
    weight = view.weight(backend, now_ms)
    return weight >= 1.0 or random.random() < weight


def _is_eligible(
    view: BackendView, request: RouteRequest, backend: Backend, now_ms: int
) -> bool:
    if backend.id in request.excluded or not view.is_eligible(backend, now_ms):
        return False
    return backend.role in (serving_pb2.BOTH, request.phase)


def _no_eligible_error(
    view: BackendView, request: RouteRequest, pool: list[Backend], now_ms: int
) -> NoBackend:
    leaving_count = sum(1 for backend in pool if view.is_leaving(backend))
    silent_count = sum(1 for backend in pool if not backend.is_alive(now_ms))
    reason = (
        f"{len(pool)} offer it: {leaving_count} leaving, {silent_count} silent, "
        f"{len(request.excluded)} excluded"
    )
    return NoBackend(request.service, reason, len(pool), leaving_count)


def _by_prefix_and_load(
    view: BackendView,
    request: RouteRequest,
    eligible: list[Backend],
    now_ms: int,
    random: Random,
) -> RouteDecision:
    estimates = [estimate(backend, view, request, now_ms) for backend in eligible]
    best = min(estimates, key=lambda each: (each.score, random.random()))
    chosen = view.backends[best.backend_id]
    return RouteDecision(
        chosen.id,
        chosen.address,
        _reason(best, estimates),
        best,
        len(eligible),
        estimates,
    )


def _reason(best: Estimate, estimates: Sequence[Estimate]) -> str:
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
    eligible: list[Backend],
    now_ms: int,
    random: Random,
) -> RouteDecision:
    best = min(eligible, key=lambda b: (b.load() / b.slots, random.random()))
    load = best.load()
    return RouteDecision(
        best.id,
        best.address,
        f"least load of {len(eligible)}",
        Estimate(best.id, load=load),
        len(eligible),
    )


def _by_round_robin(
    view: BackendView,
    request: RouteRequest,
    eligible: list[Backend],
    now_ms: int,
    random: Random,
) -> RouteDecision:
    """Choose the least recently chosen backend server and record its new turn."""
    best = min(eligible, key=lambda backend: (backend.round_robin_turn, backend.id))
    best.round_robin_turn = 1 + max(backend.round_robin_turn for backend in eligible)
    return RouteDecision(
        best.id,
        best.address,
        f"next of {len(eligible)}",
        Estimate(best.id),
        len(eligible),
    )


CHOOSERS: Final[dict[settings_pb2.RoutingPolicy.ValueType, Chooser]] = {
    settings_pb2.PREFIX_AND_LOAD: _by_prefix_and_load,
    settings_pb2.LEAST_LOAD: _by_least_load,
    settings_pb2.ROUND_ROBIN: _by_round_robin,
}
"""Selection function of each routing policy."""
