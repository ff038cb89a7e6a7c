"""Running requests, importing engines and the planned action for each request."""

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
"""Id of an exported or imported KV cache at one engine."""

NO_HANDLE: Final = KvHandle("")
"""Handle of a KV cache that has not been exported yet."""

DEFAULT_LINK_TOKENS_PER_S: Final = 100_000.0
"""Default KV cache transfer rate of one engine's link, in tokens per second."""


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
    """Call kind of the service: what is allowed after a failure."""
    prompt_tokens: int = 0
    """Number of tokens in the prompt."""
    done_tokens: int = 0
    """Number of tokens generated so far; 0 while the engine computes the prompt."""
    left_tokens: int = 0
    """Expected number of tokens that are still to be generated."""
    token_ms: float = 20.0
    """Milliseconds between two generated tokens."""
    deadline_ms: int = 0
    """Time in milliseconds, on the clock of `now_ms`, after which the response is too
    late; 0 for no deadline."""
    excluded: frozenset[BackendId] = frozenset()
    """Importers of failed migrations of the request, which are not chosen again."""

    @property
    def kv_tokens(self) -> int:
        """Number of KV cache tokens that a migration of the request transfers."""
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
    """Number of further requests that the engine can run concurrently."""
    prefill_ms_per_token: float = 0.25
    """Milliseconds in which the engine recomputes one prompt token."""


@dataclass(frozen=True)
class LinkLimits:
    """Limits on the transfer of KV caches between engines."""

    tokens_per_s: float = DEFAULT_LINK_TOKENS_PER_S
    """KV cache tokens that one engine can send or receive per second."""
    overhead_ms: int = 50
    """Milliseconds that each migration takes in addition to the transfer."""
    margin_ms: int = 500
    """Milliseconds before the reclaim by which all migrations must have ended."""

    def share(self, fraction: float) -> LinkLimits:
        """Return the limits for a process that may use a fraction of each link.

        Args:
            fraction: The fraction, 0 to 1; less than 0.01 counts as 0.01.
        """
        rate = self.tokens_per_s * max(0.01, min(1.0, fraction))
        return LinkLimits(rate, self.overhead_ms, self.margin_ms)

    def migration_ms(self, tokens: int) -> int:
        """Return the duration in milliseconds of migrating a number of KV tokens."""
        return self.overhead_ms + int(1000.0 * tokens / self.tokens_per_s)


class ReclaimAction(Enum):
    """Action for a running request whose engine is under notice.

    FINISH lets the request finish at its engine, MIGRATE transfers its KV cache to an
    importer, and HAND_OVER resumes it at another engine without its KV cache.
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
    """Reason for the action; empty for a migration that is not scheduled yet."""
    loss: float
    """Cost of losing the request's KV cache, in weighted tokens."""
    importer: BackendId | None = None
    """Engine that imports the KV cache; None without a scheduled migration."""
    start_ms: int = 0
    """Planned start of the migration in milliseconds; 0 without one."""
    end_ms: int = 0
    """Planned end of the migration in milliseconds; 0 without one."""
