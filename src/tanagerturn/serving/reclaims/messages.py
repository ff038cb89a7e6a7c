"""Running requests, importers and the planned action for each request."""

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
"""Handle of an exported or imported KV cache at an engine."""

NO_HANDLE: Final = KvHandle("")
"""Value for a KV cache that has not been exported yet."""

DEFAULT_LINK_TOKENS_PER_S: Final = 100_000.0
"""Default KV cache transfer rate of one engine, in tokens per second."""


@dataclass(frozen=True)
class RunningRequest:
    """A request that runs on an engine under a reclaim notice."""

    request_id: RequestId
    """Id of the request."""
    backend_id: BackendId
    """Engine that runs the request."""
    priority: serving_pb2.Priority.ValueType = serving_pb2.NORMAL
    """Priority of the request."""
    kind: serving_pb2.CallKind.ValueType = serving_pb2.IDEMPOTENT
    """Call kind: what is allowed after a failure."""
    prompt_tokens: int = 0
    """Number of tokens of the prompt."""
    done_tokens: int = 0
    """Number of tokens generated so far; 0 while the prompt is computed."""
    left_tokens: int = 0
    """Expected number of tokens still to be generated."""
    token_ms: float = 20.0
    """Milliseconds between tokens."""
    deadline_ms: int = 0
    """Time in milliseconds, on the clock of `now_ms`, at which the answer is too late;
    0 for no deadline."""
    excluded: frozenset[BackendId] = frozenset()
    """Importers at which a migration of the request has failed."""

    @property
    def kv_tokens(self) -> int:
        """Number of KV cache tokens that a migration transfers."""
        return self.prompt_tokens + self.done_tokens


@dataclass(frozen=True)
class Importer:
    """An engine that may import KV caches."""

    backend_id: BackendId
    """Id of the engine."""
    zone: AvailabilityZone
    """Availability zone of the engine."""
    free_tokens: float
    """Free KV cache capacity, in tokens."""
    free_slots: float
    """Number of further requests that it can run concurrently."""
    prefill_ms_per_token: float = 0.25
    """Milliseconds to recompute a prompt token without a migration."""


@dataclass(frozen=True)
class LinkLimits:
    """Limits of the transfer of KV caches."""

    tokens_per_s: float = DEFAULT_LINK_TOKENS_PER_S
    """KV cache tokens that one engine sends or receives per second."""
    overhead_ms: int = 50
    """Milliseconds of one migration in addition to the transfer."""
    margin_ms: int = 500
    """Milliseconds before the reclaim by which all migrations must have ended."""

    def share(self, fraction: float) -> LinkLimits:
        """Return the limits for a process with a fraction of the links, 0 to 1."""
        rate = self.tokens_per_s * max(0.01, min(1.0, fraction))
        return LinkLimits(rate, self.overhead_ms, self.margin_ms)

    def migration_ms(self, tokens: int) -> int:
        """Return the duration of the migration of so many tokens, in milliseconds."""
        return self.overhead_ms + int(1000.0 * tokens / self.tokens_per_s)


class ReclaimAction(Enum):
    """Action for a running request whose engine is under notice.

    FINISH lets it finish in place, MIGRATE transfers its KV cache to an importer, and
    HAND_OVER resumes it elsewhere without its KV cache.
    """

    FINISH = "finish"
    MIGRATE = "move"
    HAND_OVER = "hand over"


@dataclass(frozen=True)
class RequestPlan:
    """Planned action for one request."""

    request: RunningRequest
    """The request."""
    action: ReclaimAction
    """Action for the request."""
    reason: str
    """Reason for the action; empty when it is not yet scheduled."""
    loss: float
    """Cost of losing its KV cache, in weighted tokens."""
    importer: BackendId | None = None
    """Engine that imports its KV cache; None without a migration."""
    start_ms: int = 0
    """Planned start of the migration, in milliseconds; 0 without one."""
    end_ms: int = 0
    """Planned end of the migration, in milliseconds; 0 without one."""
