"""Spreads departures of backend servers until each gateway knows them.

The gateway that learns of a departure sends it to all peers once and has it confirmed
by some of them before it acknowledges it. From then on every gateway that knows it
repeats it in its digests, so that no gateway depends on the datagrams of a single one.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s, to_ms
from tanagerturn.gateway.backends.departure_sources import (
    DepartureSource,
    log_departure,
)
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.warm_start import MAX_AGE_MS
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.backends.departures import Departure, StartKey

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.gateway.fleet import Fleet
    from tanagerturn.gateway.links import Links
    from tanagerturn.gateway.spread.mesh import Mesh
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.backends.messages import BackendId

CONFIRMATIONS: Final = 2
"""Number of peers that confirm a departure before it is acknowledged."""

ASKED_AT_ONCE: Final = 3
"""Number of peers that are asked at the same time; one of them may have stopped."""

CONFIRMATION_TIMEOUT_S: Final = 0.3
"""Timeout in seconds of one round of confirmations."""

CONFIRMATION_ROUNDS: Final = 2
"""Maximum number of rounds; a backend server waits 1 s for its acknowledgment."""

EXTENDED_DIGEST_INTERVAL: Final = 4
"""One digest in this number is extended: it also has older report windows, half of its
bytes, and departures that are not fresh."""

log = component_log("departures")


def encode_departures(departures: Iterable[Departure], now_s: float) -> gpb.Departures:
    """Return the message that states departures to peers.

    Args:
        departures: The departures.
        now_s: Current boot-clock time in seconds.
    """
    message = gpb.Departures()
    for departure in departures:
        left_ms = max(0, to_ms(departure.stops_at_s - now_s))
        message.starts.append(departure.start)
        message.leaving_in_ms.append(left_ms)
        if departure.is_reported:
            message.reported_starts.append(departure.start)
    return message


def encode_known_departures(fleet: Fleet, now_s: float) -> gpb.Departures:
    """Return the message that states all known departures and their ages.

    Args:
        fleet: Backend servers known to this gateway.
        now_s: Current boot-clock time in seconds.
    """
    departures = list(fleet.departures.by_start.values())
    message = encode_departures(departures, now_s)
    ages_s = (now_s - departure.learned_s for departure in departures)
    message.known_for_ms.extend(min(MAX_AGE_MS, max(0, to_ms(a))) for a in ages_s)
    return message


def restore_departures(
    fleet: Fleet, message: gpb.Departures, elapsed_s: float, now_s: float
) -> bool:
    """Apply departures that were known before a restart, here or at a peer.

    Args:
        fleet: Backend servers known to this gateway.
        message: The departures with their ages.
        elapsed_s: Time in seconds since the message was made.
        now_s: Current boot-clock time in seconds.

    Returns:
        Whether a backend server leaves by this message.
    """
    made_s = now_s - elapsed_s
    reported = set(message.reported_starts)
    ages_ms = list(message.known_for_ms) or [0] * len(message.starts)
    departures = [
        Departure(
            StartKey(number),
            made_s - age_ms / 1000,
            made_s + left_ms / 1000,
            is_reported=number in reported,
        )
        for number, left_ms, age_ms in zip(
            message.starts, message.leaving_in_ms, ages_ms, strict=False
        )
    ]
    return fleet.on_departures_restored(departures)


def apply_departures(
    state: GatewayState,
    message: gpb.Departures,
    source: DepartureSource,
    peer: str,
    now_s: float,
) -> bool:
    """Apply the departures that a peer states.

    Args:
        state: State of the gateway.
        message: The departures.
        source: How they were received.
        peer: Host or address of the peer.
        now_s: Current boot-clock time in seconds.

    Returns:
        Whether a backend server leaves by this message.
    """
    fleet, has_changed = state.fleet, False
    departures = fleet.departures
    stops_s: dict[StartKey, float] = {}
    for number, left_ms in zip(message.starts, message.leaving_in_ms, strict=False):
        start = StartKey(number)
        stops_s[start] = now_s + left_ms / 1000
        # Nearly all are known: up to 120 digests per second repeat the same ones.
        if start not in departures.by_start:
            backend = fleet.on_departed(start, stops_s[start], now_s)
            if backend is not None:
                has_changed = True
                log_departure(state, backend.id, source, peer)
    for start in departures.unconfirmed & stops_s.keys():
        departures.confirm(start)
    for number in message.reported_starts:
        start = StartKey(number)
        if start in stops_s:
            fleet.on_departure_reported(start, stops_s[start])
    return has_changed


def fill_departures(fleet: Fleet, digest: gpb.Digest, now_s: float) -> None:
    """Set the departures that a digest repeats.

    Args:
        fleet: Backend servers known to this gateway.
        digest: The digest; earlier departures are replaced.
        now_s: Current boot-clock time in seconds.
    """
    is_extended = digest.sequence % EXTENDED_DIGEST_INTERVAL == 0
    repeated = fleet.departures.take_repeated(now_s, includes_recent=is_extended)
    if repeated:
        digest.departures.CopyFrom(encode_departures(repeated, now_s))
    else:
        digest.ClearField("departures")


class DepartureSpread:
    """Sends new departures to the peers and has them confirmed.

    Args:
        state: State of the gateway.
        mesh: Membership of gateways and datagrams to peers.
        links: Links to peer gateways.
    """

    def __init__(self, state: GatewayState, mesh: Mesh, links: Links) -> None:
        self.state = state
        """State of the gateway."""
        self.mesh = mesh
        """Membership of gateways and datagrams to peers."""
        self.links = links
        """Links to peer gateways."""

    def send(self, start: StartKey, update: gpb.BackendNews, now_s: float) -> None:
        """Send a new departure to all peers.

        Args:
            start: The start that leaves.
            update: The same departure, for peers that do not repeat departures; empty
                if the backend server is unknown.
            now_s: Current boot-clock time in seconds.
        """
        departure = self.state.fleet.departures.by_start.get(start)
        if departure is not None:
            message = encode_departures([departure], now_s)
            datagram = gpb.Datagram(departures=message)
            self.mesh.send_to_repeating(datagram, now_s)
        if update.announcements:
            self.mesh.send_update(update, now_s, only_older=True)

    async def confirm(self, start: StartKey) -> bool:
        """Wait until peers have confirmed that they know a departure.

        A departure that only one gateway knows is lost with it, and would bind no other
        one, so it must not be acknowledged.

        Args:
            start: The start that leaves.

        Returns:
            Whether a peer knows it; also True if there is no peer at all, or none that
            confirms departures.
        """
        departures = self.state.fleet.departures
        asked: set[str] = set()
        confirmed = 0
        for _ in range(CONFIRMATION_ROUNDS):
            departure = departures.by_start.get(start)
            if departure is None or start not in departures.unconfirmed:
                return True
            peers = self.mesh.repeating_peers(boot_s())
            if not peers:
                has_older = bool(self.mesh.recent_digests(boot_s()))
                return has_older or self.mesh.is_alone(boot_s())
            candidates = [host for host in peers if host not in asked]
            count = min(ASKED_AT_ONCE, len(candidates))
            chosen = self.state.random.sample(candidates, count)
            asked.update(chosen)
            needed = min(CONFIRMATIONS - confirmed, len(chosen))
            confirmed += await self._ask(
                departure, [peers[host] for host in chosen], needed
            )
            if confirmed >= min(CONFIRMATIONS, len(peers)):
                break
        if confirmed:
            departures.confirm(start)
        else:
            log.warning("departure_unconfirmed", asked=len(asked))
        return confirmed > 0

    def on_acknowledged(
        self, backend_id: BackendId, start: StartKey, now_s: float
    ) -> None:
        """Log the first acknowledgment of a departure.

        Args:
            backend_id: Backend server that leaves.
            start: The start that leaves.
            now_s: Current boot-clock time in seconds.
        """
        departure = self.state.fleet.departures.by_start.get(start)
        if departure is None or departure.is_acknowledged:
            return
        departure.is_acknowledged = True
        log.info(
            "departure_acknowledged",
            backend=backend_id,
            took_s=round(now_s - departure.learned_s, 3),
            alone=start in self.state.fleet.departures.unconfirmed,
        )

    async def _ask(
        self, departure: Departure, addresses: Iterable[str], needed: int
    ) -> int:
        """Return how many peers confirm a departure, at most until enough have."""
        message = encode_departures([departure], boot_s())
        calls = [self._call(address, message) for address in addresses]
        confirmed = 0
        tasks = [asyncio.create_task(each) for each in calls]
        try:
            for done in asyncio.as_completed(tasks):
                confirmed += await done
                if confirmed >= needed:
                    break
        finally:
            # The others still receive the departure, but no one waits for them.
            for task in tasks:
                task.add_done_callback(_ignore_result)
        return confirmed

    async def _call(self, address: str, message: gpb.Departures) -> bool:
        frame = gpb.Frame(departures=message)
        answered = await self.links.link_to(address).call(frame, CONFIRMATION_TIMEOUT_S)
        return answered.is_ok() and answered.ok.WhichOneof("kind") == "done"


def _ignore_result(task: asyncio.Task[bool]) -> None:
    if not task.cancelled():
        task.exception()
