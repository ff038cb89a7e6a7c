"""Gateways that spread departures of backend servers, in simulated time.

The fleets, the digests, the broadcasts and their order are those of a gateway; links of
hosts and datagrams between them are simulated. Confirmations arrive as they would over
links between gateways.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, replace
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, Final

from support.gateway_world import gateway_settings
from tanagerturn.gateway.backends.departure_sources import DepartureSource
from tanagerturn.gateway.fleet import Fleet
from tanagerturn.gateway.metrics import make_gateway_metrics
from tanagerturn.gateway.spread.departures import (
    CONFIRMATIONS,
    DepartureSpread,
    apply_departures,
    encode_departures,
    fill_departures,
)
from tanagerturn.gateway.spread.mesh import BATCH_INTERVAL_S, Mesh, Peer
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.schema import membership_pb2 as mpb
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.backends.departures import start_key
from tanagerturn.serving.backends.messages import BackendId

if TYPE_CHECKING:
    from collections.abc import Callable

HOP_S: Final = 0.003
"""Time in seconds that a datagram or a frame takes."""

START_S: Final = 1_000.0
"""Simulated boot-clock time in seconds at which a simulation begins."""

HEADER_BYTES: Final = 28
"""Bytes of the headers of a datagram."""

LINK_BYTES_PER_S: Final = 312_500.0
"""Rate in bytes per second of a host's network link, 2.5 Mbit/s."""

LINK_QUEUE_BYTES: Final = 25_000
"""Bytes that wait at a host's link before the end of the queue is dropped."""


@dataclass(frozen=True)
class Faults:
    """What goes wrong in a simulation."""

    loss: float = 0.0
    """Fraction of the datagrams that are lost."""
    first_lost_s: float = 0.0
    """Time in seconds for which all datagrams of the first gateway are lost."""
    first_dies: bool = False
    """Whether the first gateway dies when it has acknowledged the departure, with none
    of its datagrams sent."""
    digest_bytes: int = 300
    """Size of digests without departures; 2 KB under load."""
    older: float = 0.0
    """Fraction of the gateways that do not know departures of digests."""


class LinkSocket:
    """Socket of one gateway, behind a network link that drops the end of its queue."""

    def __init__(self, network: DepartureNetwork, number: int) -> None:
        self.network = network
        self.number = number
        self.free_s = START_S
        """Time in seconds at which the link has sent all that waits."""
        self.dropped = 0
        """Number of datagrams that a full link dropped."""
        self.sent_bytes = 0
        """Bytes of all datagrams, with their headers."""

    def send(self, data: bytes, ip: str, port: int) -> None:
        """Send a datagram unless it is lost."""
        network, now_s = self.network, self.network.now_s
        size = len(data) + HEADER_BYTES
        if gpb.Datagram.FromString(data).WhichOneof("kind") == "digest":
            size += network.faults.digest_bytes
        waiting_bytes = max(0.0, self.free_s - now_s) * LINK_BYTES_PER_S
        if waiting_bytes + size > LINK_QUEUE_BYTES:
            self.dropped += 1
            return
        self.free_s = max(self.free_s, now_s) + size / LINK_BYTES_PER_S
        self.sent_bytes += size
        if network.is_lost(self.number):
            return
        target = network.nodes[network.number_of[ip]]
        network.at(self.free_s + HOP_S, lambda: target.receive(data))


class Node:
    """One gateway: what it knows of backend servers, and its datagrams."""

    def __init__(self, network: DepartureNetwork, number: int, *, older: bool) -> None:
        self.network = network
        self.number = number
        self.is_older = older
        self.is_running = True
        settings = replace(gateway_settings(), host=f"g{number}", ip=f"ip{number}")
        metrics = make_gateway_metrics()
        self.state: Any = SimpleNamespace(fleet=Fleet(settings.host), metrics=metrics)
        self.mesh = Mesh(
            settings,
            Random(network.random.random()),
            self.fill_digest,
            lambda digest, now_s: (
                None if older else fill_departures(self.state.fleet, digest, now_s)
            ),
            lambda digest, now_s: None,
            lambda datagram, peer, now_s: None,
            lambda version, ip: None,
        )
        self.mesh.datagram_socket = LinkSocket(network, number)  # type: ignore[assignment]
        self.spread = DepartureSpread(self.state, self.mesh, links=None)  # type: ignore[arg-type]
        self.learned_s: dict[str, float] = {}
        """Time in seconds at which each departure was learned, by backend server."""

    def fill_digest(self, digest: gpb.Digest, now_s: float) -> None:
        """State whether this gateway repeats departures."""
        digest.repeats_departures = not self.is_older

    def meet(self, others: list[Node]) -> None:
        """Know all other gateways as present."""
        now_ms = int(START_S * 1000)
        for other in others:
            info = mpb.ProcessInfo(address=f"ip{other.number}:1")
            update = mpb.Update(
                process=f"g{other.number}",
                incarnation=1,
                health=mpb.ALIVE,
                info=info,
            )
            assert self.mesh.core.table.apply(update, now_ms)
            digest = gpb.Digest(repeats_departures=not other.is_older)
            self.mesh.peers[f"g{other.number}"] = Peer(digest, START_S)

    def know(self, backend_id: str) -> None:
        """Know a backend server that serves."""
        announcement = make_announcement(backend_id)
        now_s = self.network.now_s
        self.state.fleet.on_announcement(announcement, now_s, heard=False)

    def selects(self, backend_id: str) -> bool:
        """Return whether this gateway may send requests to a backend server."""
        candidates = self.state.fleet.candidates("desk", (), self.network.now_s)
        return any(backend.id == backend_id for backend in candidates)

    def withdraw(self, backend_id: str) -> None:
        """Learn from a backend server that it leaves, and spread it."""
        network, fleet = self.network, self.state.fleet
        news = fleet.on_withdrawal(BackendId(backend_id), 1, 3_000, network.now_s)
        self.note_learned()
        start = start_key(BackendId(backend_id), 1)
        update = gpb.BackendNews(announcements=[news])
        if self.is_older:
            self.mesh.send_update(update, network.now_s)
            network.acknowledged_s[backend_id] = network.now_s
            return
        self.spread.send(start, update, network.now_s)
        message = encode_departures([fleet.departures.by_start[start]], network.now_s)
        others = [n for n in network.nodes if n is not self and not n.is_older]
        confirming = network.random.sample(others, min(CONFIRMATIONS, len(others)))
        for node in confirming:
            network.at(network.now_s + HOP_S, lambda node=node: node.apply(message))
        acknowledged_s = network.now_s + 2 * HOP_S

        def acknowledge() -> None:
            network.acknowledged_s[backend_id] = network.now_s
            if network.faults.first_dies:
                self.is_running = False

        network.at(acknowledged_s, acknowledge)

    def receive(self, data: bytes) -> None:
        """Apply a datagram."""
        if not self.is_running:
            return
        datagram, now_s = gpb.Datagram.FromString(data), self.network.now_s
        kind = datagram.WhichOneof("kind")
        if kind == "news":
            self.state.fleet.on_backend_updates(datagram.news, now_s)
            self.note_learned()
        elif kind == "digest" and not self.is_older:
            self.apply(datagram.digest.departures)
        elif kind == "departures" and not self.is_older:
            self.apply(datagram.departures)

    def apply(self, message: gpb.Departures) -> None:
        """Apply departures that a peer states."""
        source, now_s = DepartureSource.DIGEST, self.network.now_s
        if apply_departures(self.state, message, source, "", now_s):
            self.note_learned()

    def note_learned(self) -> None:
        """Record the time at which departures were learned."""
        for backend in self.state.fleet.view.backends.values():
            if backend.leaving:
                self.learned_s.setdefault(backend.id, self.network.now_s)

    def exchange(self) -> None:
        """Send what is due, as a gateway does in each batch interval."""
        if self.is_running:
            now_s = self.network.now_s
            self.mesh.prepare_digest(now_s)
            self.mesh.send_broadcasts(now_s)
            self.mesh.send_next_batch(now_s)


class DepartureNetwork:
    """Gateways that know the same backend servers.

    Args:
        gateways: Number of gateways.
        backends: Number of backend servers.
        faults: What goes wrong.
        seed: Seed of all random choices.
    """

    def __init__(self, gateways: int, backends: int, faults: Faults, seed: int) -> None:
        self.faults = faults
        self.random = Random(seed)
        self.now_s = START_S
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.acknowledged_s: dict[str, float] = {}
        """Time in seconds at which each departure was acknowledged."""
        self.number_of = {f"ip{number}": number for number in range(gateways)}
        older_count = int(faults.older * gateways)
        self.nodes = [
            Node(self, number, older=number >= gateways - older_count)
            for number in range(gateways)
        ]
        for node in self.nodes:
            node.meet([other for other in self.nodes if other is not node])
            for number in range(backends):
                node.know(f"i-{number}")
            node.mesh.next_digest_s = START_S + (
                self.random.random() * node.mesh.digest_interval_s()
            )
            self._exchange_regularly(node, self.random.random() * BATCH_INTERVAL_S)

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time in seconds."""
        self.event_count += 1
        heapq.heappush(self.events, (at_s, self.event_count, action))

    def run_until(self, end_s: float) -> None:
        """Simulate until a time in seconds."""
        while self.events and self.events[0][0] < end_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        self.now_s = end_s

    def run_until_known(self, end_s: float) -> None:
        """Simulate until all gateways know all departures, or until a time."""
        while self.now_s < end_s:
            self.run_until(min(end_s, self.now_s + CHECK_INTERVAL_S))
            if self.acknowledged_s and self.longest_s() < end_s:
                return

    def is_lost(self, number: int) -> bool:
        """Return whether a datagram that a gateway sends now is lost."""
        faults = self.faults
        if number == 0 and faults.first_dies:
            return True
        is_first_lost = self.now_s < START_S + SETTLE_S + faults.first_lost_s
        if number == 0 and is_first_lost and self.now_s >= START_S + SETTLE_S:
            return True
        return self.random.random() < faults.loss

    def late_gateways(self, backend_id: str, bound_s: float) -> list[int]:
        """Return the gateways that did not know a departure at its bound.

        Args:
            backend_id: The backend server that leaves.
            bound_s: Time in seconds after the acknowledgment.
        """
        bound_s += self.acknowledged_s[backend_id]
        return [
            node.number
            for node in self.nodes
            if node.is_running and node.learned_s.get(backend_id, 1e9) > bound_s
        ]

    def longest_s(self) -> float:
        """Return the longest time from an acknowledgment to a gateway that learns."""
        return max(
            node.learned_s.get(backend_id, 1e9) - at_s
            for backend_id, at_s in self.acknowledged_s.items()
            for node in self.nodes
            if node.is_running
        )

    def _exchange_regularly(self, node: Node, offset_s: float) -> None:
        def act() -> None:
            node.exchange()
            self.at(self.now_s + BATCH_INTERVAL_S, act)

        self.at(self.now_s + offset_s, act)


CHECK_INTERVAL_S: Final = 0.1
"""Simulated time in seconds between two checks whether all gateways know."""

SETTLE_S: Final = 2.0
"""Time in seconds before the first departure, in which all gateways send digests."""


def make_announcement(backend_id: str) -> serving_pb2.Announcement:
    """Return an announcement of a backend server that is ready."""
    return serving_pb2.Announcement(
        id=backend_id,
        address=f"10.0.0.1:{1 + int(backend_id.removeprefix('i-'))}",
        incarnation="b1",
        sequence=1,
        services=["desk"],
        models=[serving_pb2.LoadedModel(model="m", version="1", ready=True)],
        availability_zone="zone-a",
        software_version="v1",
        slots=64,
        heartbeat_ms=60_000,
        born_ms=1,
    )
