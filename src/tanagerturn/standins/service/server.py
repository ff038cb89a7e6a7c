"""Runs a stand-in service behind HTTP."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Final

from tanagerturn.schema.serving_pb2 import Announcement, LoadReport
from tanagerturn.standins._http import StandinHttpServer
from tanagerturn.standins.announcer import Announcer
from tanagerturn.standins.faults import FaultCounter
from tanagerturn.standins.service._handler import ServiceHandler
from tanagerturn.standins.service.ledger import Ledger

if TYPE_CHECKING:
    from collections import Counter

    from tanagerturn.standins.service.config import ServiceConfig

MS_PER_S: Final = 1000.0
LEAVING_GRACE_MS: Final = 2000.0


class ServiceServer:
    """A running host of a stand-in service.

    Args:
        config: What the service is and how fast it works.
        ledger: Executions; hosts of one service share one.
    """

    def __init__(self, config: ServiceConfig, ledger: Ledger) -> None:
        self.config = config
        """What the service is and how fast it works."""
        self.ledger = ledger
        """Executions, shared by the hosts of the service."""
        self.slots = threading.Semaphore(config.slots)
        """Bounds the calls that run at once."""
        self.faults = FaultCounter(config.faults)
        """Faults committed on calls."""
        self.running = 0
        """Calls that run or wait here."""
        self.late_work = 0
        """Calls that came more than 2 s after leaving was told."""
        self.lock = threading.Lock()
        """Guards the counts."""
        self.stopped = threading.Event()
        """Set when the host is gone."""
        self.timer: threading.Timer | None = None
        """Ends the host after a reclaim notice."""
        self.leaving_at_ms: float | None = None
        """Time at which the host goes; None while it stays."""
        self.left_at_ms = float("inf")
        """When leaving was told."""
        handler = type("BoundServiceHandler", (ServiceHandler,), {"service": self})
        self.http = StandinHttpServer(config.ip, config.port, handler)
        """The listener."""
        self.announcer = Announcer(
            config.announce_to,
            config.heartbeat_ms,
            self.build_announcement,
            config.announce_key,
        )
        """Announces the host."""

    @property
    def address(self) -> str:
        """IP number and port of the service."""
        return self.http.address

    @property
    def executions(self) -> Counter[str]:
        """Executions of each idempotency key, over all hosts of the service."""
        return self.ledger.executions

    def start(self) -> None:
        """Serve and announce."""
        self.http.start(f"{self.config.id}-http")
        self.announcer.start()

    def stop(self) -> None:
        """Say that the host leaves, then cut what still runs."""
        if self.stopped.is_set():
            return
        self._leave(0.0)
        self.announcer.announce()
        self.kill()

    def kill(self) -> None:
        """Die at once: connections are reset, nothing is announced."""
        if self.timer is not None:
            self.timer.cancel()
        if self.stopped.is_set():
            return
        self.stopped.set()
        self.announcer.stop()
        self.http.cut()

    def reclaim(self, notice_ms: float, announced: bool = True) -> None:
        """Take the host back after a notice.

        Args:
            notice_ms: Time until the host dies.
            announced: Whether the service tells of it.
        """
        if announced:
            self._leave(notice_ms)
            self.announcer.announce_soon()
        self.timer = threading.Timer(notice_ms / MS_PER_S, self.kill)
        self.timer.daemon = True
        self.timer.start()

    def enter(self) -> None:
        """Count a call that has come in."""
        with self.lock:
            self.running += 1
            if time.time() * MS_PER_S > self.left_at_ms + LEAVING_GRACE_MS:
                self.late_work += 1

    def leave(self) -> None:
        """Count a call that has ended."""
        with self.lock:
            self.running -= 1

    def load_headers(self) -> dict[str, str]:
        """Return the load hints of an answer."""
        waiting = max(0, self.running - self.config.slots)
        return {
            "X-Load-Running": str(self.running - waiting),
            "X-Load-Waiting": str(waiting),
        }

    def build_announcement(self, cache_after: int) -> Announcement:
        """Build the announcement; a plain service has no cache events."""
        now_ms = time.time() * MS_PER_S
        config = self.config
        waiting = max(0, self.running - config.slots)
        load = LoadReport(running=self.running - waiting, waiting=waiting)
        if config.load_stuck:
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
        """Return all counts as JSON values."""
        faults = {f.value: n for f, n in self.faults.committed.items()}
        with self.ledger.lock:
            return {
                "kind": "service",
                "executions": dict(self.ledger.executions),
                "refused_keys": sorted(self.ledger.refused),
                "lookups": self.ledger.lookups,
                "late_work": self.late_work,
                "faults": faults,
            }

    def _leave(self, notice_ms: float) -> None:
        now_ms = time.time() * MS_PER_S
        self.left_at_ms = min(self.left_at_ms, now_ms)
        self.leaving_at_ms = now_ms + notice_ms


def start_service(config: ServiceConfig, ledger: Ledger | None = None) -> ServiceServer:
    """Start a host of a stand-in service.

    Args:
        config: What the service is and how fast it works.
        ledger: Executions shared with other hosts of the service.

    Returns:
        The running host; its `stop` ends it.
    """
    server = ServiceServer(config, ledger or Ledger())
    server.start()
    return server
