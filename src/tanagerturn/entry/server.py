"""Builds an entry process out of its parts and stops it gracefully."""

from __future__ import annotations

import secrets
import time
import zlib
from typing import TYPE_CHECKING, Any, Final

from tanagerturn.actors import ask
from tanagerturn.coordination.groups import REQUESTS_GROUP
from tanagerturn.coordination.ids import ProcessId
from tanagerturn.coordination.node import start_node
from tanagerturn.entry import moves
from tanagerturn.entry.app import CallerApp
from tanagerturn.entry.clock import SystemClock
from tanagerturn.entry.directory import DirectoryActor, Dump, Slots
from tanagerturn.entry.gate import Gate
from tanagerturn.entry.hosts import EntryHosts
from tanagerturn.entry.jobs import PatientJobs
from tanagerturn.entry.metrics import make_entry_metrics
from tanagerturn.entry.moves import MovesActor, MovesTicker
from tanagerturn.entry.notices import NoticeWatcher
from tanagerturn.entry.parts import Parts
from tanagerturn.entry.readers import ReaderWatch
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
READ_TIMEOUT_S: Final = 30
OUTPUT_LIMIT_BYTES: Final = 256 * 1024
"""Bytes that wait for a slow reader before its thread waits too."""

JOB_THREADS_PART: Final = 4
"""One thread for patient requests to so many for callers."""


class EntryServer:
    """A running entry process.

    Args:
        settings: Settings of the process, with its `entry` part.
        client: Calls to the replicated store.
    """

    def __init__(
        self, settings: settings_pb2.ProcessSettings, client: StateClient
    ) -> None:
        self.settings = settings
        """Settings of the process."""
        self.client = client
        """Calls to the replicated store."""
        self.metrics = make_entry_metrics()
        """Counters of the process."""
        self.resolved_settings: ResolvedSettings = resolve_settings(
            0, settings_pb2.DeploymentSettings()
        )
        """The deployment's settings in force."""
        self.owner = ProcessId(f"{settings.id}.{secrets.token_hex(4)}")
        """Name as owner of request records, new at each start."""
        self.stopped = False
        """The process takes no new requests."""
        seed = zlib.crc32(self.owner.encode())
        self.directory = DirectoryActor.start(seed)
        """Actor that knows the backend servers."""
        self.settings_actor = SettingsActor.start(settings.site, self._on_settings)
        """Actor that keeps the settings in force."""
        self.parts = self._make_parts()
        """What the request handlers share."""
        self.app = CallerApp(self.parts, lambda: self.resolved_settings, self.metrics)
        """Application for callers."""
        self.hosts = EntryHosts(client, self.owner, self.parts.gate.set_hosts)
        """Keys of the live entry hosts."""
        self.lease = OwnerLease(self.parts, self.hosts)
        """Lease of this process."""
        self.records = RecordsActor.start(
            self.parts, self.hosts, lambda: self.resolved_settings
        )
        """Actor that takes over what dead entry hosts left."""
        self.announcements = AnnouncementServer(
            settings.entry.announcements, self.directory, lambda: self.resolved_settings
        )
        """Listener for backend servers."""
        self.callers = self._make_callers()
        """Listener for callers."""
        self.operations = OperationsServer(
            settings.operations, self.metrics.registry, self.ready, self.dump
        )
        """Listener for operators."""
        self.node = start_node(settings, client, "entry", self._on_revision)
        """Settings and membership of the process."""
        self.shares = start_shares(client, self.node, self.parts.gate, self.owner)
        """Shares of the client accounts' limits; None without membership."""
        self.lease.start()
        self.notices = NoticeWatcher(client, self.directory)
        """Watches the reclaim notices that the control process records."""
        self.moves = MovesActor.start(
            self.directory,
            self.parts.transport,
            self.parts.drafts,
            lambda: self.resolved_settings,
        )
        """Actor that moves streams off engines that leave."""
        self.moves_ticker = MovesTicker(self.moves)
        """Tells the moves actor that time passes."""
        self.ticker = SweepTicker(self.records)
        """Tells the records actor to sweep."""
        self.callers.start()
        self.readers = ReaderWatch(self.callers)
        """Drops callers that have stopped reading."""
        log.info("Entry process {} is up at {}.", settings.id, self.callers.address)

    def ready(self) -> bool:
        """Tell whether the balancer may send requests here."""
        return (
            not self.stopped and self.resolved_settings.number > 0 and self.lease.held()
        )

    def known_backend_servers(self) -> int:
        """Return the number of backend servers that have announced themselves."""
        return len(ask(self.directory, Dump())["backend_servers"])

    def dump(self) -> dict[str, Any]:
        """Return the state of the process."""
        return {
            "process": self.settings,
            "owner": self.owner,
            "settings_revision": self.resolved_settings.number,
            "settings": self.resolved_settings.settings,
            "running": self.app.running,
            "draining": self.stopped,
            "gate": self.parts.gate.dump(),
            "jobs": self.parts.jobs.jobs,
            "entry_hosts": dict(self.hosts.owners),
            "lease": self.lease.keeper.dump(self.lease.keeper.clock()),
            "directory": ask(self.directory, Dump()),
            "shares": self.shares.dump() if self.shares is not None else {},
            "node": self.node.dump(),
            "moves": ask(self.moves, moves.Dump()),
        }

    def stop(self) -> int:
        """Stop gracefully; return the number of requests left unfinished."""
        entry = self.settings.entry
        self.stopped = True
        log.info("Readiness fails for {} ms.", entry.balancer_grace_ms)
        time.sleep(entry.balancer_grace_ms / 1000)
        self.parts.gate.drain()
        left = self._drain(time.monotonic() + entry.drain_ms / 1000)
        self._close(release=True)
        log.info("Entry process {} has stopped.", self.settings.id)
        return left

    def abort(self) -> None:
        """End without grace, as a crash would: nothing is finished or released."""
        self.stopped = True
        self.parts.jobs.stopping.set()
        self._close(release=False)

    def _drain(self, until_s: float) -> int:
        """Wait for running requests; patient ones that are left go to others."""
        left = self.app.running
        while left and time.monotonic() < until_s:
            log.info("{} requests and {} jobs run.", left, self.parts.jobs.jobs)
            left = self.app.wait_idle(min(1.0, max(0.0, until_s - time.monotonic())))
        handed_over = self.parts.jobs.stop(max(0.0, until_s - time.monotonic()))
        if handed_over:
            log.info("{} patient requests are left to other hosts.", handed_over)
        if left:
            log.error("{} requests were still running.", left)
        return left

    def _close(self, release: bool) -> None:
        self.ticker.stop()
        self.notices.stop()
        self.moves_ticker.stop()
        self.moves.stop()
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

    def _make_parts(self) -> Parts:
        entry = self.settings.entry
        ledger = RequestLedger(self.client, REQUESTS_GROUP, self.owner)
        return Parts(
            directory=self.directory,
            transport=BackendTransport(),
            ledger=ledger,
            conductor=CallExecutor(ledger, SystemClock()),
            jobs=PatientJobs(max(2, entry.threads // JOB_THREADS_PART)),
            gate=Gate(entry.threads, lambda: ask(self.directory, Slots())),
            metrics=self.metrics,
            zone=AvailabilityZone(self.settings.availability_zone),
        )

    def _make_callers(self) -> WsgiServer:
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
            # Each event of a stream is to leave at once.
            send_bytes=1,
            outbuf_high_watermark=OUTPUT_LIMIT_BYTES,
        )

    def _on_settings(self, resolved_settings: ResolvedSettings) -> None:
        self.resolved_settings = resolved_settings
        self.parts.gate.set_settings(resolved_settings)
        self.metrics.settings_revision.set(resolved_settings.number)

    def _on_revision(self, revision: SettingsRevision) -> None:
        self.settings_actor.tell(NewRevision(revision))


def start_entry(
    settings: settings_pb2.ProcessSettings, client: StateClient
) -> EntryServer:
    """Start an entry process inside this one.

    Args:
        settings: Settings of the process, with its `entry` part.
        client: Calls to the replicated store.
    """
    return EntryServer(settings, client)
