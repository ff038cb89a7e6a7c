"""Estimates of what a request would cost at a candidate."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

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

GENERATE_WEIGHT: Final = 0.2
"""Weight of the time to generate against the time to the first token.

Its differences between engines are mostly noise of the learned rates.
"""


def estimate(
    backend: Backend, view: BackendView, request: RouteRequest, now_ms: int
) -> Estimate:
    """Estimate wait, prefill and generation at a candidate."""
    rates = backend.rates
    load = backend.load()
    wait_ms = max(queue_ms(backend, load), rates.observed_wait_ms(now_ms))
    cached_tokens = 0
    if request.prefix_blocks:
        matched = view.cache.matched(backend.id, request.prefix_blocks, now_ms)
        cached_tokens = min(matched * BLOCK_TOKENS, request.prompt_tokens)
    prefill_ms = (request.prompt_tokens - cached_tokens) * rates.prefill_ms_per_token
    fill = min(1.0, load / backend.slots)
    token_ms = rates.token_ms * (1.0 + BATCH_SLOWDOWN * fill)
    generate_ms = request.output_tokens * token_ms
    delay_ms = wait_ms + prefill_ms
    if request.zone and backend.zone != request.zone:
        delay_ms += OTHER_ZONE_MS
    # Where all else is equal, the emptier one is taken.
    score = delay_ms + GENERATE_WEIGHT * generate_ms + fill
    late_ms = now_ms + delay_ms + generate_ms - request.deadline_ms
    if request.deadline_ms and late_ms > 0.0:
        score += late_ms
    return Estimate(
        backend.id, wait_ms, prefill_ms, generate_ms, cached_tokens, load, score
    )


def queue_ms(backend: Backend, load: float) -> float:
    """Return the expected wait for a slot, from the load and mean duration."""
    excess = load + 1.0 - backend.slots
    if excess <= 0.0:
        return 0.0
    return excess * backend.rates.duration_ms / backend.slots
