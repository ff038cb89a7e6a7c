"""What a gateway needs to serve at once after a start, and where it gets it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s, wall_ms
from tanagerturn.gateway.logs import part_log
from tanagerturn.gateway.warm_start import (
    aged_backends,
    make_warm_start,
    read_warm_start,
    write_warm_start,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.gateway.configurations import Configurations
    from tanagerturn.gateway.digests import DigestExchange
    from tanagerturn.gateway.mesh import Mesh
    from tanagerturn.gateway.state import GatewayState

REMEMBER_S: Final = 1.0
"""Time between two writes of what the next start needs."""

ASK_SEEDS_S: Final = 0.05
"""Time between the first two questions to a seed; it doubles with each, as seeds
that start at the same moment listen a few tenths of a second later."""

ASK_SEEDS_MOST_S: Final = 0.4
"""Longest of these times: before the first configuration nobody can answer."""

log = part_log("starting")


class Starting:
    """What is remembered on the own disk, or told by seeds.

    Args:
        state: State of the gateway.
        configurations: The way of configurations.
        mesh: Datagrams to other gateways.
        digests: What gateways tell each other.
        loop: The event loop.
    """

    def __init__(
        self,
        state: GatewayState,
        configurations: Configurations,
        mesh: Mesh,
        digests: DigestExchange,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.state = state
        """State of the gateway."""
        self.configurations = configurations
        """The way of configurations."""
        self.mesh = mesh
        """Datagrams to other gateways."""
        self.digests = digests
        """What gateways tell each other."""
        self.loop = loop
        """The event loop."""
        self.remembering: asyncio.Future[None] | None = None
        """Write of what the next start needs that is under way."""

    def recall(self, seed_ips: Iterable[str]) -> None:
        """Take over what was remembered before a restart."""
        folder = self.state.settings.data_folder
        if folder is None:
            return
        warm = read_warm_start(folder)
        self.mesh.set_seeds([*seed_ips, *warm.gateway_ips])
        if warm.configuration.version:
            self.configurations.adopt_stored(warm.configuration)
        self.state.fleet.on_news(aged_backends(warm, wall_ms()), boot_s())

    def remember(self) -> None:
        """Write what the next start needs, beside the event loop."""
        folder = self.state.settings.data_folder
        is_busy = self.remembering is not None and not self.remembering.done()
        if folder is None or is_busy or not self.state.configuration.version:
            return
        now_s = boot_s()
        addresses = [digest.link_address for digest in self.mesh.present(now_s)]
        news = self.state.fleet.news(now_s)
        warm = make_warm_start(self.configurations.stored, news, addresses, wall_ms())
        writing = self.loop.run_in_executor(None, write_warm_start, folder, warm)
        writing.add_done_callback(_log_not_remembered)
        self.remembering = writing

    async def ask_seeds(self, seed_ips: Iterable[str]) -> None:
        """Ask seeds for what a start needs, until one tells it or others have.

        Gateways without a disk would wait until others have found them anew.
        """
        settings = self.state.settings
        others = [ip for ip in seed_ips if ip != settings.ip]
        addresses = [f"{ip}:{settings.link_port}" for ip in others]
        await asyncio.gather(*(self._ask_seed(address) for address in addresses))

    async def _ask_seed(self, address: str) -> None:
        pause_s = ASK_SEEDS_S
        while not self.state.configuration.version:
            if await self.configurations.fetch(address):
                await self.digests.pull_registry(address)
                return
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, ASK_SEEDS_MOST_S)


def _log_not_remembered(writing: asyncio.Future[None]) -> None:
    if not writing.cancelled() and writing.exception() is not None:
        log.info("not_remembered", reason=str(writing.exception()))
