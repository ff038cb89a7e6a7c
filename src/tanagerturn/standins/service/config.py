"""Configuration of a stand-in service."""

from __future__ import annotations

from dataclasses import dataclass, field

from tanagerturn.standins.faults import FaultPlan


@dataclass(frozen=True)
class ServiceConfig:
    """What a stand-in service is and how fast it works."""

    id: str = "service"
    """Name of the backend server."""
    ip: str = "127.0.0.1"
    """IP number to listen on."""
    port: int = 0
    """Port to listen on; 0 takes a free one."""
    announce_to: tuple[str, ...] = ()
    """Announcement listeners of entry hosts."""
    announce_key: str = ""
    """Bearer key of announcements; empty for none."""
    heartbeat_ms: int = 1000
    """Longest time between two announcements."""
    availability_zone: str = "a"
    """Availability zone of the host."""
    host_class: str = "small"
    """Class of the host."""
    price_per_hour: float = 0.2
    """Price of the host."""
    reclaimable: bool = True
    """Whether the platform may take the host back."""
    services: tuple[str, ...] = ("seats",)
    """Services that it serves."""
    slots: int = 64
    """Calls that run at once; more wait."""
    lookup_ms: float = 2.0
    """Time of a lookup."""
    execute_ms: float = 5.0
    """Time of a purchase or filing."""
    load_stuck: bool = False
    """Reports no load, whatever runs."""
    faults: FaultPlan = field(default_factory=FaultPlan)
    """Faults committed on calls with an idempotency key, and on lookups."""
