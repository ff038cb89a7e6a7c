"""Expected completion of requests at backend servers of different speed; without I/O.

Rows are plain tuples, since a choice among more than a hundred engines must not cost
the gateway more than a fraction of a millisecond.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from tanagerturn.serving.routing.prompt_parts import (
    CROSS_ZONE_MS,
    IDLE_FIRST_EVENT_MS,
    KV_CACHE_FULL_MS,
    PER_QUEUED_REQUEST_MS,
    PER_RUNNING_REQUEST_MS,
    PREFERRED_ENGINE_MS,
    PREFILL_TOKENS_PER_MS,
)
from tanagerturn.serving.routing.spread import spread_choice

if TYPE_CHECKING:
    from collections.abc import Sequence

EngineRow = tuple[int, int, int, int, int, float, float, int, bool, bool]
"""Running requests and unread prompt tokens of all gateways, tokens in use in
the KV cache and its capacity, cached tokens of the prompt, pace, speed factor, slots,
whether the engine is in another zone, and whether gateways prefer it for the prompt."""

OUTPUT_SHARE: Final = 0.1
"""Share of the time of the output that counts in the choice among engines of different
speed. Callers have objectives for the first event, and the number of output tokens is
only estimated."""

SHARED_PART_HERD: Final = 0.25
"""Share of the unknown requests of other gateways that is expected to choose the same
engines as a prompt with a shared part: other prompts prefer other engines."""


class PromptNeed(NamedTuple):
    """What the choice of an engine needs to know of a prompt."""

    prompt_tokens: int
    """Number of tokens in the prompt."""
    output_tokens: int
    """Expected number of generated tokens."""
    has_shared_part: bool
    """Whether the prompt shares a part with other prompts."""
    event_ms: float
    """Milliseconds between two generated tokens at the speed 1; 0 if unknown."""


class Completion(NamedTuple):
    """Chosen engine with the expected times of the request."""

    row: int
    """Index of the chosen row."""
    first_event_ms: float
    """Expected time to the first event in milliseconds."""
    prefill_ms: float
    """Part of `first_event_ms` in which the engine computes this prompt."""


def choose_engine(
    rows: Sequence[EngineRow],
    warmups_ms: Sequence[int],
    need: PromptNeed,
    unknown_count: float,
    draw: float,
) -> Completion:
    """Choose an engine by the expected completion of a prompt.

    Args:
        rows: Candidates, at least one.
        warmups_ms: Milliseconds until each candidate has warmed up.
        need: Size of the prompt and its output.
        unknown_count: Number of requests that other gateways send before their effect
            is known.
        draw: Random number, uniformly distributed from 0 up to but excluding 1.
    """
    prompt_tokens = need.prompt_tokens
    needed_tokens = prompt_tokens + need.output_tokens
    output_ms = OUTPUT_SHARE * need.output_tokens * need.event_ms
    estimates: list[tuple[float, float]] = []
    costs: list[float] = []
    added: list[float] = []
    for row, warmup_ms in zip(rows, warmups_ms, strict=True):
        running, unread, kv, capacity, cached, pace, speed, slots, is_far, is_liked = (
            row
        )
        factor = pace * speed
        own_tokens = prompt_tokens - cached if cached < prompt_tokens else 0
        prefill_ms = own_tokens / PREFILL_TOKENS_PER_MS * factor
        wait_ms = (
            IDLE_FIRST_EVENT_MS
            + unread / PREFILL_TOKENS_PER_MS
            + PER_RUNNING_REQUEST_MS * running
        )
        if running + 1 > slots:
            wait_ms += PER_QUEUED_REQUEST_MS * (running + 1 - slots)
        if kv + needed_tokens > capacity:
            wait_ms += KV_CACHE_FULL_MS
        first_event_ms = wait_ms * factor + prefill_ms + warmup_ms
        cost = first_event_ms + output_ms * speed
        if is_far:
            cost += CROSS_ZONE_MS
        if is_liked:
            # Reading the shared part at a slow engine delays all that reuse it.
            cost -= PREFERRED_ENGINE_MS / max(1.0, speed)
        estimates.append((first_event_ms, prefill_ms))
        costs.append(cost)
        added.append(PER_RUNNING_REQUEST_MS * factor + prefill_ms)
    if need.has_shared_part:
        unknown_count *= SHARED_PART_HERD
    index = spread_choice(costs, added, unknown_count, draw)
    return Completion(index, *estimates[index])
