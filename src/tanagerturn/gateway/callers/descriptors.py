"""Divides the file descriptors of a process among its listeners; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

DEFAULT_MAX_FDS: Final = 1_024
"""Descriptor limit if the settings state none: the usual limit of a process."""

CALLERS_SHARE: Final = 0.45
"""Share of the descriptors for callers. Each running request needs a second one for its
connection to a backend server."""

PEERS_SHARE: Final = 0.1
CONTROL_SHARE: Final = 0.1
CHECKS_SHARE: Final = 0.02
MIN_CONNECTIONS: Final = 4


@dataclass(frozen=True)
class ConnectionLimits:
    """Largest numbers of open connections of the listeners.

    The other descriptors are for connections to backend servers, links and files.
    """

    callers: int
    """At the listener for callers."""
    peers: int
    """At the listener for requests that peers forward."""
    control: int
    """At the listener for backend servers and operators."""
    checks: int
    """At the readiness listener, and at the metrics listener."""


def connection_limits(max_fds: int) -> ConnectionLimits:
    """Return the largest numbers of connections within a descriptor limit."""

    def share(fraction: float) -> int:
        return max(MIN_CONNECTIONS, int(max_fds * fraction))

    return ConnectionLimits(
        callers=share(CALLERS_SHARE),
        peers=share(PEERS_SHARE),
        control=share(CONTROL_SHARE),
        checks=share(CHECKS_SHARE),
    )
