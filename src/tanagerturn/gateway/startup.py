"""Loads and saves the state that a gateway needs to serve right after its start."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s, wall_ms
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.quarantine import (
    apply_suspects,
    encode_suspects,
    reported_parts,
)
from tanagerturn.gateway.repeats import (
    apply_suspect_requests,
    encode_suspect_requests,
    reported_requests,
)
from tanagerturn.gateway.spread.departures import restore_departures
from tanagerturn.gateway.stream_origins import apply_origins, encode_saved_origins
from tanagerturn.gateway.warm_start import (
    aged_backends,
    aged_origins,
    aged_suspect_requests,
    aged_suspects,
    has_fresh_origins,
    make_warm_start,
    read_warm_start,
    write_warm_start,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.gateway.configuration_distributor import ConfigurationDistributor
    from tanagerturn.gateway.spread.digests import DigestExchange
    from tanagerturn.gateway.spread.mesh import Mesh
    from tanagerturn.gateway.state import GatewayState

SAVE_INTERVAL_S: Final = 1.0
"""Interval in seconds at which the warm start is saved."""

SEED_RETRY_S: Final = 0.05
"""Time in seconds between the first two requests to a seed, doubled after each request:
seeds that start at the same moment listen a few tenths of a second later."""

REGISTRY_WAIT_S: Final = 5.0
"""Time in seconds after the start for which a registry is asked for once there is a
configuration; by then peers send digests."""

MAX_SEED_RETRY_S: Final = 0.4
"""Longest time in seconds between two requests to a seed; until a first configuration
exists no seed can return one."""

log = component_log("starting")


class Startup:
    """Loads the configuration and the registry from the local disk or from seeds.

    Args:
        state: State that the components of the gateway share.
        configurations: Stores, distributes and applies configurations.
        mesh: Membership of gateways and datagrams to peers.
        digests: Builds and applies the digests that gateways exchange.
        loop: Event loop of the gateway.
    """

    def __init__(
        self,
        state: GatewayState,
        configurations: ConfigurationDistributor,
        mesh: Mesh,
        digests: DigestExchange,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.state = state
        """State that the components of the gateway share."""
        self.configurations = configurations
        """Stores, distributes and applies configurations."""
        self.mesh = mesh
        """Membership of gateways and datagrams to peers."""
        self.digests = digests
        """Builds and applies the digests that gateways exchange."""
        self.loop = loop
        """Event loop of the gateway."""
        self.has_registry = False
        """Whether a seed has provided its registry since the start."""
        self.saved_count = 0
        """Number of departures that had been recorded at the last save."""
        self.save_task: asyncio.Future[None] | None = None
        """The last write of the warm start; None before the first one."""

    def load(self, seed_ips: Iterable[str]) -> None:
        """Apply the warm start saved before a restart, if there is one."""
        folder = self.state.settings.data_folder
        if folder is None:
            return
        warm_start = read_warm_start(folder)
        self.mesh.set_seeds([*seed_ips, *warm_start.gateway_ips])
        if warm_start.configuration.version:
            self.configurations.adopt_stored(warm_start.configuration)
        if self.digests.rollouts is not None:
            self.digests.rollouts.apply_knowledge(warm_start.backends, boot_s())
        fleet = self.state.fleet
        # Departures come first: they also bind backend servers that are restored.
        elapsed_s = max(0, wall_ms() - warm_start.written_at_ms) / 1000
        departures = warm_start.backends.known_departures
        restore_departures(fleet, departures, elapsed_s, boot_s())
        fleet.on_backend_updates(aged_backends(warm_start, wall_ms()), boot_s())
        suspects = aged_suspects(warm_start, wall_ms())
        apply_suspects(self.state.quarantine, suspects, boot_s())
        suspect_requests = aged_suspect_requests(warm_start, wall_ms())
        apply_suspect_requests(self.state.repeats, suspect_requests, boot_s())
        origins = aged_origins(warm_start, wall_ms())
        if origins is not None:
            apply_origins(self.state.stream_origins, origins, boot_s())
            is_fresh = has_fresh_origins(warm_start, wall_ms())
            self.state.stream_origins.on_restored(boot_s(), is_fresh=is_fresh)

    def remember(self) -> None:
        """Save the warm start in a thread, unless a write is in progress."""
        folder = self.state.settings.data_folder
        in_progress = self.save_task is not None and not self.save_task.done()
        if folder is None or in_progress or not self.state.configuration.version:
            return
        now_s = boot_s()
        addresses = [digest.link_address for digest in self.mesh.recent_digests(now_s)]
        news = self.digests.backend_updates(now_s, with_departures=True)
        self.saved_count = self.state.fleet.departures.recorded_count
        quarantine = self.state.quarantine
        parts = reported_parts(quarantine, now_s)
        suspects = encode_suspects(quarantine, parts, now_s)
        repeats, origins = self.state.repeats, self.state.stream_origins
        requests = reported_requests(repeats, now_s)
        warm_start = make_warm_start(
            self.configurations.stored_configuration,
            news,
            suspects,
            encode_suspect_requests(repeats, requests, now_s),
            encode_saved_origins(origins, now_s),
            addresses,
            wall_ms(),
        )
        write_task = self.loop.run_in_executor(
            None, write_warm_start, folder, warm_start
        )
        write_task.add_done_callback(_log_save_error)
        self.save_task = write_task

    def remember_departures(self) -> None:
        """Save the warm start if a departure was recorded since the last save."""
        if self.state.fleet.departures.recorded_count != self.saved_count:
            self.remember()

    async def fetch_from_seeds(self, seed_ips: Iterable[str]) -> None:
        """Fetch the configuration and the registry from seeds.

        Stops as soon as any source has provided a configuration, and a seed its
        registry. Without these fetches, a gateway without a disk would wait until its
        peers discover it, and would not know which backend servers leave.
        """
        settings = self.state.settings
        peer_ips = [ip for ip in seed_ips if ip != settings.ip]
        addresses = [f"{ip}:{settings.link_port}" for ip in peer_ips]
        await asyncio.gather(*(self._fetch_from_seed(address) for address in addresses))

    async def _fetch_from_seed(self, address: str) -> None:
        delay_s = SEED_RETRY_S
        given_up_s = boot_s() + REGISTRY_WAIT_S
        while not self.has_registry:
            has_configuration = bool(self.state.configuration.version)
            if has_configuration and boot_s() >= given_up_s:
                return
            if has_configuration or await self.configurations.fetch(address):
                self.has_registry |= await self.digests.fetch_registry(
                    address, with_departures=True
                )
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_SEED_RETRY_S)


def _log_save_error(write_task: asyncio.Future[None]) -> None:
    if not write_task.cancelled() and write_task.exception() is not None:
        log.info("not_remembered", reason=str(write_task.exception()))
