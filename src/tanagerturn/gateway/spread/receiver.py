"""Reads the datagrams of peers, and reports how late that is done."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.logs import component_log

if TYPE_CHECKING:
    import asyncio

    from tanagerturn.gateway.metrics import GatewayMetrics
    from tanagerturn.gateway.spread.backlog import Backlog
    from tanagerturn.gateway.spread.lag import ExchangeLag
    from tanagerturn.gateway.spread.mesh import Mesh

log = component_log("mesh")


class DatagramReceiver:
    """Polls the socket of digests, and again at once until it is empty.

    Args:
        mesh: Membership of gateways and datagrams from peers.
        backlog: Told whether a poll has emptied the socket.
        lag: Measures how late the rounds are.
        metrics: Metrics of the gateway.
        loop: Event loop of the gateway.
    """

    def __init__(
        self,
        mesh: Mesh,
        backlog: Backlog,
        lag: ExchangeLag,
        metrics: GatewayMetrics,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.mesh = mesh
        """Membership of gateways and datagrams from peers."""
        self.backlog = backlog
        """Told whether a poll has emptied the socket."""
        self.lag = lag
        """Measures how late the rounds are."""
        self.metrics = metrics
        """Metrics of the gateway."""
        self.loop = loop
        """Event loop of the gateway."""
        self.is_polling_again = False
        """Whether the last poll has not emptied the socket, and another one follows."""

    def run_round(self, now_s: float) -> None:
        """Read the datagrams that have arrived since the last round.

        Args:
            now_s: Current boot-clock time in seconds.
        """
        self.lag.on_round(now_s)
        if not self.is_polling_again:
            self._poll()
        self._report(now_s)

    def _poll(self) -> None:
        """Read some datagrams; other events are handled before the next ones."""
        self.is_polling_again = False
        is_empty = self.mesh.receive()
        self.backlog.on_polled(boot_s(), is_empty=is_empty)
        if not is_empty:
            self.is_polling_again = True
            self.loop.call_soon(self._poll)

    def _report(self, now_s: float) -> None:
        report = self.lag.take_report(now_s)
        if report is None:
            return
        self.metrics.exchange_lag_s.set(report.lag_s)
        self.metrics.digest_age_s.set(report.digest_age_s)
        self.metrics.missed_digests.set(self.mesh.missed_digests)
        if report.is_late:
            log.info(
                "exchange_late",
                lag_s=round(report.lag_s, 3),
                digest_age_s=round(report.digest_age_s, 3),
                missed_digests=self.mesh.missed_digests,
            )
