"""Selection of an engine for a prompt that consists of named parts; without I/O.

Many gateways choose engines from the same load reports, which may be outdated. Local
requests therefore count as soon as they are sent, and requests of peer gateways by
their digests. A part that no engine is known to hold goes to the engine that all
gateways select by hashing, so that it is computed once. As this engine fills up, a
frequently used part is also computed by other engines. An engine that has just started
is not assumed to hold any part.
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
"""Milliseconds to the first event of an idle engine, by the platform's data sheets."""

PER_RUNNING_REQUEST_MS: Final = 6.0
"""Milliseconds by which each running request delays a first event, since requests share
the steps of the engine."""

PER_QUEUED_REQUEST_MS: Final = 60.0
"""Milliseconds by which each request beyond the slots delays a first event: the mean
request duration divided by the slots."""

CROSS_ZONE_MS: Final = 4.0
"""Milliseconds added for another availability zone, as traffic to it is charged."""

PREFERRED_ENGINE_MS: Final = 80.0
"""Milliseconds by which the first event may be later at the engine that all gateways
prefer for a prompt: once it has computed the shared part, later requests reuse it."""

KV_CACHE_FULL_MS: Final = 2_000.0
"""Milliseconds added when the KV cache of an engine has no free capacity for the
request, which would wait for running requests to end or preempt them."""


@dataclass(frozen=True)
class CandidateEngine:
    """State of one candidate engine as known to a gateway."""

    id: str
    """Id of the engine."""
    is_near: bool
    """Whether the engine is in the availability zone of the gateway."""
    slots: int
    """Number of requests that the engine runs concurrently."""
    running: int
    """Number of requests at the engine, from all gateways."""
    prompt_tokens: int
    """Number of uncomputed prompt tokens of the requests at the engine."""
    kv_tokens: int
    """Number of KV cache tokens that the requests at the engine are expected to use."""
    kv_capacity_tokens: int
    """Capacity of the KV cache, in tokens."""
    cached_tokens: int
    """Number of leading tokens of the prompt that the engine is known to hold."""
    warmup_left_ms: int = 0
    """Milliseconds until the engine has warmed up after its start; 0 if it has."""
    pace: float = 1.0
    """Factor on the expected time to the first event, 1 or more; see `Pace`."""


@dataclass(frozen=True)
class Placement:
    """Chosen engine with the expected times of the request."""

    id: str
    """Id of the chosen engine."""
    first_event_ms: float
    """Expected time to the first event, in milliseconds."""
    cached_tokens: int
    """Number of leading tokens of the prompt that the engine is known to hold."""
    prefill_ms: float
    """Part of `first_event_ms` in which the engine computes this prompt."""


def place_prompt(
    engines: Sequence[CandidateEngine],
    prompt_tokens: int,
    output_tokens: int,
    shared_part: str,
) -> Placement:
    """Choose the engine with the earliest expected first event.

    Another availability zone counts as a delay, and the engine that all gateways prefer
    for the shared part has an advantage.

    Args:
        engines: Candidates, at least one.
        prompt_tokens: Number of tokens in the prompt.
        output_tokens: Expected number of generated tokens.
        shared_part: Id of the last part that the prompt shares with other prompts;
            empty if it shares none.
    """
    preferred_id = (
        preferred_engine([engine.id for engine in engines], shared_part)
        if shared_part
        else ""
    )
    best: Placement | None = None
    best_cost = 0.0
    for engine in engines:
        placement = _estimate_placement(engine, prompt_tokens, output_tokens)
        cost = placement.first_event_ms + (0.0 if engine.is_near else CROSS_ZONE_MS)
        if engine.id == preferred_id:
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
    cached_tokens = engine.cached_tokens
    uncached_tokens = engine.prompt_tokens + max(0, prompt_tokens - cached_tokens)
    first_event_ms = IDLE_FIRST_EVENT_MS + uncached_tokens / PREFILL_TOKENS_PER_MS
    first_event_ms += PER_RUNNING_REQUEST_MS * engine.running
    queued_count = engine.running + 1 - engine.slots
    if queued_count > 0:
        first_event_ms += PER_QUEUED_REQUEST_MS * queued_count
    if engine.kv_tokens + prompt_tokens + output_tokens > engine.kv_capacity_tokens:
        first_event_ms += KV_CACHE_FULL_MS
    first_event_ms = first_event_ms * engine.pace + engine.warmup_left_ms
    prefill_ms = (
        max(0, prompt_tokens - cached_tokens) / PREFILL_TOKENS_PER_MS * engine.pace
    )
    return Placement(engine.id, first_event_ms, cached_tokens, prefill_ms)
