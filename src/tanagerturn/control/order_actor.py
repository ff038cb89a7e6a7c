"""Actor that owns the orders of a control process."""

from __future__ import annotations

import contextlib
import time
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any, Final

import pykka

from tanagerturn.clocks import monotonic_ms, wall_ms
from tanagerturn.control.courier import Now, perform
from tanagerturn.control.hosts import BackendLoad
from tanagerturn.control.messages import Done, Dump, Loads, NewRevision, Tick
from tanagerturn.observe.logs import component_logger
from tanagerturn.schema import settings_pb2
from tanagerturn.settings import SettingsError, merge_sites
from tanagerturn.shared.announcements import Announce
from tanagerturn.shared.resolved_settings import ResolvedSettings, resolve_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from tanagerturn.control.courier import EngineTransport, Job, OrderCourier, Report
    from tanagerturn.serving.backends.messages import (
        AnnouncementAccepted,
        AnnouncementFault,
    )

log = component_logger("orders")

JOBS_AT_ONCE: Final = 16


class OrderActor(pykka.ThreadingActor):
    """Plans orders each period and takes what became of them.

    Args:
        courier: Holds the orders.
        transport: Calls to engines.
        site: Site whose settings apply.
        period_s: Time between two plans, in seconds.
        on_site: Called with each newer value of the settings.
    """

    use_daemon_thread = True

    def __init__(
        self,
        courier: OrderCourier,
        transport: EngineTransport,
        site: str,
        period_s: float,
        on_settings: Callable[[ResolvedSettings], None],
    ) -> None:
        super().__init__()
        self.courier = courier
        """Holds the orders."""
        self.transport = transport
        """Calls to engines."""
        self.site_name = site
        """Site whose settings apply."""
        self.resolved_settings = resolve_settings(0, settings_pb2.DeploymentSettings())
        """Settings in force."""
        self.period_s = period_s
        """Time between two plans."""
        self.on_settings = on_settings
        """Called with each newer value of the settings."""
        self.wall_offset_ms = wall_ms() - monotonic_ms()
        """Wall clock less monotonic clock, as of the start."""
        self.pool = ThreadPoolExecutor(JOBS_AT_ONCE, "orders")
        """Does the jobs."""

    def on_receive(self, message: Any) -> Any:
        """Handle a message."""
        return self.handle(message)

    def on_stop(self) -> None:
        """Drop jobs that were not begun, and wait for the others."""
        self.pool.shutdown(wait=True, cancel_futures=True)

    def now(self) -> Now:
        """Return the present time."""
        now_ms = monotonic_ms()
        return Now(now_ms, now_ms + self.wall_offset_ms)

    @singledispatchmethod
    def handle(self, message: object) -> Any:
        """Handle one kind of message."""
        raise TypeError(f"unknown message {message!r}")

    @handle.register(Tick)
    def on_tick(self, message: Tick) -> None:
        """Plan, and plan again after the period."""
        for job in self.courier.plan(self.now()):
            self.pool.submit(self._do, job)
        self.pool.submit(self._tick_later)

    @handle.register(Done)
    def on_done(self, message: Done) -> None:
        """Take what became of a job."""
        self.courier.take(message.report, self.now())

    @handle.register(Announce)
    def on_announce(
        self, message: Announce
    ) -> Result[AnnouncementAccepted, AnnouncementFault]:
        """Take a backend server's announcement."""
        return self.courier.on_announcement(message.announcement, self.now())

    @handle.register(NewRevision)
    def on_new_revision(self, message: NewRevision) -> None:
        """Apply a revision of the settings."""
        revision = message.revision
        try:
            merged = merge_sites({f.name: f.content for f in revision.files})
        except SettingsError as error:
            log.error("Revision {} can't be read: {}", revision.number, error)
            return
        if (
            self.site_name not in merged
            or revision.number <= self.resolved_settings.number
        ):
            return
        self.resolved_settings = resolve_settings(
            revision.number, merged[self.site_name].settings
        )
        self.courier.settings = self.resolved_settings.settings
        self.on_settings(self.resolved_settings)

    @handle.register(Loads)
    def on_loads(self, message: Loads) -> dict[str, BackendLoad]:
        """Return the loads of the backend servers."""
        return {
            backend.id: BackendLoad(
                tuple(backend.announcement.services),
                backend.slots,
                backend.load(),
            )
            for backend in self.courier.view.backends.values()
        }

    @handle.register(Dump)
    def on_dump(self, message: Dump) -> dict[str, object]:
        """Return the state."""
        return {
            "settings_revision": self.resolved_settings.number,
            **self.courier.dump(),
        }

    def _do(self, job: Job) -> None:
        report: Report = perform(job, self.courier.client, self.transport, monotonic_ms)
        self._tell(Done(report))

    def _tick_later(self) -> None:
        time.sleep(self.period_s)
        self._tell(Tick())

    def _tell(self, message: object) -> None:
        # The actor may have stopped while this job was done.
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(message)
