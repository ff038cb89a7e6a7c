"""Time limits after which a stream without a new event counts as stalled."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

STALL_FACTOR: Final = 50.0
"""Factor on a latency target that gives the time after which a stream is stalled."""


MIN_STALL_S: Final = 2.0
"""Shortest time in seconds after which a stream counts as stalled."""


@dataclass(frozen=True)
class StallLimits:
    """Longest time without an event before a stream counts as stalled."""

    first_token_s: float
    """Limit in seconds before the first token of an attempt."""
    between_tokens_s: float
    """Limit in seconds between two tokens."""


def make_stall_limits(first_token_target_ms: int, token_target_ms: int) -> StallLimits:
    """Return the stall limits of a service.

    Args:
        first_token_target_ms: Latency target for the first token in milliseconds.
        token_target_ms: Latency target for each later token in milliseconds.
    """
    return StallLimits(
        first_token_s=max(MIN_STALL_S, first_token_target_ms / 1000 * STALL_FACTOR),
        between_tokens_s=max(MIN_STALL_S, token_target_ms / 1000 * STALL_FACTOR),
    )


def silence_limit_s(limits: StallLimits, has_tokens: bool, time_left_s: float) -> float:
    """Return how long to wait for the next event before the stream is resumed.

    Args:
        limits: Stall limits of the service.
        has_tokens: Whether the attempt has delivered a token.
        time_left_s: Seconds until the deadline of the request.

    Returns:
        Seconds to wait, 0 or more.
    """
    limit = limits.between_tokens_s if has_tokens else limits.first_token_s
    return max(0.0, min(limit, time_left_s))
