"""Settings of a gateway process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from tanagerturn.serving.limits.spread import Tolerance


@dataclass(frozen=True)
class DutySettings:
    """Calls to the cloud API that one gateway at a time makes."""

    address: str
    """IP number and port of the cloud API."""
    reports_usage: bool
    """Usage is to be reported."""
    orders_backends: bool
    """Backend servers may be ordered."""
    lease_s: float
    """Time in which the holder may not change back and forth."""


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one process; addresses are IP number and port."""

    host: str
    """Name of the host."""
    ip: str
    """Its IP number."""
    zone: str
    """Its availability zone."""
    region: str
    """Its region."""
    callers_address: str
    """Where callers connect."""
    readiness_address: str
    """Where the balancer asks whether callers may be sent."""
    control_address: str
    """Where backend servers and operators call."""
    metrics_address: str
    """Where metrics are served; empty for none."""
    link_port: int
    """TCP port for other gateways."""
    digest_port: int
    """UDP port for digests of other gateways."""
    membership_port: int
    """UDP port for failure detection."""
    seed_ips: tuple[str, ...]
    """Hosts through which others are found."""
    is_first_start: bool
    """The whole deployment starts for the first time."""
    data_folder: Path | None
    """Folder of the host's disk; None on hosts without one."""
    losses_borne: int
    """State members that may be lost at the same time."""
    heartbeat_ms: int
    """Time between two announcements of a backend server."""
    drain_s: float
    """Time after which a backend server that leaves gets no requests."""
    grace_s: float
    """Time from a SIGTERM to the end of the process."""
    retry_ratio: float
    """Repeats that a service may get for each request."""
    retry_window_s: float
    """Window of the retry budget."""
    retry_allowance: float
    """Repeats beyond the ratio in a window, over all gateways."""
    limit_tolerance: Tolerance
    """What client accounts may get beyond their limits without harm."""
    report_window_s: float
    """Length of a usage report's window."""
    report_due_s: float
    """Time after a window's end at which its report is due."""
    duties: DutySettings | None
    """Calls to the cloud API; None when there are none."""

    @property
    def link_address(self) -> str:
        """Where other gateways connect."""
        return f"{self.ip}:{self.link_port}"

    @property
    def state_members(self) -> int:
        """Voters of the state group that bear the losses."""
        return 2 * self.losses_borne + 1
