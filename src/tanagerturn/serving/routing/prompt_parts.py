"""Selection of an engine for a prompt made of named parts; pure functions.

Many gateways choose from the same stale load reports. Local requests therefore count
at once and requests of peer gateways by their digests, and a part that no engine is
known to hold goes to the engine that all gateways select by hashing, so that it is
computed once. A frequently used part spreads to other engines as that engine fills up.
An engine that has just started is not assumed to hold any part.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

PREFILL_TOKENS_PER_MS: Final = 40.0
"""Prompt tokens that an engine computes per millisecond beside running requests; the
platform's data sheets state 38 to 62 for an idle engine."""

IDLE_FIRST_EVENT_MS: Final = 120.0
"""Time to the first event of an idle engine in milliseconds, by the platform's data
sheets."""

PER_RUNNING_REQUEST_MS: Final = 6.0
"""Milliseconds that each running request adds to a first event, since requests share
the steps of the engine."""

PER_QUEUED_REQUEST_MS: Final = 60.0
"""Milliseconds that each request beyond the slots adds: the mean request duration
divided by the slots."""

CROSS_ZONE_MS: Final = 4.0
"""Milliseconds added for another availability zone, because its traffic is charged."""

PREFERRED_ENGINE_MS: Final = 80.0
"""Milliseconds by which the engine that all gateways prefer for a prompt may be later
than another one: once it has computed the shared part, following requests reuse it."""

KV_CACHE_FULL_MS: Final = 2_000.0
"""Milliseconds added when the KV cache of an engine has no free capacity for the
request: it would wait for others to end, or preempt them."""


@dataclass(frozen=True)
class CandidateEngine:
    """State of one candidate engine as known to a gateway."""

    id: str
    """Id of the engine."""
    is_near: bool
    """Whether the engine is in the gateway's availability zone."""
    slots: int
    """Number of requests that the engine runs concurrently."""
    running: int
    """Number of requests of all gateways at the engine."""
    prompt_tokens: int
    """Prompt tokens of those requests that are still to be computed."""
    kv_tokens: int
    """KV cache tokens that those requests are expected to occupy."""
    kv_capacity_tokens: int
    """Capacity of the KV cache, in tokens."""
    cached_tokens: int
    """Leading tokens of the prompt that the engine is known to hold."""
    warmup_left_ms: int = 0
    """Milliseconds that the engine stays slow after its start."""
    pace: float = 1.0
    """Ratio of the measured to the expected time to the first event, 1 or more."""


@dataclass(frozen=True)
class Placement:
    """Chosen engine with its expected times."""

    id: str
    """Id of the chosen engine."""
    first_event_ms: float
    """Expected time to the first event, in milliseconds."""
    cached_tokens: int
    """Leading tokens of the prompt that the engine is known to hold."""
    prefill_ms: float
    """Part of `first_event_ms` in which the engine computes this prompt."""


def place(
    engines: Sequence[CandidateEngine],
    prompt_tokens: int,
    output_tokens: int,
    shared_part: str,
) -> Placement:
    """Choose the engine with the earliest expected first event.

    Args:
        engines: Candidates, at least one.
        prompt_tokens: Number of tokens of the prompt.
        output_tokens: Number of tokens expected to be generated.
        shared_part: Id of the last part that the prompt shares with others; empty
            when it shares none.
    """
    preferred = (
        preferred_engine([engine.id for engine in engines], shared_part)
        if shared_part
        else ""
    )
    best: Placement | None = None
    best_cost = 0.0
    for engine in engines:
        placement = _estimate_placement(engine, prompt_tokens, output_tokens)
        cost = placement.first_event_ms + (0.0 if engine.is_near else CROSS_ZONE_MS)
        if engine.id == preferred:
            cost -= PREFERRED_ENGINE_MS
        if best is None or cost < best_cost:
            best, best_cost = placement, cost
    assert best is not None
    return best


def preferred_engine(engines: Sequence[str], shared_part: str) -> str:
    """Return the id of the engine that all gateways prefer for a shared part."""
    return max(
        engines,
        key=lambda engine: xxhash.xxh64_intdigest(f"{engine}|{shared_part}".encode()),
    )


def _estimate_placement(
    engine: CandidateEngine, prompt_tokens: int, output_tokens: int
) -> Placement:
    cached = engine.cached_tokens
    uncached_tokens = engine.prompt_tokens + max(0, prompt_tokens - cached)
    first_ms = IDLE_FIRST_EVENT_MS + uncached_tokens / PREFILL_TOKENS_PER_MS
    first_ms += PER_RUNNING_REQUEST_MS * engine.running
    queued = engine.running + 1 - engine.slots
    if queued > 0:
        first_ms += PER_QUEUED_REQUEST_MS * queued
    if engine.kv_tokens + prompt_tokens + output_tokens > engine.kv_capacity_tokens:
        first_ms += KV_CACHE_FULL_MS
    first_ms = first_ms * engine.pace + engine.warmup_left_ms
    own_ms = max(0, prompt_tokens - cached) / PREFILL_TOKENS_PER_MS * engine.pace
    return Placement(engine.id, first_ms, cached, own_ms)
