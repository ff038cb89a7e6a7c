"""Offers of the cloud, held hosts, needs of services, and what to do."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple, NewType

if TYPE_CHECKING:
    from tanagerturn.serving.backends.messages import AvailabilityZone

HostId = NewType("HostId", str)
"""Name of a host at the cloud; its backend server announces the same id."""

ServiceName = NewType("ServiceName", str)
"""Name of a service."""


class Market(Enum):
    """How a host is rented."""

    RECLAIMABLE = "reclaimable"
    ON_DEMAND = "on demand"


class OfferKey(NamedTuple):
    """What a start names; refusals are remembered by it."""

    zone: AvailabilityZone
    """Availability zone."""
    host_class: str
    """Class of hosts."""
    market: Market
    """How it is rented."""


@dataclass(frozen=True)
class Offer:
    """Hosts that can be asked for."""

    key: OfferKey
    """Zone, class and market."""
    price_per_hour: float
    """Present price of one host."""
    slots: int
    """Concurrent requests that one host takes."""


class HostState(Enum):
    """Where a held host is in its life."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class HeldHost:
    """A host that is paid for."""

    id: HostId
    """Host."""
    key: OfferKey
    """Zone, class and market."""
    state: HostState
    """Where it is in its life."""
    since_ms: int
    """When it came to this state."""
    price_per_hour: float
    """Present price."""
    slots: int
    """Concurrent requests that it takes."""
    running: int = 0
    """Requests that it has."""
    under_notice: bool = False
    """It will be reclaimed soon."""


@dataclass(frozen=True)
class ServiceNeed:
    """What a service needs, and within which bounds."""

    service: ServiceName
    """Service."""
    slots: float
    """Slots wanted while nothing fails."""
    slots_after_loss: float
    """Slots wanted after the loss of any one zone."""
    min_hosts: int = 1
    """Hosts held at least."""
    max_hosts: int = 8
    """Hosts held at most, draining ones aside."""
    max_on_demand: int = 2
    """On-demand hosts held at most, unless all are on demand by policy."""
    scale_in_after_ms: int = 600_000
    """A host must be unwanted for this long before it is drained."""


@dataclass(frozen=True)
class StartHost:
    """Ask the cloud for a host."""

    service: ServiceName
    """Service that it is for."""
    key: OfferKey
    """Zone, class and market."""
    reason: str
    """Why."""


@dataclass(frozen=True)
class DrainHost:
    """Give a host no new work."""

    id: HostId
    """Host."""
    reason: str
    """Why."""


@dataclass(frozen=True)
class StopHost:
    """Give a host back to the cloud."""

    id: HostId
    """Host."""
    reason: str
    """Why."""


CapacityStep = StartHost | DrainHost | StopHost


@dataclass(frozen=True)
class CapacityPlan:
    """Steps for one service, and the figures behind them."""

    service: ServiceName
    """Service."""
    steps: tuple[CapacityStep, ...]
    """What to do."""
    wanted: dict[OfferKey, int]
    """Hosts wanted by zone, class and market."""
    short_slots: float
    """Slots that can't be had now."""
    cost_per_hour: float
    """Price of the wanted hosts."""
