"""Settings of a gateway process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from tanagerturn.gateway.callers.descriptors import DEFAULT_MAX_FDS
from tanagerturn.gateway.callers.memory_budget import DEFAULT_MEMORY_BYTES

if TYPE_CHECKING:
    from pathlib import Path

    from tanagerturn.serving.limits.terms import Tolerance
    from tanagerturn.serving.rollouts.messages import ExposureBound


@dataclass(frozen=True)
class DutySettings:
    """Calls to the cloud API that only one gateway at a time may make."""

    address: str
    """IP address and port of the cloud API."""
    reports_usage: bool
    """Whether gateways report usage to the cloud API."""
    orders_backends: bool
    """Whether gateways order backend servers from the cloud API."""
    lease_s: float
    """Minimum time in seconds between two changes of the holder that the cloud API
    expects; a new holder waits that long before its first call."""


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one process; an address is an IP address with a port."""

    host: str
    """Name of the host."""
    ip: str
    """IP address of the host."""
    zone: str
    """Availability zone of the host."""
    region: str
    """Region of the host."""
    callers_address: str
    """Address of the listener for callers."""
    readiness_address: str
    """Address of the listener at which the load balancer checks whether this gateway
    accepts callers."""
    control_address: str
    """Address of the listener for backend servers and operators."""
    metrics_address: str
    """Address of the metrics listener; empty for none."""
    link_port: int
    """TCP port for links of peer gateways; the same on all hosts."""
    forwarding_port: int
    """TCP port for requests that peer gateways forward; the same on all hosts."""
    digest_port: int
    """UDP port for digests of peer gateways; the same on all hosts."""
    membership_port: int
    """UDP port for failure detection; the same on all hosts."""
    seed_ips: tuple[str, ...]
    """IP addresses of the hosts through which a gateway finds its peers."""
    is_first_start: bool
    """The whole deployment starts for the first time, without a state group."""
    data_folder: Path | None
    """Folder for data on the host's disk; None on hosts without a disk."""
    tolerated_losses: int
    """Number of state group members whose simultaneous loss is tolerated."""
    heartbeat_ms: int
    """Time in milliseconds between two announcements of a backend server."""
    drain_s: float
    """Time in seconds from the announcement of a leaving backend server to its expected
    stop, if it reports none itself."""
    grace_s: float
    """Time from SIGTERM to the platform's SIGKILL in seconds."""
    retry_ratio: float
    """Number of retries that a service may get per request."""
    retry_window_s: float
    """Length of the sliding window of the retry budget in seconds."""
    retry_allowance: float
    """Number of retries beyond `retry_ratio` that a service may get in a window, over
    all gateways."""
    limit_tolerance: Tolerance
    """How far client accounts may exceed their limits without harm."""
    report_window_s: float
    """Length of a usage report's window in seconds."""
    report_due_s: float
    """Time after the end of a window in seconds from which its report is late."""
    duties: DutySettings | None
    """Calls to the cloud API; None if gateways make none."""
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    """Memory of the host in bytes."""
    max_fds: int = DEFAULT_MAX_FDS
    """Largest number of descriptors that the process may open."""
    shares_price: bool = False
    """Whether a price of engine time, shared by all gateways, decides which generations
    are admitted to services whose engines report their speed."""
    rollouts: ExposureBound | None = None
    """Limits on what a bad version receives; None if there are no rollouts."""

    @property
    def link_address(self) -> str:
        """Address at which this gateway accepts links of its peers."""
        return f"{self.ip}:{self.link_port}"

    @property
    def seed_link_addresses(self) -> tuple[str, ...]:
        """Addresses at which the seeds accept links."""
        return tuple(f"{ip}:{self.link_port}" for ip in self.seed_ips)

    @property
    def forwarding_address(self) -> str:
        """Address at which this gateway accepts requests that its peers forward."""
        return f"{self.ip}:{self.forwarding_port}"

    @property
    def state_members(self) -> int:
        """Number of voters with which the state group tolerates `tolerated_losses`."""
        return 2 * self.tolerated_losses + 1
