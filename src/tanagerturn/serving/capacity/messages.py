"""Offers of the cloud, held hosts, needs of services, and planned steps."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple, NewType

if TYPE_CHECKING:
    from tanagerturn.serving.backends.messages import AvailabilityZone

HostId = NewType("HostId", str)
"""Id of a host at the cloud; its backend server announces the same id."""

ServiceName = NewType("ServiceName", str)
"""Name of a service."""


class Market(Enum):
    """Market on which a host is rented."""

    RECLAIMABLE = "reclaimable"
    ON_DEMAND = "on demand"


class OfferKey(NamedTuple):
    """Kind of host to start; refusals are tracked by it."""

    zone: AvailabilityZone
    """Availability zone."""
    host_class: str
    """Host class."""
    market: Market
    """Market on which the host is rented."""


@dataclass(frozen=True)
class Offer:
    """Offer of hosts that can be started."""

    key: OfferKey
    """Zone, class and market."""
    price_per_hour: float
    """Current price of one host per hour."""
    slots: int
    """Number of requests that one host accepts concurrently."""


class HostState(Enum):
    """Lifecycle state of a held host."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class HeldHost:
    """A host that the deployment pays for."""

    id: HostId
    """Id of the host."""
    key: OfferKey
    """Zone, class and market."""
    state: HostState
    """Lifecycle state."""
    since_ms: int
    """Time at which the current state began, in milliseconds."""
    price_per_hour: float
    """Current price per hour."""
    slots: int
    """Number of requests that it accepts concurrently."""
    running: int = 0
    """Number of requests at the host."""
    under_notice: bool = False
    """Whether a reclaim notice for it has been received."""


@dataclass(frozen=True)
class ServiceNeed:
    """Capacity need of a service with its limits."""

    service: ServiceName
    """Name of the service."""
    slots: float
    """Required slots without failures."""
    slots_after_loss: float
    """Required slots after the loss of any one availability zone."""
    min_hosts: int = 1
    """Minimum number of hosts."""
    max_hosts: int = 8
    """Maximum number of hosts, not counting draining ones."""
    max_on_demand: int = 2
    """Maximum number of on-demand hosts, unless the policy uses only those."""
    scale_in_after_ms: int = 600_000
    """Milliseconds for which a host must be unneeded before it is drained."""


@dataclass(frozen=True)
class StartHost:
    """Start a host at the cloud."""

    service: ServiceName
    """Service that the host is for."""
    key: OfferKey
    """Zone, class and market."""
    reason: str
    """Reason for the start."""


@dataclass(frozen=True)
class DrainHost:
    """Send no new requests to a host."""

    id: HostId
    """Id of the host."""
    reason: str
    """Reason for the drain."""


@dataclass(frozen=True)
class StopHost:
    """Stop a host and return it to the cloud."""

    id: HostId
    """Id of the host."""
    reason: str
    """Reason for the stop."""


CapacityStep = StartHost | DrainHost | StopHost


@dataclass(frozen=True)
class CapacityPlan:
    """Planned steps for one service and the numbers that they are based on."""

    service: ServiceName
    """Name of the service."""
    steps: tuple[CapacityStep, ...]
    """Steps to perform."""
    wanted: dict[OfferKey, int]
    """Number of hosts to hold, by zone, class and market."""
    short_slots: float
    """Required slots that no offer can provide now."""
    cost_per_hour: float
    """Total price of the hosts to hold per hour."""
