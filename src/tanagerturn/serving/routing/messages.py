"""Requests to route, decisions, and the error when nothing can take one."""

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
    """What routing has to know of a request."""

    service: str
    """Service that the caller names."""
    model: str = ""
    """Model; empty for plain services."""
    version: str = ""
    """Version of the model; empty for any."""
    adapter: str = ""
    """Adapter that must be loaded; empty for none."""
    priority: serving_pb2.Priority.ValueType = serving_pb2.NORMAL
    """Priority, for the decision's record; the engine orders its queue by it."""
    deadline_ms: int = 0
    """Present time at which the answer is too late; 0 for none."""
    prefix_blocks: Sequence[BlockHash] = ()
    """Hashes of the prompt's leading blocks."""
    prompt_tokens: int = 0
    """Estimated tokens to read, on resume with those already delivered."""
    output_tokens: int = 0
    """Estimated tokens to generate."""
    excluded: frozenset[BackendId] = frozenset()
    """Backend servers that must not get it, for example after a failure."""
    zone: AvailabilityZone = NO_ZONE
    """Availability zone of the entry process."""
    phase: serving_pb2.BackendRole.ValueType = serving_pb2.BOTH
    """Part of the request to run: both, prefill or decode."""


class Estimate(NamedTuple):
    """What one candidate would cost the request; times in milliseconds."""

    backend_id: BackendId
    """Candidate."""
    wait_ms: float = 0.0
    """Expected wait for a slot."""
    prefill_ms: float = 0.0
    """Expected time to compute the prompt that isn't cached."""
    generate_ms: float = 0.0
    """Expected time to generate the answer."""
    cached_tokens: int = 0
    """Prompt tokens expected in the prefix cache."""
    load: float = 0.0
    """Estimated requests there."""
    score: float = 0.0
    """Weighed sum; the lowest is chosen."""


@dataclass(frozen=True)
class RouteDecision:
    """Where a request goes, and why."""

    backend_id: BackendId
    """Chosen backend server."""
    address: str
    """Its IP number and port."""
    reason: str
    """Why it was chosen, in one short sentence."""
    estimate: Estimate
    """Numbers that the choice rests on."""
    pool: int = 0
    """Backend servers that offer the service and model."""
    considered: Sequence[Estimate] = field(default=(), repr=False)
    """All candidates that were weighed."""


class NoBackend(StepError):
    """No backend server can take the request now.

    Args:
        service: Service of the request.
        reason: Why none can, with counts.
        offering: Backend servers that offer the service and model.
        leaving: Those of them that leave or are under notice.
    """

    def __init__(
        self, service: str, reason: str, offering: int = 0, leaving: int = 0
    ) -> None:
        super().__init__("choose backend server", service, reason)
        self.offering = offering
        """Backend servers that offer the service and model."""
        self.leaving = leaving
        """Those of them that leave or are under notice."""
