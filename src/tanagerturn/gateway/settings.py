"""Settings of a gateway process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from tanagerturn.serving.limits.divided import Tolerance


@dataclass(frozen=True)
class DutySettings:
    """Calls to the cloud API that only one gateway at a time may make."""

    address: str
    """IP address and port of the cloud API."""
    reports_usage: bool
    """Gateways report usage to the cloud API."""
    orders_backends: bool
    """Gateways order backend servers from the cloud API."""
    lease_s: float
    """Minimum time in seconds between two changes of the holder, as the cloud sees it;
    a new holder calls the cloud API no sooner."""


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
    """State members whose simultaneous loss is tolerated."""
    heartbeat_ms: int
    """Time between two announcements of a backend server in milliseconds."""
    drain_s: float
    """Time in seconds from the announcement of a leaving backend server to its expected
    stop, if it reports none itself."""
    grace_s: float
    """Time from SIGTERM to the platform's SIGKILL in seconds."""
    retry_ratio: float
    """Retries that a service may get per request."""
    retry_window_s: float
    """Length of the sliding window of the retry budget in seconds."""
    retry_allowance: float
    """Retries beyond that ratio in a window, over all gateways."""
    limit_tolerance: Tolerance
    """What client accounts may use beyond their limits without harm."""
    report_window_s: float
    """Length of a usage report's window in seconds."""
    report_due_s: float
    """Time after the end of a window in seconds from which its report is late."""
    duties: DutySettings | None
    """Calls to the cloud API; None if gateways make none."""

    @property
    def link_address(self) -> str:
        """Address at which this gateway accepts links of its peers."""
        return f"{self.ip}:{self.link_port}"

    @property
    def state_members(self) -> int:
        """Voters that the state group needs to tolerate the losses."""
        return 2 * self.tolerated_losses + 1
