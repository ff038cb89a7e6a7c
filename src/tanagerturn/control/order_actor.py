"""Actor that owns the order controller of a control process."""

from __future__ import annotations

import contextlib
import time
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any, Final

import pykka

from tanagerturn.clocks import monotonic_ms, wall_ms
from tanagerturn.control.host_manager import BackendLoad
from tanagerturn.control.messages import Dump, GetLoads, JobDone, NewRevision, Tick
from tanagerturn.control.order_controller import CurrentTime, perform_job
from tanagerturn.observe.logs import component_logger
from tanagerturn.schema import settings_pb2
from tanagerturn.settings import SettingsError, merge_sites
from tanagerturn.shared.announcements import Announce
from tanagerturn.shared.resolved_settings import ResolvedSettings, resolve_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from tanagerturn.control.order_controller import (
        EngineTransport,
        Job,
        JobResult,
        OrderController,
    )
    from tanagerturn.serving.backends.messages import (
        AnnouncementAccepted,
        AnnouncementFault,
    )

log = component_logger("orders")

MAX_CONCURRENT_JOBS: Final = 16
"""Number of threads for jobs; one of them waits for the next tick."""


class OrderActor(pykka.ThreadingActor):
    """Plans orders periodically, starts their jobs and processes the job results.

    Args:
        controller: Plans the orders and holds their state.
        transport: Sends requests to engines.
        site: Name of the site whose settings apply.
        period_s: Time in seconds from one plan to the next.
        on_settings: Called with the resolved settings of each newer revision.
    """

    use_daemon_thread = True

    def __init__(
        self,
        controller: OrderController,
        transport: EngineTransport,
        site: str,
        period_s: float,
        on_settings: Callable[[ResolvedSettings], None],
    ) -> None:
        super().__init__()
        self.controller = controller
        """Plans the orders and holds their state."""
        self.transport = transport
        """Sends requests to engines."""
        self.site_name = site
        """Name of the site whose settings apply."""
        self.resolved_settings = resolve_settings(0, settings_pb2.DeploymentSettings())
        """Settings in force; revision 0 without services until one is applied."""
        self.period_s = period_s
        """Time in seconds from one plan to the next."""
        self.on_settings = on_settings
        """Called with the resolved settings of each newer revision."""
        self.wall_offset_ms = wall_ms() - monotonic_ms()
        """Wall clock minus monotonic clock at the start, in milliseconds."""
        self.pool = ThreadPoolExecutor(MAX_CONCURRENT_JOBS, "orders")
        """Threads that perform the jobs."""

    def on_receive(self, message: Any) -> Any:
        """Pass a message to the handler of its type."""
        return self.handle(message)

    def on_stop(self) -> None:
        """Cancel jobs that have not started and wait for running jobs."""
        self.pool.shutdown(wait=True, cancel_futures=True)

    def now(self) -> CurrentTime:
        """Return the current time on both clocks."""
        now_ms = monotonic_ms()
        return CurrentTime(now_ms, now_ms + self.wall_offset_ms)

    @singledispatchmethod
    def handle(self, message: object) -> Any:
        """Reject a message whose type has no handler."""
        raise TypeError(f"order actor does not handle message {message!r}")

    @handle.register(Tick)
    def on_tick(self, message: Tick) -> None:
        """Start the due jobs and schedule the next tick."""
        for job in self.controller.plan(self.now()):
            self.pool.submit(self._perform, job)
        self.pool.submit(self._tick_later)

    @handle.register(JobDone)
    def on_job_done(self, message: JobDone) -> None:
        """Process the result of a job."""
        self.controller.apply_result(message.result, self.now())

    @handle.register(Announce)
    def on_announce(
        self, message: Announce
    ) -> Result[AnnouncementAccepted, AnnouncementFault]:
        """Process the announcement of a backend server."""
        return self.controller.on_announcement(message.announcement, self.now())

    @handle.register(NewRevision)
    def on_new_revision(self, message: NewRevision) -> None:
        """Apply a settings revision if it is valid, newer and includes this site."""
        revision = message.revision
        try:
            merged = merge_sites({f.name: f.content for f in revision.files})
        except SettingsError as error:
            log.error("Settings revision {} is not valid: {}", revision.number, error)
            return
        if (
            self.site_name not in merged
            or revision.number <= self.resolved_settings.number
        ):
            return
        self.resolved_settings = resolve_settings(
            revision.number, merged[self.site_name].settings
        )
        self.controller.settings = self.resolved_settings.settings
        self.on_settings(self.resolved_settings)

    @handle.register(GetLoads)
    def on_get_loads(self, message: GetLoads) -> dict[str, BackendLoad]:
        """Return the load of each announced backend server by its id."""
        return {
            backend.id: BackendLoad(
                tuple(backend.announcement.services),
                backend.slots,
                backend.load(),
            )
            for backend in self.controller.view.backends.values()
        }

    @handle.register(Dump)
    def on_dump(self, message: Dump) -> dict[str, object]:
        """Return the settings revision in force and the state of the orders."""
        return {
            "settings_revision": self.resolved_settings.number,
            **self.controller.dump(),
        }

    def _perform(self, job: Job) -> None:
        result: JobResult = perform_job(
            job, self.controller.client, self.transport, monotonic_ms
        )
        self._tell_actor(JobDone(result))

    def _tick_later(self) -> None:
        time.sleep(self.period_s)
        self._tell_actor(Tick())

    def _tell_actor(self, message: object) -> None:
        # The actor may have stopped while the job was running.
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(message)
