"""Handles announcements of backend servers and configuration calls of operators."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s, to_ms
from tanagerturn.coordination.errors import RefusedError
from tanagerturn.gateway.backends.departure_sources import (
    DepartureSource,
    log_departure,
)
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.messages import (
    Announce,
    ControlCall,
    GetConfiguration,
    GetRollout,
    MalformedCall,
    PutConfiguration,
    StartRollout,
    Withdraw,
)
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.backends.departures import start_key
from tanagerturn.serving.backends.messages import BackendId

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tanagerturn.gateway.backends.departures import DepartureTracker
    from tanagerturn.gateway.callers.exchange import Exchange
    from tanagerturn.gateway.configuration_distributor import ConfigurationDistributor
    from tanagerturn.gateway.messages import RawHeaders
    from tanagerturn.gateway.rollouts.rollouts import Rollouts
    from tanagerturn.gateway.spread.departures import DepartureSpread
    from tanagerturn.gateway.spread.mesh import Mesh
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.backends.departures import StartKey

JSON: Final[RawHeaders] = [(b"Content-Type", b"application/json")]

STARTUP_GRACE_S: Final = 4.0
"""Time in seconds after the start during which a gateway may not know all backend
servers yet; the withdrawal of an unknown one then gets status 503."""

ASKED_PEERS: Final = 2
"""Number of peers whose registry is read for an unknown backend server; one of them may
have just started."""

LEARN_TIMEOUT_S: Final = 0.15
"""Timeout in seconds of reading a peer's registry; a backend server waits 1 s for its
acknowledgment, of which the confirmations take up to 0.6 s."""

log = component_log("control")


class Control:
    """Handler of the listener for backend servers and operators.

    Args:
        state: State that the components of the gateway share.
        mesh: Membership of gateways and datagrams to peers.
        configurations: Stores, distributes and applies configurations.
        departures: Queries leaving backend servers for their departure time.
        spread: Sends departures to the peers and has them confirmed.
        fetch_registry: Fetches and applies the registry of the peer gateway at a link
            address.
        started_s: Boot-clock time of the process start in seconds.
        rollouts: Rollouts of services; None unless the settings allow them.
    """

    def __init__(
        self,
        state: GatewayState,
        mesh: Mesh,
        configurations: ConfigurationDistributor,
        departures: DepartureTracker,
        spread: DepartureSpread,
        fetch_registry: Callable[[str], Awaitable[bool]],
        started_s: float,
        rollouts: Rollouts | None = None,
    ) -> None:
        self.state = state
        """State that the components of the gateway share."""
        self.mesh = mesh
        """Membership of gateways and datagrams to peers."""
        self.configurations = configurations
        """Stores, distributes and applies configurations."""
        self.departures = departures
        """Queries leaving backend servers for their departure time."""
        self.spread = spread
        """Sends departures to the peers and has them confirmed."""
        self.fetch_registry = fetch_registry
        """Fetches and applies the registry of a peer gateway."""
        self.started_s = started_s
        """Boot-clock time of the process start in seconds."""
        self.rollouts = rollouts
        """Rollouts of services; None unless the settings allow them."""

    async def handle(self, exchange: Exchange) -> None:
        """Execute one control call and send its response."""
        call = self.state.dialect.decode_control(
            exchange.method, exchange.target, bytes(exchange.body)
        )
        try:
            status, body = await self.execute(call)
        except asyncio.CancelledError:
            if not self.state.is_stopping_now or exchange.connection.tcp.at_eof:
                raise
            # A configuration may still be stored; the caller sends it again elsewhere.
            status, body = 503, b"{}"
        await exchange.respond(status, JSON, body)

    @singledispatchmethod
    async def execute(self, call: ControlCall) -> tuple[int, bytes]:
        """Execute a control call and return the status and body of its response."""
        raise TypeError(f"no handler for call {call!r}")

    @execute.register
    async def _(self, call: MalformedCall) -> tuple[int, bytes]:
        log.info("call_refused", status=call.status, reason=call.reason)
        return call.status, b"{}"

    @execute.register
    async def _(self, call: Announce) -> tuple[int, bytes]:
        now_s, fleet = boot_s(), self.state.fleet
        announcement = call.announcement
        backend_id = BackendId(announcement.id)
        start = start_key(backend_id, announcement.born_ms)
        if fleet.on_announcement(announcement, now_s, heard=True):
            log.info(
                "backend_announced",
                backend=announcement.id,
                address=announcement.address,
                service=",".join(announcement.services),
                leaving=announcement.leaving,
                leaving_in_ms=announcement.leaving_in_ms,
            )
            update = gpb.BackendNews(announcements=[announcement])
            if announcement.leaving:
                log_departure(self.state, backend_id, DepartureSource.ANNOUNCEMENT)
                self.spread.send(start, update, now_s)
                self.departures.on_leaving(backend_id)
            else:
                self.mesh.send_update(update, now_s)
        if not fleet.is_in_force(announcement):
            log.info(
                "announcement_ignored",
                backend=announcement.id,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
            )
            return 409, b"{}"
        if announcement.leaving:
            return await self._acknowledge(backend_id, start)
        return 200, b"{}"

    @execute.register
    async def _(self, call: Withdraw) -> tuple[int, bytes]:
        fleet, drain_s = self.state.fleet, self.state.settings.drain_s
        if not call.born_ms and call.backend_id not in fleet.view.backends:
            await self._learn_backend(call.backend_id)
        now_s = boot_s()
        known = fleet.view.backends.get(call.backend_id)
        was_leaving = known is not None and known.leaving
        born_ms = call.born_ms
        if not born_ms and known is not None:
            born_ms = known.announcement.born_ms
        news = fleet.on_withdrawal(call.backend_id, born_ms, to_ms(drain_s), now_s)
        is_unknown = known is None and born_ms > 0
        if news is None and not is_unknown:
            is_starting = now_s - self.started_s < STARTUP_GRACE_S
            return (503 if is_starting else 200), b"{}"
        # Of an unknown start, peers may know, and this gateway may learn later.
        start = start_key(call.backend_id, born_ms)
        fleet.departures.record(start, now_s + drain_s, now_s)
        if is_unknown or not was_leaving:
            log.info("backend_withdrawn", backend=call.backend_id)
            log_departure(self.state, call.backend_id, DepartureSource.WITHDRAWAL)
            announcements = [] if news is None else [news]
            update = gpb.BackendNews(announcements=announcements)
            self.spread.send(start, update, now_s)
        if news is not None:
            self.departures.on_leaving(call.backend_id)
        return await self._acknowledge(call.backend_id, start)

    async def _learn_backend(self, backend_id: BackendId) -> None:
        """Learn a backend server that only peers know, from one or two of them.

        Without its start time, its withdrawal would bind no gateway.
        """
        fleet = self.state.fleet
        peers = list(self.mesh.repeating_peers(boot_s()).values())
        for address in self.state.random.sample(peers, min(ASKED_PEERS, len(peers))):
            with suppress(TimeoutError):
                async with asyncio.timeout(LEARN_TIMEOUT_S):
                    await self.fetch_registry(address)
            if backend_id in fleet.view.backends:
                return

    async def _acknowledge(
        self, backend_id: BackendId, start: StartKey
    ) -> tuple[int, bytes]:
        """Return the response to a departure, once peers have confirmed it."""
        if not await self.spread.confirm(start):
            return 503, b"{}"
        self.spread.on_acknowledged(backend_id, start, boot_s())
        return 200, b"{}"

    @execute.register
    async def _(self, call: PutConfiguration) -> tuple[int, bytes]:
        accepted = await self.configurations.put(call.document)
        if accepted.is_ok():
            return 200, b"{}"
        error = accepted.error
        return (400 if isinstance(error, RefusedError) else 503), b"{}"

    @execute.register
    async def _(self, call: GetConfiguration) -> tuple[int, bytes]:
        newest = await self.configurations.read_newest()
        if newest.is_error():
            log.info("read_refused", reason=str(newest.error))
            return 503, b"{}"
        return 200, newest.ok

    @execute.register
    async def _(self, call: StartRollout) -> tuple[int, bytes]:
        return (
            (404, b"{}") if self.rollouts is None else await self.rollouts.start(call)
        )

    @execute.register
    async def _(self, call: GetRollout) -> tuple[int, bytes]:
        return (404, b"{}") if self.rollouts is None else await self.rollouts.get(call)
