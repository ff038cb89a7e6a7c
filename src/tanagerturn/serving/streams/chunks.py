"""Chunks of a token stream and the state with which a stream is resumed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class LossCause(Enum):
    """Why an attempt ended before its stream was complete."""

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
    """Id of the request to which the tokens belong."""
    attempt: int
    """Number of the attempt that generated the tokens, from 1."""
    offset: int
    """Number of tokens in the stream before this chunk."""
    tokens: int
    """Number of tokens in this chunk; 0 for an event without tokens."""
    text: str
    """Text of the tokens in this chunk."""
    raw: bytes = b""
    """Event as it is forwarded to the caller; empty if it is not known."""


@dataclass(frozen=True)
class Resume:
    """State with which the next attempt of a stream starts."""

    attempt: int
    """Number of the next attempt."""
    resume_from: int
    """Number of tokens that were delivered to the caller before."""
    continuation: str
    """Text of the delivered tokens."""
    kv_handle: str = ""
    """Handle of an imported KV cache that the engine may use; empty for none."""


@dataclass(frozen=True)
class Dropped:
    """Number of discarded chunks, by cause."""

    other_request: int = 0
    """Number of chunks that belong to another request."""
    late: int = 0
    """Number of chunks that belong to another attempt."""
    repeated: int = 0
    """Number of chunks whose tokens were delivered before."""
