"""Running requests, importers, and what becomes of each request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final, NewType

from tanagerturn.schema import serving_pb2

if TYPE_CHECKING:
    from tanagerturn.serving.backends.messages import (
        AvailabilityZone,
        BackendId,
        RequestId,
    )

KvHandle = NewType("KvHandle", str)
"""Name of an exported or imported KV cache at an engine."""

NO_HANDLE: Final = KvHandle("")
"""Stands for a KV cache that wasn't exported yet."""

DEFAULT_LINK_TOKENS_PER_S: Final = 100_000.0
"""Tokens of KV cache that one engine sends or takes in a second."""


@dataclass(frozen=True)
class RunningRequest:
    """A request that runs on an engine under notice."""

    request_id: RequestId
    """Request."""
    backend_id: BackendId
    """Engine that runs it."""
    priority: serving_pb2.Priority.ValueType = serving_pb2.NORMAL
    """Priority."""
    kind: serving_pb2.CallKind.ValueType = serving_pb2.IDEMPOTENT
    """What the call allows after a failure."""
    prompt_tokens: int = 0
    """Tokens of the prompt."""
    done_tokens: int = 0
    """Tokens generated so far; 0 while the prompt is computed."""
    left_tokens: int = 0
    """Tokens expected to follow."""
    token_ms: float = 20.0
    """Time between tokens."""
    deadline_ms: int = 0
    """Present time at which the answer is too late; 0 for none."""
    excluded: frozenset[BackendId] = frozenset()
    """Importers at which a move of it has failed."""

    @property
    def kv_tokens(self) -> int:
        """Tokens of KV cache that a move has to carry."""
        return self.prompt_tokens + self.done_tokens


@dataclass(frozen=True)
class Importer:
    """An engine that may take KV caches."""

    backend_id: BackendId
    """Engine."""
    zone: AvailabilityZone
    """Its availability zone."""
    free_tokens: float
    """Room for KV cache."""
    free_slots: float
    """Requests that it can run beside its own."""
    prefill_ms_per_token: float = 0.25
    """Its time to compute a prompt token, if it has to."""


@dataclass(frozen=True)
class LinkLimits:
    """How fast KV caches can be moved."""

    tokens_per_s: float = DEFAULT_LINK_TOKENS_PER_S
    """Tokens that one engine sends or takes in a second."""
    overhead_ms: int = 50
    """Time of one move beside the transfer."""
    margin_ms: int = 500
    """Time before the reclaim at which all moves must have ended."""

    def share(self, fraction: float) -> LinkLimits:
        """Return the part of the limits that one of several processes may use."""
        rate = self.tokens_per_s * max(0.01, min(1.0, fraction))
        return LinkLimits(rate, self.overhead_ms, self.margin_ms)

    def move_ms(self, tokens: int) -> int:
        """Return the time of one move."""
        return self.overhead_ms + int(1000.0 * tokens / self.tokens_per_s)


class Fate(Enum):
    """What becomes of a running request."""

    FINISH = "finish"
    MOVE = "move"
    HAND_OVER = "hand over"


@dataclass(frozen=True)
class RequestPlan:
    """The fate of one request, and why."""

    request: RunningRequest
    """Request."""
    fate: Fate
    """What becomes of it."""
    reason: str
    """Why."""
    loss: float
    """What its loss would cost, in weighed tokens."""
    importer: BackendId | None = None
    """Engine that takes its KV cache."""
    start_ms: int = 0
    """When its move begins at the latest estimate."""
    end_ms: int = 0
    """When its move ends."""
