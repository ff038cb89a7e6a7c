"""Reads orders from the state group before a gateway uses versions new to it."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s, to_ms
from tanagerturn.gateway.fleet import service_of
from tanagerturn.gateway.logs import component_log

if TYPE_CHECKING:
    from tanagerturn.gateway.rollouts.orders import RolloutOrders
    from tanagerturn.gateway.rollouts.table import RolloutTable
    from tanagerturn.gateway.state import GatewayState

LOOKUP_TIMEOUT_S: Final = 0.6
"""Timeout of one read in seconds; a read takes a few milliseconds."""

LOOKUP_INTERVAL_S: Final = 0.5
"""Minimum time in seconds between two reads of the order of one service."""

log = component_log("rollouts")


class OrderLookups:
    """Reads the orders of services with versions that are not confirmed.

    Args:
        state: State of the gateway.
        table: Rollouts that the gateway knows.
        orders: Orders in the state group.
    """

    def __init__(
        self, state: GatewayState, table: RolloutTable, orders: RolloutOrders
    ) -> None:
        self.state = state
        """State of the gateway."""
        self.table = table
        """Rollouts that the gateway knows."""
        self.orders = orders
        """Orders in the state group."""
        self.next_s: dict[str, float] = {}
        """Boot-clock time in seconds from which a service may be read again."""
        self.tasks: dict[str, asyncio.Task[None]] = {}
        """Reads in progress by service."""

    def tick(self, now_s: float) -> None:
        """Start the reads that are due."""
        now_ms = to_ms(self.state.wall_clock.read(now_s))
        versions: dict[str, set[str]] = {}
        for backend in self.state.fleet.view.backends.values():
            service = service_of(backend)
            versions.setdefault(service, set()).add(backend.software_version)
        for service, heard in versions.items():
            if service in self.tasks or now_s < self.next_s.get(service, 0.0):
                continue
            if self.table.needs_read(service, heard, now_ms):
                self.next_s[service] = now_s + LOOKUP_INTERVAL_S
                task = asyncio.create_task(self._look_up(service, heard))
                self.tasks[service] = task
                task.add_done_callback(partial(self._on_done, service))

    def _on_done(self, service: str, _: asyncio.Task[None]) -> None:
        del self.tasks[service]

    async def _look_up(self, service: str, heard: set[str]) -> None:
        read = await self.orders.read(service, LOOKUP_TIMEOUT_S)
        if read.is_error():
            log.info("rollout_not_read", service=service, reason=str(read.error))
            return
        stored = read.ok.rollout if read.ok is not None else None
        now_ms = to_ms(self.state.wall_clock.read(boot_s()))
        self.table.on_confirmed(service, stored, heard, now_ms)
