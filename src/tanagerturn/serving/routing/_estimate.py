"""Estimates of what a request would cost at a candidate."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.schema import serving_pb2
from tanagerturn.serving.cache.blocks import BLOCK_TOKENS
from tanagerturn.serving.routing.messages import Estimate

if TYPE_CHECKING:
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.view import BackendView
    from tanagerturn.serving.routing.messages import RouteRequest

OTHER_ZONE_MS: Final = 2.0
"""Added by a round trip to another availability zone."""

BATCH_SLOWDOWN: Final = 0.5
"""Share by which a full batch lengthens the time between tokens."""

RECLAIMS_PER_HOUR: Final = 0.2
"""Assumed reclaims of a reclaimable host in an hour."""

PRICE_MS: Final = 600_000.0
"""Milliseconds of delay that low work accepts to save one unit of price."""

MS_PER_HOUR: Final = 3_600_000.0


@dataclass(frozen=True)
class Weights:
    """How much each part of an estimate counts, by priority."""

    delay: float
    """Weight of the wait and the prefill."""
    generate: float
    """Weight of the time to generate."""
    price: float
    """Weight of the price, as a share of `PRICE_MS`."""
    risk: float
    """Weight of the expected loss by a reclaim."""


WEIGHTS: Final = {
    serving_pb2.URGENT: Weights(delay=1.0, generate=1.0, price=0.0, risk=1.0),
    serving_pb2.NORMAL: Weights(delay=1.0, generate=0.5, price=0.0, risk=1.0),
    serving_pb2.LOW: Weights(delay=0.5, generate=0.1, price=1.0, risk=1.0),
}


def estimate(
    backend: Backend, view: BackendView, request: RouteRequest, now_ms: int
) -> Estimate:
    """Estimate wait, prefill, generation, price and risk at a candidate."""
    rates = backend.rates
    load = backend.load(now_ms)
    wait_ms = max(queue_ms(backend, load), rates.observed_wait_ms(now_ms))
    cached_tokens = 0
    if request.prefix_blocks:
        matched = view.cache.matched(backend.id, request.prefix_blocks, now_ms)
        cached_tokens = min(matched * BLOCK_TOKENS, request.prompt_tokens)
    prefill_ms = (request.prompt_tokens - cached_tokens) * rates.prefill_ms_per_token
    fill = min(1.0, load / backend.slots)
    generate_ms = request.output_tokens * rates.token_ms * (1.0 + BATCH_SLOWDOWN * fill)
    occupied_ms = prefill_ms + generate_ms
    risk_ms = _risk_ms(backend, occupied_ms)
    price = backend.price_per_hour * occupied_ms / MS_PER_HOUR
    weights = WEIGHTS.get(request.priority, WEIGHTS[serving_pb2.NORMAL])
    delay_ms = wait_ms + prefill_ms
    if request.zone and backend.zone != request.zone:
        delay_ms += OTHER_ZONE_MS
    score = (
        weights.delay * delay_ms
        + weights.generate * generate_ms
        + weights.price * PRICE_MS * price
        + weights.risk * risk_ms
        + fill
    )
    if request.deadline_ms and now_ms + delay_ms + generate_ms > request.deadline_ms:
        score += now_ms + delay_ms + generate_ms - request.deadline_ms
    return Estimate(
        backend.id,
        wait_ms,
        prefill_ms,
        generate_ms,
        cached_tokens,
        price,
        risk_ms,
        load,
        score,
    )


def queue_ms(backend: Backend, load: float) -> float:
    """Return the expected wait for a slot, from the load and mean duration."""
    excess = load + 1.0 - backend.slots
    if excess <= 0.0:
        return 0.0
    return excess * backend.rates.duration_ms / backend.slots


def _risk_ms(backend: Backend, occupied_ms: float) -> float:
    """Return the time expected to be lost: half of it, when it is reclaimed."""
    if not backend.reclaimable:
        return 0.0
    chance = RECLAIMS_PER_HOUR * occupied_ms / MS_PER_HOUR
    return 0.5 * min(1.0, chance) * occupied_ms
