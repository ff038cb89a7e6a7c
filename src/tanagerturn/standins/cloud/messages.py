"""Offers, hosts and notices of the stand-in cloud."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class HostState(Enum):
    """Life of a host."""

    STARTING = "starting"
    """Ordered, not there yet; it is not paid for."""
    RUNNING = "running"
    """There."""
    NOTICED = "noticed"
    """Will be taken back."""
    GONE = "gone"
    """Taken back or given back."""


@dataclass
class Offer:
    """A class of hosts in a zone."""

    availability_zone: str
    """Availability zone."""
    host_class: str
    """Class of hosts."""
    reclaimable: bool
    """Whether the platform may take such hosts back."""
    price_per_hour: float
    """Present price."""


@dataclass(frozen=True)
class StartRequest:
    """Asks for one host."""

    request_id: str
    """Names the request; asked again, it gives the same host."""
    availability_zone: str
    """Availability zone."""
    host_class: str
    """Class of the host."""
    reclaimable: bool
    """Whether the host may be reclaimable."""
    service: str = ""
    """Service that its backend server shall serve."""


@dataclass
class Host:
    """One host of the platform."""

    id: str
    """Name of the host, and of the backend server on it."""
    request: StartRequest
    """What was asked for."""
    state: HostState
    """Where it is in its life."""
    ready_at_ms: float
    """When it is there."""
    ends_at_ms: float | None = None
    """When it goes; None while it stays."""
    address: str = ""
    """IP number and port of its backend server, once known."""


@dataclass(frozen=True)
class Notice:
    """Tells that a host will be taken back."""

    sequence: int
    """Number of the notice, from 1."""
    host_id: str
    """Host that goes."""
    availability_zone: str
    """Its availability zone."""
    ends_at_ms: float
    """When it goes."""


@dataclass(frozen=True)
class Refusal:
    """Why a host was not started."""

    reason: str
    """Short reason."""


@dataclass(frozen=True)
class Shortage:
    """Starts are refused for a time."""

    availability_zone: str
    """Availability zone; empty for all."""
    host_class: str
    """Class of hosts; empty for all."""
    reclaimable_only: bool
    """Whether on-demand hosts can still be had."""
    until_ms: float
    """End of the shortage."""

    def covers(self, request: StartRequest, now_ms: float) -> bool:
        """Tell whether a start falls under the shortage."""
        if now_ms >= self.until_ms:
            return False
        if self.reclaimable_only and not request.reclaimable:
            return False
        return self.availability_zone in (
            "",
            request.availability_zone,
        ) and self.host_class in ("", request.host_class)
