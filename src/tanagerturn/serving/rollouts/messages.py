"""Orders, states and permissions of rollouts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RolloutState(Enum):
    """State of a rollout, as operators read it."""

    ACTIVE = "active"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Side(Enum):
    """Versions of which a request may use backend servers."""

    OLD = "old"
    TARGET = "target"


@dataclass(frozen=True)
class RolloutOrder:
    """Order to move a service to a version."""

    service: str
    """Service to move."""
    target: str
    """Version to move it to."""
    duration_ms: int
    """Time in milliseconds from the order to the end of the rollout."""
    number: int
    """Number of the order; a later order for the service has a higher one."""
    ordered_ms: int = 0
    """Time of the order in milliseconds, on the clock of `now_ms`."""


@dataclass(frozen=True)
class ExposureBound:
    """Limits on the requests that a bad version may receive."""

    share: float = 0.1
    """Share of all requests of the service from the order to the end of its
    duration."""
    allowance: float = 50.0
    """Number of requests beyond `share`."""
    rollback_ms: int = 5000
    """Time in milliseconds after the 50th bad response after which a caller's request
    may no longer reach the version."""


@dataclass(frozen=True)
class Permission:
    """Permission of gateways to send a share of a service's requests to the target.

    A permission that is not `ACTIVE` does not expire.
    """

    service: str
    """Service of the rollout."""
    target: str
    """Version that may receive requests."""
    number: int
    """Number of the order."""
    state: RolloutState
    """State of the rollout, committed before the permission was issued."""
    share: float
    """Share of the requests that may use the target, 0 to 1."""
    issued_ms: int
    """Time of issue in milliseconds, on the issuer's clock; it also identifies the
    permission. The receiver keeps it and passes its own estimate of the issuer's clock
    as `now_ms`, which must not be behind that clock."""
    valid_ms: int
    """Time in milliseconds from the issue to the expiry."""

    def side_allowed(self, now_ms: int) -> bool:
        """Return whether any request may use the target at a time in milliseconds."""
        if self.state is not RolloutState.ACTIVE:
            return self.state is RolloutState.COMPLETED
        return self.share > 0.0 and now_ms < self.issued_ms + self.valid_ms


@dataclass(frozen=True)
class Decision:
    """What the controller has decided; a changed state is committed before it is sent.

    The caller commits `state` and `share` when either differs from what is committed,
    and then issues a permission with them, with `issued_ms` the time of the step.
    """

    state: RolloutState
    """State of the rollout."""
    share: float
    """Share of the requests for the target, 0 to 1."""
    reason: str
    """Reason in a few words, for logs."""
    valid_ms: int
    """Time in milliseconds for which the permission is valid."""
