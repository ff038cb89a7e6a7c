"""Estimates of the cost of a request at a candidate backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.serving.cache.blocks import BLOCK_TOKENS
from tanagerturn.serving.routing.messages import Estimate

if TYPE_CHECKING:
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.view import BackendView
    from tanagerturn.serving.routing.messages import RouteRequest

OTHER_ZONE_MS: Final = 2.0
"""Milliseconds that a round trip to another availability zone adds."""

BATCH_SLOWDOWN: Final = 0.5
"""Fraction by which a full batch lengthens the time between tokens."""

GENERATION_WEIGHT: Final = 0.2
"""Weight of the generation time relative to the time to the first token.

The weight is small because the generation times of engines differ mostly by the noise
of their learned rates.
"""


def estimate(
    backend: Backend, view: BackendView, request: RouteRequest, now_ms: int
) -> Estimate:
    """Estimate the wait, prefill and generation times of a request at a candidate.

    Args:
        backend: The candidate.
        view: Known backend servers with their cached prefixes.
        request: The request.
        now_ms: Current time in milliseconds.
    """
    rates = backend.rates
    load = backend.load()
    wait_ms = max(expected_queue_ms(backend, load), rates.observed_wait_ms(now_ms))
    cached_tokens = 0
    if request.prefix_blocks:
        matched_blocks = view.cache.count_matched_blocks(
            backend.id, request.prefix_blocks, now_ms
        )
        cached_tokens = min(matched_blocks * BLOCK_TOKENS, request.prompt_tokens)
    prefill_ms = (request.prompt_tokens - cached_tokens) * rates.prefill_ms_per_token
    utilization = min(1.0, load / backend.slots)
    token_ms = rates.token_ms * (1.0 + BATCH_SLOWDOWN * utilization)
    generate_ms = request.output_tokens * token_ms
    delay_ms = wait_ms + prefill_ms
    if request.zone and backend.zone != request.zone:
        delay_ms += OTHER_ZONE_MS
    # The utilization, at most 1 ms, breaks ties in favor of the less loaded candidate.
    score = delay_ms + GENERATION_WEIGHT * generate_ms + utilization
    late_ms = now_ms + delay_ms + generate_ms - request.deadline_ms
    if request.deadline_ms and late_ms > 0.0:
        score += late_ms
    return Estimate(
        backend.id, wait_ms, prefill_ms, generate_ms, cached_tokens, load, score
    )


def expected_queue_ms(backend: Backend, load: float) -> float:
    """Return the expected wait for a slot in milliseconds.

    Args:
        backend: The backend server.
        load: Number of requests at the backend server.
    """
    queued = load + 1.0 - backend.slots
    if queued <= 0.0:
        return 0.0
    return queued * backend.rates.duration_ms / backend.slots
