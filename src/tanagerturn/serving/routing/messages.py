"""Routing requests, decisions, and the error when no backend server is eligible."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from tanagerturn.coordination.errors import StepError
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.backends.messages import NO_ZONE

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.serving.backends.messages import AvailabilityZone, BackendId
    from tanagerturn.serving.cache.blocks import BlockHash


@dataclass(frozen=True)
class RouteRequest:
    """Properties of a request that routing depends on."""

    service: str
    """Service that the request calls."""
    model: str = ""
    """Required model; empty for plain services."""
    version: str = ""
    """Required version of the model; empty for any."""
    adapter: str = ""
    """Adapter that must be loaded; empty for none."""
    priority: serving_pb2.Priority.ValueType = serving_pb2.NORMAL
    """Priority, which is only recorded here; the engine orders its queue by it."""
    deadline_ms: int = 0
    """Time in milliseconds, on the clock of `now_ms`, at which the answer is too late;
    0 for no deadline."""
    prefix_blocks: Sequence[BlockHash] = ()
    """Hashes of the leading blocks of the prompt."""
    prompt_tokens: int = 0
    """Estimated prompt tokens; on resume, including the tokens already delivered."""
    output_tokens: int = 0
    """Estimated tokens to generate."""
    excluded: frozenset[BackendId] = frozenset()
    """Backend servers that must not be chosen, for example after a failure."""
    zone: AvailabilityZone = NO_ZONE
    """Availability zone of the entry process."""
    phase: serving_pb2.BackendRole.ValueType = serving_pb2.BOTH
    """Phase of the request to run: BOTH, PREFILL or DECODE."""


class Estimate(NamedTuple):
    """Estimated cost of a request at one candidate; times in milliseconds."""

    backend_id: BackendId
    """The candidate."""
    wait_ms: float = 0.0
    """Expected wait for a slot."""
    prefill_ms: float = 0.0
    """Expected time to compute the uncached part of the prompt."""
    generate_ms: float = 0.0
    """Expected time to generate the answer."""
    cached_tokens: int = 0
    """Number of prompt tokens expected in the prefix cache."""
    load: float = 0.0
    """Estimated number of requests at the candidate."""
    score: float = 0.0
    """Weighted sum of the costs; the candidate with the lowest is chosen."""


@dataclass(frozen=True)
class RouteDecision:
    """Chosen backend server of a request, with the reason."""

    backend_id: BackendId
    """Chosen backend server."""
    address: str
    """IP address and port of the backend server."""
    reason: str
    """Reason for the choice, as a short phrase."""
    estimate: Estimate
    """Estimate of the chosen backend server."""
    pool: int = 0
    """Number of eligible backend servers that were compared."""
    considered: Sequence[Estimate] = field(default=(), repr=False)
    """Estimates of all compared candidates; empty for policies without estimates."""


class NoBackend(StepError):
    """No backend server is eligible for the request.

    Args:
        service: Service of the request.
        reason: Numbers of ineligible backend servers by cause.
        offering: Number of backend servers that offer the service and model.
        leaving: Number of those that are leaving or under a reclaim notice.
    """

    def __init__(
        self, service: str, reason: str, offering: int = 0, leaving: int = 0
    ) -> None:
        super().__init__("choose backend server", service, reason)
        self.offering = offering
        """Number of backend servers that offer the service and model."""
        self.leaving = leaving
        """Number of those that are leaving or under a reclaim notice."""
