"""Learns when backend servers that are being reclaimed end.

Their announcements tell only that they leave. The cloud gives them more or less time
than a planned stop does, and streams have to be moved before it is over.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.calls import call
from tanagerturn.gateway.logs import part_log
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import BackendId

ASK_TIMEOUT_S: Final = 0.3
"""Longest time to wait for an answer: many round trips within a region."""

ASK_AGAIN_S: Final = 0.15
"""Time between two questions: what an engine tells of itself is about 100 ms old."""

ASK_TIMES: Final = 3
"""Questions to one backend server; each has a price."""

log = part_log("departures")


class Departures:
    """Asks backend servers when they end, and tells other gateways.

    Args:
        state: State of the gateway.
        tell: Tells all other gateways.
    """

    def __init__(
        self, state: GatewayState, tell: Callable[[gpb.BackendNews], None]
    ) -> None:
        self.state = state
        """State of the gateway."""
        self.tell = tell
        """Tells all other gateways."""
        self.asking: dict[BackendId, asyncio.Task[None]] = {}
        """Questions under way."""

    def on_leaving(self, backend_id: BackendId) -> None:
        """Ask a backend server that has begun to leave, if it is being reclaimed."""
        backend = self.state.fleet.view.backends.get(backend_id)
        if backend is None or not backend.reclaimable or backend_id in self.asking:
            return
        task = asyncio.create_task(self._ask(backend))
        self.asking[backend_id] = task
        task.add_done_callback(lambda _: self.asking.pop(backend_id, None))

    async def _ask(self, backend: Backend) -> None:
        """Ask until it tells, a few times; its usual time counts until then."""
        path = self.state.dialect.report_path
        reason = "it does not tell"
        for _ in range(ASK_TIMES):
            answered = await call(
                backend.address, path, [], b"", ASK_TIMEOUT_S, method="GET"
            )
            told = answered.bind(
                lambda a: self.state.dialect.decode_report(
                    a.status, a.body, backend.address
                )
            )
            if told.is_error():
                reason = str(told.error)
            elif told.ok.leaving_in_ms is not None:
                self._take(backend, told.ok.leaving_in_ms)
                return
            await asyncio.sleep(ASK_AGAIN_S)
        log.info("departure_unknown", backend=backend.id, reason=reason)

    def _take(self, backend: Backend, leaving_in_ms: int) -> None:
        departure = gpb.Departure(
            backend=backend.id,
            born_ms=backend.announcement.born_ms,
            leaving_in_ms=leaving_in_ms,
        )
        self.state.fleet.on_departure(departure, boot_s())
        log.info("departure_told", backend=backend.id, leaving_in_ms=leaving_in_ms)
        self.tell(gpb.BackendNews(departures=[departure]))
