"""Configuration of a stand-in plain service."""

from __future__ import annotations

from dataclasses import dataclass, field

from tanagerturn.standins.faults import FaultPlan


@dataclass(frozen=True)
class ServiceConfig:
    """Configuration of one host of a stand-in plain service."""

    id: str = "service"
    """Id of the backend server."""
    ip: str = "127.0.0.1"
    """IP address to listen on."""
    port: int = 0
    """Port to listen on; 0 selects a free one."""
    announce_to: tuple[str, ...] = ()
    """IP address and port of each entry host's announcement listener."""
    announce_key: str = ""
    """Bearer key of announcements; empty to send none."""
    heartbeat_ms: int = 1000
    """Longest time between two announcements, in milliseconds."""
    availability_zone: str = "a"
    """Availability zone of the host."""
    host_class: str = "small"
    """Class of the host."""
    price_per_hour: float = 0.2
    """Price of the host per hour."""
    reclaimable: bool = True
    """Whether the cloud may reclaim the host."""
    services: tuple[str, ...] = ("seats",)
    """Services that the host serves."""
    slots: int = 64
    """Maximum number of calls that run concurrently; further calls wait."""
    lookup_ms: float = 2.0
    """Duration of a lookup, in milliseconds."""
    execute_ms: float = 5.0
    """Duration of a purchase or filing, in milliseconds."""
    reports_zero_load: bool = False
    """Whether the announced load is always zero; simulates stuck measurements."""
    faults: FaultPlan = field(default_factory=FaultPlan)
    """Faults to inject into calls, but not into outcome queries."""
