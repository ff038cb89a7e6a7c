"""Tells when a stream has stalled at its engine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

STALL_TARGETS: Final = 50.0
"""A stream has stalled after so many times its target between tokens."""

LEAST_STALL_S: Final = 2.0


@dataclass(frozen=True)
class StallLimits:
    """How long an engine may be silent."""

    first_token_s: float
    """Before the first token of an attempt."""
    between_tokens_s: float
    """After it."""


def make_stall_limits(first_token_target_ms: int, token_target_ms: int) -> StallLimits:
    """Make the limits from the latency targets of a service."""
    return StallLimits(
        first_token_s=max(LEAST_STALL_S, first_token_target_ms / 1000 * STALL_TARGETS),
        between_tokens_s=max(LEAST_STALL_S, token_target_ms / 1000 * STALL_TARGETS),
    )


def silence_limit_s(limits: StallLimits, has_tokens: bool, time_left_s: float) -> float:
    """Return how long to wait for the next event before the stream is resumed."""
    limit = limits.between_tokens_s if has_tokens else limits.first_token_s
    return max(0.0, min(limit, time_left_s))
