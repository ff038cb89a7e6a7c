"""Inputs and outputs of the engine model."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from tanagerturn.schema.serving_pb2 import Priority


class FinishReason(Enum):
    """Why a generation ended."""

    LENGTH = "length"
    """All tokens were generated."""
    CANCELLED = "cancelled"
    """The request was cancelled."""
    DEADLINE = "deadline"
    """The deadline passed."""


@dataclass(frozen=True)
class Generation:
    """A request to generate tokens."""

    request_id: str
    """Id of the request."""
    prompt: str
    """Text to continue."""
    max_tokens: int
    """Length of the whole completion in tokens, those of earlier attempts
    included."""
    attempt: int = 1
    """Number of the attempt, from 1."""
    priority: Priority.ValueType = Priority.NORMAL
    """Priority among waiting requests."""
    resume_from: int = 0
    """Number of tokens that the caller already received; generation continues after
    them."""
    cache_seed: str = ""
    """Seed that separates the prefix blocks of different models and versions."""
    kv_handle: str = ""
    """Handle of the imported KV cache to use; empty for none."""
    deadline_at_ms: float = float("inf")
    """Time after which the generation is stopped, in milliseconds."""


@dataclass(frozen=True)
class Usage:
    """Token counts of one generation at one engine."""

    prompt_tokens: int
    """Number of prompt tokens."""
    completion_tokens: int
    """Number of tokens that this engine generated."""
    cached_tokens: int
    """Number of prompt and generated tokens found in a cache at the last admission."""
    recomputed_tokens: int
    """Number of prompt and generated tokens computed again after a resume or a
    preemption."""


@dataclass(frozen=True)
class Chunk:
    """Generated tokens of one request, or its end."""

    request_id: str
    """Id of the request."""
    attempt: int
    """Number of the attempt, from 1."""
    offset: int
    """Index of the first token in the whole completion, from 0."""
    tokens: int
    """Number of tokens in the chunk; 0 in the last chunk."""
    finish: FinishReason | None = None
    """Why the generation ended; None except in the last chunk."""
    usage: Usage | None = None
    """Token counts of the generation; None except in the last chunk."""


@dataclass(frozen=True)
class KvCache:
    """An exported or imported KV cache of one request."""

    handle: str
    """Id of the KV cache at the engine that holds it."""
    request_id: str
    """Id of the request."""
    prompt_digest: str
    """Hash of the prompt for which the KV cache was computed."""
    tokens: int
    """Number of prompt and generated tokens in the KV cache."""
