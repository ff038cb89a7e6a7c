"""Routing requests, routing decisions, and the error without an eligible server."""

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
    """Properties of a request on which routing depends."""

    service: str
    """Name of the service that the request calls."""
    model: str = ""
    """Model that must be ready; empty for plain services."""
    version: str = ""
    """Required version of the model; empty for any."""
    adapter: str = ""
    """Adapter of the model that must be loaded; empty for none."""
    priority: serving_pb2.Priority.ValueType = serving_pb2.NORMAL
    """Priority of the request. Routing ignores it; engines order their queue by it."""
    deadline_ms: int = 0
    """Time in milliseconds, on the clock of `now_ms`, after which the response is too
    late; 0 for no deadline."""
    prefix_blocks: Sequence[BlockHash] = ()
    """Hashes of the leading blocks of the prompt; empty if they are not known."""
    prompt_tokens: int = 0
    """Estimated number of prompt tokens, including delivered tokens on a resume."""
    output_tokens: int = 0
    """Estimated number of tokens to generate."""
    excluded: frozenset[BackendId] = frozenset()
    """Backend servers that must not be chosen, for example after a failure."""
    zone: AvailabilityZone = NO_ZONE
    """Availability zone of the entry process; empty to ignore zones."""
    phase: serving_pb2.BackendRole.ValueType = serving_pb2.BOTH
    """Phase of the request to run: BOTH, PREFILL or DECODE."""


class Estimate(NamedTuple):
    """Estimated cost of a request at one candidate; times in milliseconds."""

    backend_id: BackendId
    """The candidate."""
    wait_ms: float = 0.0
    """Expected wait for a slot, in milliseconds."""
    prefill_ms: float = 0.0
    """Expected milliseconds to compute the prompt tokens that are not cached."""
    generate_ms: float = 0.0
    """Expected milliseconds to generate all output tokens."""
    cached_tokens: int = 0
    """Number of prompt tokens that are expected in the prefix cache."""
    load: float = 0.0
    """Estimated number of requests at the candidate."""
    score: float = 0.0
    """Weighted sum of the expected times; the candidate with the lowest is chosen."""


@dataclass(frozen=True)
class RouteDecision:
    """Chosen backend server of a request, with the reason for the choice."""

    backend_id: BackendId
    """Id of the chosen backend server."""
    address: str
    """IP address and port of the chosen backend server."""
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
        reason: Number of backend servers that can't be chosen, by cause.
        offering: Number of backend servers that offer the service and model.
        leaving: Number of the backend servers counted in `offering` that are leaving or
            under a reclaim notice.
    """

    def __init__(
        self, service: str, reason: str, offering: int = 0, leaving: int = 0
    ) -> None:
        super().__init__("choose backend server", service, reason)
        self.offering = offering
        """Number of backend servers that offer the service and model."""
        self.leaving = leaving
        """Number of the backend servers counted in `offering` that are leaving or under
        a reclaim notice."""
