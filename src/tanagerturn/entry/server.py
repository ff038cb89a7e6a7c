"""Assembles an entry process from its components and stops it gracefully."""

from __future__ import annotations

import secrets
import time
import zlib
from typing import TYPE_CHECKING, Any, Final

from tanagerturn.actors import ask
from tanagerturn.coordination.groups import REQUESTS_GROUP
from tanagerturn.coordination.ids import ProcessId
from tanagerturn.coordination.node import start_node
from tanagerturn.entry import migrations
from tanagerturn.entry.app import CallerApp
from tanagerturn.entry.clock import SystemClock
from tanagerturn.entry.components import EntryComponents
from tanagerturn.entry.directory import DirectoryActor, Dump, GetSlots
from tanagerturn.entry.gate import Gate
from tanagerturn.entry.hosts import EntryHosts
from tanagerturn.entry.idle_readers import IdleReaderMonitor
from tanagerturn.entry.jobs import PatientJobs
from tanagerturn.entry.metrics import make_entry_metrics
from tanagerturn.entry.migrations import MigrationTicker, MovesActor
from tanagerturn.entry.notices import NoticeWatcher
from tanagerturn.entry.records_actor import OwnerLease, RecordsActor, SweepTicker
from tanagerturn.entry.settings_actor import NewRevision, SettingsActor
from tanagerturn.entry.shares import start_shares
from tanagerturn.entry.transport import BackendTransport
from tanagerturn.observe.logs import component_logger
from tanagerturn.observe.operations import OperationsServer, WsgiServer
from tanagerturn.schema import settings_pb2
from tanagerturn.serving.backends.messages import AvailabilityZone
from tanagerturn.serving.requests.executor import CallExecutor
from tanagerturn.serving.requests.ledger import RequestLedger
from tanagerturn.shared.announcements import AnnouncementServer
from tanagerturn.shared.resolved_settings import ResolvedSettings, resolve_settings

if TYPE_CHECKING:
    from tanagerturn.coordination.client import StateClient
    from tanagerturn.schema.coordination_pb2 import SettingsRevision

log = component_logger("entry")

CONNECTION_LIMIT: Final = 2000
HEADER_LIMIT_BYTES: Final = 64 * 1024
BUFFERED_BODY_BYTES: Final = 64 * 1024
"""Size from which a body that is arriving is kept in a file: callers that stop just
before the end held 512 KiB each, 150 MB in total with 300 of them."""

READ_TIMEOUT_S: Final = 30
OUTPUT_LIMIT_BYTES: Final = 256 * 1024
"""Number of bytes buffered for a slow reader before the responding thread blocks."""

CALLER_THREADS_PER_JOB_THREAD: Final = 4
"""Number of caller threads per thread for background jobs."""

REFUSAL_TIME_S: Final = 0.5
"""Time in seconds before the end of a stop at which waiting requests are refused."""


class EntryServer:
    """A running entry process.

    Args:
        settings: Settings of the process, with the section `entry`.
        client: Client of the replicated store.
    """

    def __init__(
        self, settings: settings_pb2.ProcessSettings, client: StateClient
    ) -> None:
        self.settings = settings
        """Settings of the process."""
        self.client = client
        """Client of the replicated store."""
        self.metrics = make_entry_metrics()
        """Metrics of the process."""
        self.resolved_settings: ResolvedSettings = resolve_settings(
            0, settings_pb2.DeploymentSettings()
        )
        """Resolved deployment settings in force; revision 0 before the first
        revision."""
        self.owner = ProcessId(f"{settings.id}.{secrets.token_hex(4)}")
        """Name of this process as an owner of request records, new at each start."""
        self.stopped = False
        """Whether the process is stopping or stopped, and thus not ready."""
        seed = zlib.crc32(self.owner.encode())
        self.directory = DirectoryActor.start(seed)
        """Actor that tracks the backend servers."""
        self.settings_actor = SettingsActor.start(settings.site, self._on_settings)
        """Actor that applies accepted settings revisions."""
        self.components = self._make_components()
        """Components that the request handlers share."""
        self.app = CallerApp(
            self.components, lambda: self.resolved_settings, self.metrics
        )
        """WSGI application for callers."""
        self.hosts = EntryHosts(client, self.owner, self.components.gate.set_host_count)
        """Keys of the live entry hosts."""
        self.lease = OwnerLease(self.components, self.hosts)
        """Owner lease of this process."""
        self.records = RecordsActor.start(
            self.components, self.hosts, lambda: self.resolved_settings
        )
        """Actor that takes over request records of dead entry hosts."""
        self.announcements = AnnouncementServer(
            settings.entry.announcements, self.directory, lambda: self.resolved_settings
        )
        """Listener for announcements of backend servers."""
        self.callers = self._make_caller_listener()
        """Listener for callers."""
        self.operations = OperationsServer(
            settings.operations, self.metrics.registry, self.ready, self.dump
        )
        """Listener for operators."""
        self.node = start_node(settings, client, "entry", self._on_revision)
        """Settings and membership of the process."""
        self.shares = start_shares(client, self.node, self.components.gate, self.owner)
        """Reporter of limit shares by demand; None without membership."""
        self.lease.start()
        self.notices = NoticeWatcher(client, self.directory)
        """Watches the reclaim notices that the control process records."""
        self.migrations = MovesActor.start(
            self.directory,
            self.components.transport,
            self.components.generations,
            lambda: self.resolved_settings,
        )
        """Actor that migrates streams off leaving engines."""
        self.migration_ticker = MigrationTicker(self.migrations)
        """Triggers the planning of the migrations."""
        self.sweep_ticker = SweepTicker(self.records)
        """Triggers the sweeps of the records actor."""
        self.callers.start()
        self.readers = IdleReaderMonitor(self.callers)
        """Closes connections of callers that have stopped reading."""
        log.info(
            "Entry process {} listens for callers at {}.",
            settings.id,
            self.callers.address,
        )

    def ready(self) -> bool:
        """Return whether the load balancer may send requests here.

        Not before the entry hosts are known, by whose number the limits are divided.
        """
        return (
            not self.stopped
            and self.resolved_settings.number > 0
            and self.hosts.are_known()
            and self.lease.held()
        )

    def known_backend_servers(self) -> int:
        """Return the number of backend servers with a current announcement."""
        return len(ask(self.directory, Dump())["backend_servers"])

    def dump(self) -> dict[str, Any]:
        """Return the state of the process for a dump."""
        return {
            "process": self.settings,
            "owner": self.owner,
            "settings_revision": self.resolved_settings.number,
            "settings": self.resolved_settings.settings,
            "running": self.app.running,
            "draining": self.stopped,
            "gate": self.components.gate.dump(),
            "jobs": self.components.jobs.job_count,
            "entry_hosts": dict(self.hosts.owners),
            "lease": self.lease.keeper.dump(self.lease.keeper.clock()),
            "directory": ask(self.directory, Dump()),
            "shares": self.shares.dump() if self.shares is not None else {},
            "node": self.node.dump(),
            "moves": ask(self.migrations, migrations.Dump()),
        }

    def stop(self) -> int:
        """Stop gracefully; return the number of callers' requests not finished."""
        entry = self.settings.entry
        self.stopped = True
        log.info(
            "Not ready; draining starts after the balancer grace time of {} ms.",
            entry.balancer_grace_ms,
        )
        time.sleep(entry.balancer_grace_ms / 1000)
        self.components.gate.drain()
        unfinished_count = self._drain(time.monotonic() + entry.drain_ms / 1000)
        self._close(release=True)
        log.info("Entry process {} stopped.", self.settings.id)
        return unfinished_count

    def abort(self) -> None:
        """Stop as a crash would: nothing is finished and no lease is released."""
        self.stopped = True
        self.components.jobs.stopping.set()
        self._close(release=False)

    def _drain(self, deadline_s: float) -> int:
        """Wait for running requests; remaining patient jobs go to other entry hosts.

        Args:
            deadline_s: Monotonic time in seconds at which the wait ends.

        Returns:
            Number of callers' requests that still run.
        """
        unfinished_count = self.app.running
        while unfinished_count and time.monotonic() < deadline_s:
            if time.monotonic() >= deadline_s - REFUSAL_TIME_S:
                # They have not run; callers may ask another entry host at once.
                self.components.gate.refuse_waiting()
            log.info(
                "Draining: {} requests and {} background jobs still run.",
                unfinished_count,
                self.components.jobs.job_count,
            )
            refusal_at_s = deadline_s - REFUSAL_TIME_S
            next_s = refusal_at_s if time.monotonic() < refusal_at_s else deadline_s
            unfinished_count = self.app.wait_idle(
                min(1.0, max(0.0, next_s - time.monotonic()))
            )
        left_job_count = self.components.jobs.stop(
            max(0.0, deadline_s - time.monotonic())
        )
        if left_job_count:
            log.info("Left {} patient requests to other entry hosts.", left_job_count)
        if unfinished_count:
            log.error("Stopped with {} requests still running.", unfinished_count)
        return unfinished_count

    def _close(self, release: bool) -> None:
        self.sweep_ticker.stop()
        self.notices.stop()
        self.migration_ticker.stop()
        self.migrations.stop()
        self.records.stop()
        self.lease.stop(release)
        self.readers.stop()
        self.callers.stop()
        self.announcements.stop()
        if self.shares is not None:
            self.shares.stop()
        if release:
            self.node.leave()
        self.node.stop()
        self.hosts.stop()
        self.settings_actor.stop()
        self.directory.stop()
        self.operations.stop()

    def _make_components(self) -> EntryComponents:
        entry = self.settings.entry
        ledger = RequestLedger(self.client, REQUESTS_GROUP, self.owner)
        return EntryComponents(
            directory=self.directory,
            transport=BackendTransport(),
            ledger=ledger,
            call_executor=CallExecutor(ledger, SystemClock()),
            jobs=PatientJobs(max(2, entry.threads // CALLER_THREADS_PER_JOB_THREAD)),
            gate=Gate(entry.threads, lambda: ask(self.directory, GetSlots())),
            metrics=self.metrics,
            zone=AvailabilityZone(self.settings.availability_zone),
        )

    def _make_caller_listener(self) -> WsgiServer:
        entry = self.settings.entry
        return WsgiServer(
            self.app,
            entry.callers,
            entry.threads,
            "callers",
            connection_limit=CONNECTION_LIMIT,
            channel_timeout=READ_TIMEOUT_S,
            channel_request_lookahead=1,
            max_request_body_size=entry.body_limit_bytes,
            max_request_header_size=HEADER_LIMIT_BYTES,
            inbuf_overflow=BUFFERED_BODY_BYTES,
            # Sends each event of a stream at once instead of buffering it.
            send_bytes=1,
            outbuf_high_watermark=OUTPUT_LIMIT_BYTES,
        )

    def _on_settings(self, resolved_settings: ResolvedSettings) -> None:
        self.resolved_settings = resolved_settings
        self.components.gate.set_settings(resolved_settings)
        self.metrics.settings_revision.set(resolved_settings.number)

    def _on_revision(self, revision: SettingsRevision) -> None:
        self.settings_actor.tell(NewRevision(revision))


def start_entry(
    settings: settings_pb2.ProcessSettings, client: StateClient
) -> EntryServer:
    """Start an entry server in this operating system process.

    Args:
        settings: Settings of the process, with the section `entry`.
        client: Client of the replicated store.
    """
    return EntryServer(settings, client)
