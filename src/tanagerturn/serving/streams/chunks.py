"""What an engine sends of a stream, and what a stream is resumed with."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class LossCause(Enum):
    """Why an attempt of a stream ended before its time."""

    RECLAIM = "reclaim"
    ENGINE_LOST = "engine_lost"
    STALL = "stall"
    OUT_OF_ORDER = "out_of_order"
    DRAIN = "drain"
    ENTRY_LOST = "entry_lost"


@dataclass(frozen=True)
class Chunk:
    """Tokens offset to offset + tokens - 1 of one attempt."""

    request_id: str
    """Request that the tokens belong to."""
    attempt: int
    """Attempt that made them."""
    offset: int
    """Number of tokens before the first one."""
    tokens: int
    """How many tokens it brings."""
    text: str
    """Their text."""
    raw: bytes = b""
    """The event that brought them, as it is passed on."""


@dataclass(frozen=True)
class Resume:
    """How the next attempt starts."""

    attempt: int
    """Number of the attempt."""
    resume_from: int
    """Tokens that the caller already has."""
    continuation: str
    """Their text."""
    kv_handle: str = ""
    """Imported KV cache to use; empty when there is none."""


@dataclass(frozen=True)
class Dropped:
    """Counts of chunks that were not delivered."""

    other_request: int = 0
    """Chunks of another request."""
    late: int = 0
    """Chunks of an older attempt."""
    repeated: int = 0
    """Chunks whose tokens were already delivered."""
