"""Chunks of a token stream and the state with which a stream is resumed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class LossCause(Enum):
    """Cause for which an attempt of a stream ended before it was complete."""

    RECLAIM = "reclaim"
    ENGINE_LOST = "engine_lost"
    STALL = "stall"
    OUT_OF_ORDER = "out_of_order"
    DRAIN = "drain"
    ENTRY_LOST = "entry_lost"


@dataclass(frozen=True)
class Chunk:
    """The tokens from `offset` to `offset + tokens - 1` of one attempt."""

    request_id: str
    """Request that the tokens belong to."""
    attempt: int
    """Attempt that generated the tokens."""
    offset: int
    """Number of tokens of the stream before this chunk."""
    tokens: int
    """Number of tokens in this chunk; 0 for an event without tokens."""
    text: str
    """Text of the tokens."""
    raw: bytes = b""
    """The event as it is forwarded to the caller; empty when it is not known."""


@dataclass(frozen=True)
class Resume:
    """State with which the next attempt starts."""

    attempt: int
    """Number of the attempt."""
    resume_from: int
    """Number of tokens that were already delivered to the caller."""
    continuation: str
    """Text of the delivered tokens."""
    kv_handle: str = ""
    """Handle of an imported KV cache to use; empty when there is none."""


@dataclass(frozen=True)
class Dropped:
    """Numbers of chunks that were discarded, by cause."""

    other_request: int = 0
    """Chunks of another request."""
    late: int = 0
    """Chunks of another attempt."""
    repeated: int = 0
    """Chunks whose tokens were already delivered."""
