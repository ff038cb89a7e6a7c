"""How a gateway learns that a backend server leaves, for its log and metrics."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from tanagerturn.gateway.logs import component_log
from tanagerturn.serving.backends.messages import BackendId

if TYPE_CHECKING:
    from tanagerturn.gateway.fleet import Fleet
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.schema import gateway_pb2 as gpb

log = component_log("departures")


class DepartureSource(Enum):
    """Where a gateway learned that a backend server leaves."""

    ANNOUNCEMENT = "announcement"
    """The backend server announced it to this gateway."""
    WITHDRAWAL = "withdrawal"
    """The backend server withdrew at this gateway."""
    RESPONSE = "response"
    """The backend server stated it in a response."""
    UPDATE = "update"
    """A peer gateway sent an update to all others."""
    DEPARTURES = "departures"
    """A peer gateway that had just learned of it sent it to all others."""
    CONFIRMATION = "confirmation"
    """A peer gateway had it confirmed."""
    DIGEST = "digest"
    """The digest of a peer gateway repeats it."""
    REGISTRY = "registry"
    """This gateway fetched the registry of a peer gateway."""


def staying_ids(fleet: Fleet, news: gpb.BackendNews) -> list[BackendId]:
    """Return the backend servers that leave by an update, and are not known to leave.

    Args:
        fleet: Backend servers known to this gateway, before the update is applied.
        news: The update.
    """
    known = fleet.view.backends
    leaving = [BackendId(a.id) for a in news.announcements if a.leaving]
    leaving += [BackendId(departure.backend) for departure in news.departures]
    return [i for i in leaving if i in known and not known[i].leaving]


def log_departure(
    state: GatewayState,
    backend_id: str,
    source: DepartureSource,
    peer: str = "",
    sending: int = 0,
) -> None:
    """Log and count a backend server that this gateway has just learned to be leaving.

    Args:
        state: State of the gateway.
        backend_id: The backend server.
        source: Where its departure was learned.
        peer: Address of the peer gateway; empty if no peer sent it.
        sending: Number of the sending of an update, from 1; 0 for other sources.
    """
    state.metrics.departures.labels(source.value).inc()
    log.info(
        "departure_learned",
        backend=backend_id,
        source=source.value,
        peer=peer,
        sending=sending,
    )
