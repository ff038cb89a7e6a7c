"""Requests, hosts, offers and notices of the stand-in cloud."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class HostState(Enum):
    """State of a host."""

    STARTING = "starting"
    """Requested, but not running yet; not billed."""
    RUNNING = "running"
    """Running and billed."""
    NOTICED = "noticed"
    """Running and billed until the end of its reclaim notice."""
    GONE = "gone"
    """Reclaimed or released."""


@dataclass
class Offer:
    """Price of one class of hosts in one availability zone."""

    availability_zone: str
    """Availability zone of the hosts."""
    host_class: str
    """Class of the hosts."""
    reclaimable: bool
    """Whether the cloud may reclaim these hosts."""
    price_per_hour: float
    """Current price of one host per hour."""


@dataclass(frozen=True)
class StartRequest:
    """Request to start one host."""

    request_id: str
    """Id of the request; repeated requests of equal id start one host only."""
    availability_zone: str
    """Availability zone of the host."""
    host_class: str
    """Class of the host."""
    reclaimable: bool
    """Whether a reclaimable host is requested; otherwise an on-demand host."""
    service: str = ""
    """Service that the host's backend server is to serve; empty for none."""


@dataclass
class Host:
    """One host of the cloud."""

    id: str
    """Id of the host and of the backend server on it."""
    request: StartRequest
    """Request that started the host."""
    state: HostState
    """Current state of the host."""
    ready_at_ms: float
    """Time at which the host starts to run, in milliseconds."""
    ends_at_ms: float | None = None
    """Time at which the host is reclaimed, in milliseconds; None without a notice."""
    address: str = ""
    """IP address and port of the host's backend server; empty until the backend server
    has started."""


@dataclass(frozen=True)
class Notice:
    """Notice that a host will be reclaimed."""

    sequence: int
    """Sequence number of the notice, from 1."""
    host_id: str
    """Host that will be reclaimed."""
    availability_zone: str
    """Availability zone of the host."""
    ends_at_ms: float
    """Time at which the host is reclaimed, in milliseconds."""


@dataclass(frozen=True)
class Refusal:
    """Refusal to start a host."""

    reason: str
    """Reason that the API reports to the caller."""


@dataclass(frozen=True)
class Shortage:
    """A lack of capacity during which the cloud refuses to start hosts."""

    availability_zone: str
    """Affected availability zone; empty for all."""
    host_class: str
    """Affected class of hosts; empty for all."""
    reclaimable_only: bool
    """Whether only reclaimable hosts are affected."""
    until_ms: float
    """Time at which the shortage ends, in milliseconds."""

    def covers(self, request: StartRequest, now_ms: float) -> bool:
        """Return whether the shortage affects a request at a time.

        Args:
            request: The request to start a host.
            now_ms: Current time, in milliseconds.
        """
        if now_ms >= self.until_ms:
            return False
        if self.reclaimable_only and not request.reclaimable:
            return False
        return self.availability_zone in (
            "",
            request.availability_zone,
        ) and self.host_class in ("", request.host_class)
