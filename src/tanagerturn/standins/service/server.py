"""HTTP server of one host of a stand-in plain service."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Final

from tanagerturn.schema.serving_pb2 import Announcement, LoadReport
from tanagerturn.standins._http import StandinHttpServer
from tanagerturn.standins.announcer import Announcer
from tanagerturn.standins.faults import FaultInjector
from tanagerturn.standins.service._handler import ServiceHandler
from tanagerturn.standins.service.ledger import Ledger

if TYPE_CHECKING:
    from collections import Counter

    from tanagerturn.standins.service.config import ServiceConfig

MS_PER_S: Final = 1000.0
LEAVING_GRACE_MS: Final = 2000.0
"""Time after the host announced that it is leaving, in milliseconds; calls that
arrive later count as late work."""


class ServiceServer:
    """One host of a stand-in plain service.

    Args:
        config: Configuration of the host.
        ledger: Executions of the service, shared by all its hosts.
    """

    def __init__(self, config: ServiceConfig, ledger: Ledger) -> None:
        self.config = config
        """Configuration of the host."""
        self.ledger = ledger
        """Executions of the service, shared by all its hosts."""
        self.slots = threading.Semaphore(config.slots)
        """Limits the calls that run concurrently."""
        self.faults = FaultInjector(config.faults)
        """Faults to inject into calls."""
        self.running = 0
        """Number of calls that run or wait at this host."""
        self.late_work = 0
        """Number of calls that arrived more than `LEAVING_GRACE_MS` after the host
        announced that it is leaving."""
        self.lock = threading.Lock()
        """Guards `running` and `late_work`."""
        self.stopped = threading.Event()
        """Set when the host stops; ends the waits of its calls."""
        self.reclaim_timer: threading.Timer | None = None
        """Stops the host at the end of a reclaim notice; None without a notice."""
        self.leaving_at_ms: float | None = None
        """Time at which the host stops, in milliseconds; None if it is not leaving."""
        self.leaving_since_ms = float("inf")
        """Time at which the host first announced that it is leaving, in
        milliseconds; infinite if it did not."""
        handler = type("BoundServiceHandler", (ServiceHandler,), {"service": self})
        self.http = StandinHttpServer(config.ip, config.port, handler)
        """HTTP server of the host."""
        self.announcer = Announcer(
            config.announce_to,
            config.heartbeat_ms,
            self.build_announcement,
            config.announce_key,
        )
        """Announces the host to entry hosts."""

    @property
    def address(self) -> str:
        """IP address and port of the host."""
        return self.http.address

    @property
    def executions(self) -> Counter[str]:
        """Number of executions by idempotency key, over all hosts of the service."""
        return self.ledger.executions

    def start(self) -> None:
        """Start the HTTP server and the announcements."""
        self.http.start(f"{self.config.id}-http")
        self.announcer.start()

    def stop(self) -> None:
        """Announce that the host is leaving, then stop it.

        Calls in flight are aborted.
        """
        if self.stopped.is_set():
            return
        self._mark_leaving(0.0)
        self.announcer.announce()
        self.kill()

    def kill(self) -> None:
        """Stop at once: reset all connections, without an announcement."""
        if self.reclaim_timer is not None:
            self.reclaim_timer.cancel()
        if self.stopped.is_set():
            return
        self.stopped.set()
        self.announcer.stop()
        self.http.abort()

    def reclaim(self, notice_ms: float, announced: bool = True) -> None:
        """Stop the host after a reclaim notice.

        Args:
            notice_ms: Time until the host is killed, in milliseconds.
            announced: Whether the host announces that it is leaving.
        """
        if announced:
            self._mark_leaving(notice_ms)
            self.announcer.announce_soon()
        self.reclaim_timer = threading.Timer(notice_ms / MS_PER_S, self.kill)
        self.reclaim_timer.daemon = True
        self.reclaim_timer.start()

    def begin_call(self) -> None:
        """Count a call that has arrived; `end_call` must follow when the call ends."""
        with self.lock:
            self.running += 1
            if time.time() * MS_PER_S > self.leaving_since_ms + LEAVING_GRACE_MS:
                self.late_work += 1

    def end_call(self) -> None:
        """Remove a call that has ended from the count."""
        with self.lock:
            self.running -= 1

    def load_headers(self) -> dict[str, str]:
        """Return the response headers that report the current load."""
        waiting = max(0, self.running - self.config.slots)
        return {
            "X-Load-Running": str(self.running - waiting),
            "X-Load-Waiting": str(waiting),
        }

    def build_announcement(self, cache_after: int) -> Announcement:
        """Build the announcement of the host.

        Args:
            cache_after: Not used, as a plain service has no cache events.
        """
        now_ms = time.time() * MS_PER_S
        config = self.config
        waiting = max(0, self.running - config.slots)
        load = LoadReport(running=self.running - waiting, waiting=waiting)
        if config.reports_zero_load:
            load = LoadReport()
        load.read_at_ms = int(now_ms)
        leaving_in_ms = 0.0
        if self.leaving_at_ms is not None:
            leaving_in_ms = max(0.0, self.leaving_at_ms - now_ms)
        return Announcement(
            id=config.id,
            address=self.address,
            services=config.services,
            availability_zone=config.availability_zone,
            host_class=config.host_class,
            reclaimable=config.reclaimable,
            price_per_hour=config.price_per_hour,
            load=load,
            leaving=self.leaving_at_ms is not None,
            leaving_in_ms=int(leaving_in_ms),
            slots=config.slots,
        )

    def count_values(self) -> dict[str, object]:
        """Return all counts as the JSON object of /standin/counts."""
        faults = {f.value: n for f, n in self.faults.injected.items()}
        with self.ledger.lock:
            return {
                "kind": "service",
                "executions": dict(self.ledger.executions),
                "refused_keys": sorted(self.ledger.refused_keys),
                "lookups": self.ledger.lookups,
                "late_work": self.late_work,
                "faults": faults,
            }

    def _mark_leaving(self, notice_ms: float) -> None:
        """Make the announcements state that the host stops in `notice_ms`."""
        now_ms = time.time() * MS_PER_S
        self.leaving_since_ms = min(self.leaving_since_ms, now_ms)
        self.leaving_at_ms = now_ms + notice_ms


def start_service(config: ServiceConfig, ledger: Ledger | None = None) -> ServiceServer:
    """Start a host of a stand-in plain service.

    Args:
        config: Configuration of the host.
        ledger: Executions shared with the service's other hosts; None for a ledger
            of its own.

    Returns:
        The running host; the caller stops it.
    """
    server = ServiceServer(config, ledger or Ledger())
    server.start()
    return server
