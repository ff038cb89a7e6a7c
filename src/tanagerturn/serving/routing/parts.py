"""Choice of an engine for a prompt made of named parts; pure.

Answers the pattern of many gateways that read the same stale load: own requests
count at once, requests of others by their digests, and a part that no engine is
known to hold goes to one engine on which all gateways agree by hashing, so that
it is read once. A part that becomes hot spills over as that engine fills up, and
an engine that has just started is not taken for one that holds anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

PREFILL_TOKENS_PER_MS: Final = 40.0
"""Prompt tokens that an engine reads in a millisecond beside running requests;
the platform's sheets tell 38 to 62 for an idle one."""

FIRST_EVENT_MS: Final = 120.0
"""Time to the first event of an idle engine, by the platform's sheets."""

RUNNING_MS: Final = 6.0
"""Time that each running request adds to a first event, a step being shared."""

WAITING_MS: Final = 60.0
"""Time that each request beyond the slots adds, mean length over slots."""

OTHER_ZONE_MS: Final = 4.0
"""Time that another availability zone counts; its bytes have a price."""

HOME_MS: Final = 80.0
"""Time by which the engine that all gateways prefer for a prompt may be later: one
that reads its shared part holds it for the requests that follow."""

OUT_OF_ROOM_MS: Final = 2_000.0
"""Time that a request counts for at an engine without room for it: it waits for
others to end, or preempts them."""


@dataclass(frozen=True)
class EngineView:
    """One candidate, as a gateway knows it."""

    id: str
    """Its id."""
    is_near: bool
    """It is in the gateway's availability zone."""
    slots: int
    """Requests that it runs at once."""
    running: int
    """Requests there, of all gateways."""
    prompt_tokens: int
    """Prompt tokens there that are still to be read."""
    kv_tokens: int
    """Tokens that running requests are expected to take."""
    room_tokens: int
    """Tokens of its memory."""
    cached_tokens: int
    """Leading tokens of the prompt that it is known to hold."""
    warmup_left_ms: int = 0
    """Time that it stays slow after its start."""
    pace: float = 1.0
    """Observed over expected time to the first event."""


@dataclass(frozen=True)
class Placement:
    """A choice and what it rests on."""

    id: str
    """Chosen engine."""
    first_event_ms: float
    """Expected time to the first event."""
    cached_tokens: int
    """Tokens of the prompt that it is known to hold."""
    own_ms: float
    """Part of the time in which it reads this prompt."""


def place(
    engines: Sequence[EngineView],
    prompt_tokens: int,
    output_tokens: int,
    subject: str,
) -> Placement:
    """Choose the engine with the earliest expected first event.

    Args:
        engines: Candidates, at least one.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Tokens that are expected to be generated.
        subject: Id of the last shared part; empty when none is shared.
    """
    home = home_of([engine.id for engine in engines], subject) if subject else ""
    best: Placement | None = None
    best_cost = 0.0
    for engine in engines:
        placement = _expect(engine, prompt_tokens, output_tokens)
        cost = placement.first_event_ms + (0.0 if engine.is_near else OTHER_ZONE_MS)
        if engine.id == home:
            cost -= HOME_MS
        if best is None or cost < best_cost:
            best, best_cost = placement, cost
    assert best is not None
    return best


def home_of(engines: Sequence[str], subject: str) -> str:
    """Return the engine that all gateways prefer for a subject."""
    return max(
        engines,
        key=lambda engine: xxhash.xxh64_intdigest(f"{engine}|{subject}".encode()),
    )


def _expect(engine: EngineView, prompt_tokens: int, output_tokens: int) -> Placement:
    cached = engine.cached_tokens
    to_read = engine.prompt_tokens + max(0, prompt_tokens - cached)
    first_ms = FIRST_EVENT_MS + to_read / PREFILL_TOKENS_PER_MS
    first_ms += RUNNING_MS * engine.running
    excess = engine.running + 1 - engine.slots
    if excess > 0:
        first_ms += WAITING_MS * excess
    if engine.kv_tokens + prompt_tokens + output_tokens > engine.room_tokens:
        first_ms += OUT_OF_ROOM_MS
    first_ms = first_ms * engine.pace + engine.warmup_left_ms
    own_ms = max(0, prompt_tokens - cached) / PREFILL_TOKENS_PER_MS * engine.pace
    return Placement(engine.id, first_ms, cached, own_ms)
