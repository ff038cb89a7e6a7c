"""Time limits after which a stream has stalled at its engine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

STALL_FACTOR: Final = 50.0
"""Factor applied to a latency target to get the time after which a stream stalled."""


MIN_STALL_S: Final = 2.0
"""Shortest time after which a stream counts as stalled, in seconds."""


@dataclass(frozen=True)
class StallLimits:
    """Longest silence of an engine before its stream counts as stalled."""

    first_token_s: float
    """Seconds before the first token of an attempt."""
    between_tokens_s: float
    """Seconds between later tokens."""


def make_stall_limits(first_token_target_ms: int, token_target_ms: int) -> StallLimits:
    """Return the limits for the latency targets of a service, in milliseconds."""
    return StallLimits(
        first_token_s=max(MIN_STALL_S, first_token_target_ms / 1000 * STALL_FACTOR),
        between_tokens_s=max(MIN_STALL_S, token_target_ms / 1000 * STALL_FACTOR),
    )


def silence_limit_s(limits: StallLimits, has_tokens: bool, time_left_s: float) -> float:
    """Return how long to wait for the next event before the stream is resumed.

    Args:
        limits: Limits of the service.
        has_tokens: Whether the attempt has delivered a token.
        time_left_s: Time until the deadline of the request, in seconds.

    Returns:
        Time to wait in seconds, 0 or more.
    """
    limit = limits.between_tokens_s if has_tokens else limits.first_token_s
    return max(0.0, min(limit, time_left_s))
