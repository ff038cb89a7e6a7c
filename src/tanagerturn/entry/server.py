"""Builds an entry process out of its parts and stops it gracefully."""

from __future__ import annotations

import secrets
import time
import zlib
from typing import TYPE_CHECKING, Any, Final

from tanagerturn.actors import ask
from tanagerturn.coordination.groups import CONTROL_GROUP, REQUESTS_GROUP
from tanagerturn.coordination.ids import ProcessId, Revision
from tanagerturn.entry.announcements import AnnouncementServer
from tanagerturn.entry.app import CallerApp
from tanagerturn.entry.directory import DirectoryActor, Dump
from tanagerturn.entry.metrics import make_entry_metrics
from tanagerturn.entry.parts import Parts
from tanagerturn.entry.settings_actor import NewRevision, SettingsActor
from tanagerturn.entry.site import Site, make_site
from tanagerturn.entry.transport import BackendTransport
from tanagerturn.observe.logs import part_logger
from tanagerturn.observe.operations import OperationsServer, WsgiServer
from tanagerturn.schema import settings_pb2
from tanagerturn.schema.coordination_pb2 import SettingsRevision, WatchBatch
from tanagerturn.serving.backends.messages import AvailabilityZone
from tanagerturn.serving.requests.ledger import RequestLedger

if TYPE_CHECKING:
    from tanagerturn.coordination.client import StateClient

log = part_logger("entry")

SETTINGS_KEY: Final = "settings/current"
CONNECTION_LIMIT: Final = 2000
HEADER_LIMIT_BYTES: Final = 64 * 1024
READ_TIMEOUT_S: Final = 30


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
        self.site: Site = make_site(0, settings_pb2.DeploymentSettings())
        """The deployment's settings in force."""
        self.owner = ProcessId(f"{settings.id}.{secrets.token_hex(4)}")
        """Name as owner of request records, new at each start."""
        self.stopped = False
        """The process takes no new requests."""
        seed = zlib.crc32(self.owner.encode())
        self.directory = DirectoryActor.start(seed)
        """Actor that knows the backend servers."""
        self.settings_actor = SettingsActor.start(settings.site, self._on_site)
        """Actor that keeps the settings in force."""
        self.watch = client.watch(
            CONTROL_GROUP, SETTINGS_KEY, Revision(0), self._on_batch
        )
        """Watch of the settings."""
        self.app = self._make_app()
        """Application for callers."""
        self.announcements = AnnouncementServer(
            settings.entry.announcements, self.directory, lambda: self.site
        )
        """Listener for backend servers."""
        self.callers = self._make_callers()
        """Listener for callers."""
        self.operations = OperationsServer(
            settings.operations, self.metrics.registry, self.ready, self.dump
        )
        """Listener for operators."""
        self.callers.start()
        log.info("Entry process {} is up at {}.", settings.id, self.callers.address)

    def ready(self) -> bool:
        """Tell whether the balancer may send requests here."""
        return not self.stopped and self.site.number > 0

    def known_backend_servers(self) -> int:
        """Return the number of backend servers that have announced themselves."""
        return len(ask(self.directory, Dump())["backend_servers"])

    def dump(self) -> dict[str, Any]:
        """Return the state of the process."""
        return {
            "process": self.settings,
            "owner": self.owner,
            "settings_revision": self.site.number,
            "settings": self.site.settings,
            "running": self.app.running,
            "draining": self.app.draining,
            "directory": ask(self.directory, Dump()),
        }

    def stop(self) -> int:
        """Stop gracefully; return the number of requests left unfinished."""
        entry = self.settings.entry
        self.stopped = True
        log.info("Readiness fails for {} ms.", entry.balancer_grace_ms)
        time.sleep(entry.balancer_grace_ms / 1000)
        self.app.draining = True
        left = self.app.wait_idle(entry.drain_ms / 1000)
        if left:
            log.error("{} requests were still running.", left)
        self.callers.stop()
        self.announcements.stop()
        self.watch.stop()
        self.settings_actor.stop()
        self.directory.stop()
        self.operations.stop()
        log.info("Entry process {} has stopped.", self.settings.id)
        return left

    def _make_app(self) -> CallerApp:
        ledger = RequestLedger(self.client, REQUESTS_GROUP, self.owner)
        zone = AvailabilityZone(self.settings.availability_zone)
        parts = Parts(self.directory, BackendTransport(), ledger, zone)
        return CallerApp(parts, lambda: self.site, self.metrics)

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
        )

    def _on_site(self, site: Site) -> None:
        self.site = site
        self.metrics.settings_revision.set(site.number)

    def _on_batch(self, batch: WatchBatch) -> None:
        for event in batch.events:
            if event.deleted or event.entry.key != SETTINGS_KEY:
                continue
            revision = SettingsRevision.FromString(event.entry.value)
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
