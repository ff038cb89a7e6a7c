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
    """Kind of host to start, by which refusals are tracked."""

    zone: AvailabilityZone
    """Availability zone of the host."""
    host_class: str
    """Host class at the cloud."""
    market: Market
    """Market on which the host is rented."""


@dataclass(frozen=True)
class Offer:
    """Hosts of one kind that the cloud offers to start."""

    key: OfferKey
    """Availability zone, class and market."""
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
    """A host that the deployment holds and pays for."""

    id: HostId
    """Id of the host."""
    key: OfferKey
    """Availability zone, class and market."""
    state: HostState
    """Lifecycle state of the host."""
    since_ms: int
    """Time at which the current state began, in milliseconds."""
    price_per_hour: float
    """Current price of the host per hour."""
    slots: int
    """Number of requests that the host accepts concurrently."""
    running: int = 0
    """Number of running requests at the host."""
    under_notice: bool = False
    """Whether a reclaim notice for the host has been received."""


@dataclass(frozen=True)
class ServiceNeed:
    """Capacity need of a service and the limits on its hosts."""

    service: ServiceName
    """Name of the service."""
    slots: float
    """Number of slots required while no availability zone is lost."""
    slots_after_loss: float
    """Number of slots required after the loss of any one availability zone."""
    min_hosts: int = 1
    """Minimum number of hosts."""
    max_hosts: int = 8
    """Maximum number of hosts, draining ones not included."""
    max_on_demand: int = 2
    """Maximum number of on-demand hosts; ignored by the policy that uses only those."""
    scale_in_after_ms: int = 600_000
    """Milliseconds for which a host must be unneeded before it is drained."""


@dataclass(frozen=True)
class StartHost:
    """Start a host at the cloud."""

    service: ServiceName
    """Service for which the host is started."""
    key: OfferKey
    """Availability zone, class and market of the host to start."""
    reason: str
    """Reason for the start, for logs."""


@dataclass(frozen=True)
class DrainHost:
    """Route no new requests to a host, so that it can be stopped."""

    id: HostId
    """Id of the host."""
    reason: str
    """Reason for the drain, for logs."""


@dataclass(frozen=True)
class StopHost:
    """Stop a host and return it to the cloud."""

    id: HostId
    """Id of the host."""
    reason: str
    """Reason for the stop, for logs."""


CapacityStep = StartHost | DrainHost | StopHost


@dataclass(frozen=True)
class CapacityPlan:
    """Planned steps for one service and the numbers from which they follow."""

    service: ServiceName
    """Name of the service."""
    steps: tuple[CapacityStep, ...]
    """Steps to perform now."""
    wanted: dict[OfferKey, int]
    """Number of hosts to hold, by availability zone, class and market."""
    short_slots: float
    """Number of required slots that no offer can provide now."""
    cost_per_hour: float
    """Total price of the hosts to hold per hour."""


class CountKey(NamedTuple):
    """Availability zone and market of an order for backend servers."""

    zone: AvailabilityZone
    """Availability zone."""
    market: Market
    """Market on which the backend servers are rented."""


@dataclass(frozen=True)
class ZoneOffer:
    """Price and limits of the backend servers in one availability zone."""

    zone: AvailabilityZone
    """The availability zone."""
    price: float
    """Price of an on-demand backend server, to compare zones."""
    min_count: int
    """Minimum number of backend servers in the zone, of both markets together."""
    max_count: int
    """Maximum number of backend servers in the zone, of both markets together."""
