"""Finds out when backend servers that are being reclaimed will stop.

Their announcements state only that they are leaving. The cloud may leave a reclaimed
backend server more or less time than a planned stop does, and its streams have to be
migrated before that time is over.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.backends.statements import read_call_statements
from tanagerturn.gateway.calls import call
from tanagerturn.gateway.logs import component_log
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.streams.endings import StartVerdict, judge_start

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.gateway.messages import BackendReport
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import BackendId

QUERY_TIMEOUT_S: Final = 0.3
"""Timeout of one query in seconds; many times a round trip within a region."""

QUERY_INTERVAL_S: Final = 0.15
"""Pause between two queries in seconds; the state that an engine reports of itself
is about 100 ms old."""

MAX_QUERIES: Final = 3
"""Maximum number of queries to one backend server, which bounds their cost."""

log = component_log("departures")


class DepartureTracker:
    """Queries leaving backend servers for their departure times and broadcasts these.

    Args:
        state: State of the gateway.
        broadcast: Sends an update to all peer gateways; called with the update and the
            boot-clock time in seconds.
    """

    def __init__(
        self, state: GatewayState, broadcast: Callable[[gpb.BackendNews, float], None]
    ) -> None:
        self.state = state
        """State of the gateway."""
        self.broadcast = broadcast
        """Sends an update to all peer gateways."""
        self.queries: dict[BackendId, asyncio.Task[None]] = {}
        """Running query tasks by id of the queried backend server."""

    def on_leaving(self, backend_id: BackendId) -> None:
        """Start to query a leaving backend server.

        A backend server that can't be reclaimed is not queried: its default departure
        time applies.
        """
        backend = self.state.fleet.view.backends.get(backend_id)
        if backend is None or not backend.reclaimable or backend_id in self.queries:
            return
        task = asyncio.create_task(self._query(backend))
        self.queries[backend_id] = task
        task.add_done_callback(lambda _: self.queries.pop(backend_id, None))

    async def _query(self, backend: Backend) -> None:
        """Query a backend server until it reports its departure time.

        At most `MAX_QUERIES` queries are made. Without a reported departure time the
        default one applies.
        """
        path = self.state.dialect.report_path
        reason = "the report states no departure time"
        for _ in range(MAX_QUERIES):
            if self.state.backend_limits.is_paused(backend.id, boot_s()):
                reason = "the backend server asked for a pause"
                break
            answered = await call(
                backend.address, path, [], b"", QUERY_TIMEOUT_S, method="GET"
            )
            if answered.is_ok():
                read_call_statements(self.state, backend, answered.ok, boot_s())
            report = answered.bind(
                lambda a: self.state.dialect.decode_report(
                    a.status, a.body, backend.address
                )
            )
            if report.is_error():
                reason = str(report.error)
            elif _is_of_other_start(report.ok, backend):
                reason = "another start of the backend server reports"
                break
            elif report.ok.leaving_in_ms is not None:
                self._apply(backend, report.ok.leaving_in_ms)
                return
            await asyncio.sleep(QUERY_INTERVAL_S)
        log.info("departure_unknown", backend=backend.id, reason=reason)

    def _apply(self, backend: Backend, leaving_in_ms: int) -> None:
        departure = gpb.Departure(
            backend=backend.id,
            born_ms=backend.announcement.born_ms,
            leaving_in_ms=leaving_in_ms,
        )
        self.state.fleet.on_departure(departure, boot_s())
        log.info("departure_told", backend=backend.id, leaving_in_ms=leaving_in_ms)
        self.broadcast(gpb.BackendNews(departures=[departure]), boot_s())


def _is_of_other_start(report: BackendReport, backend: Backend) -> bool:
    """Return whether a report states another start than the one that is leaving."""
    verdict = judge_start(report.born_ms, backend.announcement.born_ms)
    return verdict is StartVerdict.OTHER
