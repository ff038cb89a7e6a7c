"""Starts the components of a control process and stops them gracefully."""

from __future__ import annotations

import secrets
from random import Random
from typing import TYPE_CHECKING, Any

from prometheus_client import CollectorRegistry, Gauge

from tanagerturn.actors import ask
from tanagerturn.clocks import monotonic_ms
from tanagerturn.control.capacity_actor import CapacityActor
from tanagerturn.control.cloud import CloudClient
from tanagerturn.control.host_manager import HostManager, LeaseKeeperAdapter
from tanagerturn.control.lease_actor import LeaseActor
from tanagerturn.control.limit_publisher import LimitPublisher
from tanagerturn.control.messages import Dump, NewRevision, ReleaseLease, Tick
from tanagerturn.control.notice_actor import NoticeActor, RecordDrain
from tanagerturn.control.order_actor import OrderActor
from tanagerturn.control.order_controller import CONTROL_LEASE, OrderController
from tanagerturn.control.transport import HttpEngineTransport
from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.ids import ClusterId, ProcessId
from tanagerturn.coordination.leases import LeaseKeeper, LeaseTerms, holder_id
from tanagerturn.coordination.node import start_node
from tanagerturn.coordination.shares.service import ShareServicer
from tanagerturn.observe.logs import component_logger
from tanagerturn.observe.operations import OperationsServer
from tanagerturn.schema import shares_pb2_grpc as spb_grpc
from tanagerturn.schema.settings_pb2 import DeploymentSettings
from tanagerturn.serving.orders.book import SEND_TIMEOUT_MS
from tanagerturn.shared.announcements import AnnouncementServer
from tanagerturn.shared.resolved_settings import ResolvedSettings, resolve_settings

if TYPE_CHECKING:
    import grpc
    import pykka

    from tanagerturn.coordination.client import StateClient
    from tanagerturn.schema.coordination_pb2 import SettingsRevision
    from tanagerturn.schema.settings_pb2 import ProcessSettings

__all__ = ["CONTROL_LEASE", "ControlServer", "start_control"]

log = component_logger("control")


class ControlServer:
    """A running control process.

    Args:
        settings: Settings of the process, with the section `control`.
        client: Client of the replicated store.
    """

    def __init__(self, settings: ProcessSettings, client: StateClient) -> None:
        self.settings = settings
        """Settings of the process."""
        self.registry = CollectorRegistry()
        """Registry of the metrics of the process."""
        self.keeper = LeaseKeeper(
            client,
            CONTROL_GROUP,
            CONTROL_LEASE,
            holder_id(ProcessId(settings.id), secrets.token_hex(4)),
            LeaseTerms(settings.control.lease_ms),
            monotonic_ms,
        )
        """Keeper of the control lease."""
        active = Gauge(
            "tanager_control_active",
            "1 while this process holds the control lease.",
            registry=self.registry,
        )
        active.set_function(lambda: float(self.active()))
        period_s = settings.control.period_ms / 1000
        self.lease_actor = LeaseActor.start(self.keeper, period_s)
        """Actor that acquires and renews the control lease."""
        self.lease_actor.tell(Tick())
        self.resolved_settings: ResolvedSettings = resolve_settings(
            0, DeploymentSettings()
        )
        """Settings of the deployment in force, resolved for this site."""
        self.shares = ShareServicer(ClusterId(settings.cluster), self.keeper)
        """Allocates shares of the limits of client accounts while the lease is held."""
        self.limits = LimitPublisher(client, self.shares)
        """Passes limits and the number of entry hosts to `shares`."""
        controller = OrderController(client, self.keeper, Random(secrets.randbits(64)))
        self.transport = HttpEngineTransport()
        """Sends requests to engines."""
        self.order_actor = OrderActor.start(
            controller, self.transport, settings.site, period_s, self._on_settings
        )
        """Actor that sends orders to engines."""
        self.order_actor.tell(Tick())
        self.notice_actor = self._start_notices(client, period_s)
        """Actor that records reclaim notices; None if the settings lack a cloud API."""
        self.capacity_actor = self._start_capacity(client, period_s)
        """Actor that starts and releases hosts; None if the settings lack the cloud API
        or the announcement listener."""
        self.announcements = self._start_announcements()
        """Server for announcements of backend servers; None if the settings lack the
        announcement listener."""
        self.node = start_node(
            settings, client, "control", self._on_revision, self._add_services
        )
        """Node that receives settings revisions and takes part in the membership."""
        self.operations = OperationsServer(
            settings.operations, self.registry, lambda: True, self.dump
        )
        """HTTP server for operators."""
        self._check_lease_duration()
        log.info("Control process {} has started.", settings.id)

    def active(self) -> bool:
        """Return whether this process holds the control lease now."""
        return self.keeper.held(monotonic_ms())

    def dump(self) -> dict[str, Any]:
        """Return the state of the process."""
        return {
            "process": self.settings,
            "lease": ask(self.lease_actor, Dump()),
            "orders": ask(self.order_actor, Dump()),
            "shares": self.shares.dump(),
            "notices": _dump_actor(self.notice_actor),
            "capacity": _dump_actor(self.capacity_actor),
            **self.node.dump(),
        }

    def stop(self) -> None:
        """Stop sending orders, release the lease, leave the membership and stop."""
        if self.announcements is not None:
            self.announcements.stop()
        self.limits.stop()
        for actor in (self.capacity_actor, self.notice_actor):
            if actor is not None:
                actor.stop()
        self.order_actor.stop()
        ask(self.lease_actor, ReleaseLease())
        self.lease_actor.stop()
        self.node.leave()
        self.node.stop()
        self.operations.stop()
        self.transport.close()
        log.info("Control process {} has stopped.", self.settings.id)

    def _start_notices(
        self, client: StateClient, period_s: float
    ) -> pykka.ActorRef[NoticeActor] | None:
        if not self.settings.control.cloud_url:
            return None
        cloud = CloudClient(self.settings.control.cloud_url)
        actor = NoticeActor.start(client, self.keeper, cloud, period_s)
        actor.tell(Tick())
        return actor

    def _start_capacity(
        self, client: StateClient, period_s: float
    ) -> pykka.ActorRef[CapacityActor] | None:
        notices = self.notice_actor
        if notices is None or not self.settings.control.HasField("announcements"):
            # Without announcements no host would ever become ready.
            return None
        manager = HostManager(
            client,
            LeaseKeeperAdapter(self.keeper),
            CloudClient(self.settings.control.cloud_url),
            lambda host, at_ms: bool(ask(notices, RecordDrain(host, at_ms))),
            Random(secrets.randbits(64)),
        )
        actor = CapacityActor.start(
            manager,
            self.order_actor,
            notices,
            lambda: self.resolved_settings.settings,
            period_s,
        )
        actor.tell(Tick())
        return actor

    def _start_announcements(self) -> AnnouncementServer | None:
        if not self.settings.control.HasField("announcements"):
            return None
        listener = self.settings.control.announcements
        return AnnouncementServer(
            listener, self.order_actor, lambda: self.resolved_settings
        )

    def _check_lease_duration(self) -> None:
        terms = self.keeper.core.terms
        if terms.validity_ms - terms.renew_ms <= SEND_TIMEOUT_MS:
            log.warning(
                "Control lease of {} ms is too short for sends of {} ms: "
                "few orders are sent.",
                terms.duration_ms,
                SEND_TIMEOUT_MS,
            )

    def _on_settings(self, resolved_settings: ResolvedSettings) -> None:
        self.resolved_settings = resolved_settings
        self.limits.set_settings(resolved_settings)

    def _add_services(self, server: grpc.Server) -> None:
        spb_grpc.add_ShareServiceServicer_to_server(self.shares, server)

    def _on_revision(self, revision: SettingsRevision) -> None:
        self.order_actor.tell(NewRevision(revision))


def start_control(settings: ProcessSettings, client: StateClient) -> ControlServer:
    """Start a control process within the current process.

    Args:
        settings: Settings of the process, with the section `control`.
        client: Client of the replicated store.
    """
    return ControlServer(settings, client)


def _dump_actor(actor: pykka.ActorRef[Any] | None) -> Any:
    return ask(actor, Dump()) if actor is not None else {}
