"""Connects the components of one gateway and runs them on one event loop."""

from __future__ import annotations

import asyncio
import signal
import sys
from dataclasses import replace
from typing import TYPE_CHECKING, Final

import orjson

from tanagerturn.clocks import boot_s, wall_ms
from tanagerturn.coordination.errors import StepError
from tanagerturn.gateway import stream_origins
from tanagerturn.gateway.backends import indirect_checks
from tanagerturn.gateway.backends.brittle import encode_brittle
from tanagerturn.gateway.backends.departure_sources import (
    DepartureSource,
    log_departure,
)
from tanagerturn.gateway.backends.departures import DepartureTracker
from tanagerturn.gateway.callers import preview
from tanagerturn.gateway.callers.decoding_turns import DecodingTurns
from tanagerturn.gateway.callers.descriptors import connection_limits
from tanagerturn.gateway.callers.memory_budget import Purpose
from tanagerturn.gateway.callers.stopping import STOPPING_RETRY_S, Shutdown
from tanagerturn.gateway.configuration import IngressLimits
from tanagerturn.gateway.configuration_distributor import ConfigurationDistributor
from tanagerturn.gateway.control import Control
from tanagerturn.gateway.duties import Duties
from tanagerturn.gateway.links import Links
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.quarantine import crash_id, encode_suspects, log_changes
from tanagerturn.gateway.relay import Relay
from tanagerturn.gateway.repeats import encode_suspect_requests, log_repeat_changes
from tanagerturn.gateway.rollouts.rollouts import make_rollouts
from tanagerturn.gateway.server import HttpServer
from tanagerturn.gateway.spread.departures import DepartureSpread
from tanagerturn.gateway.spread.digests import DigestExchange
from tanagerturn.gateway.spread.mesh import BATCH_INTERVAL_S, TICK_S, Mesh
from tanagerturn.gateway.spread.receiver import DatagramReceiver
from tanagerturn.gateway.startup import SAVE_INTERVAL_S, Startup
from tanagerturn.gateway.state import make_state
from tanagerturn.gateway.state_group import founding, handover
from tanagerturn.gateway.state_group.member import TICK_S as MEMBER_TICK_S
from tanagerturn.gateway.state_group.member import StateMember
from tanagerturn.gateway.state_group.opening import open_member
from tanagerturn.gateway.state_group.replicated_store import ReplicatedStore
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from tanagerturn.gateway.callers.exchange import Exchange
    from tanagerturn.gateway.dialect import Dialect
    from tanagerturn.gateway.limits import AccountLimits
    from tanagerturn.gateway.settings import GatewaySettings
    from tanagerturn.schema import coordination_pb2 as pb
    from tanagerturn.serving.quarantine.evidence import Fingerprint

GROUP_CHECK_INTERVAL_S: Final = 0.15
"""Interval in seconds at which the members of the state group are checked."""

REOPEN_DELAY_S: Final = 0.5
"""Delay in seconds before another attempt to open the data folder."""

MIN_DRAIN_S: Final = 3.0
"""Minimum time in seconds for which a stopping gateway still accepts connections: the
load balancer probes once a second and removes a gateway after two failed probes."""

FLUSH_DELAY_S: Final = 0.1
"""Time in seconds for the last bytes to be sent before the process exits."""

END_TIMEOUT_S: Final = 0.1
"""Longest time in seconds for responses to requests that are not served."""

END_POLL_S: Final = 0.01
"""Interval in seconds at which it is checked whether they are answered."""

DRAIN_MARGIN_S: Final = 0.4
"""Time in seconds between the end of draining and the platform's SIGKILL."""

SWITCH_INTERVAL_S: Final = 0.001
"""Longest time in seconds for which a thread holds the interpreter lock while another
thread waits for it."""

READY_UNCONFIRMED_AFTER_S: Final = 3.0
"""Time in seconds after the start from which a gateway with a configuration is ready
even if the state group has not confirmed that this configuration is the latest."""

RELOAD_INTERVAL_S: Final = 2.0
"""Interval in seconds at which the settings file is reread."""

VIEW_INTERVAL_S: Final = 1.0
"""Longest interval in seconds at which the present and known gateways are determined
although no change was seen."""

FORWARDING_BYTES: Final = 8_192
"""Maximum size in bytes of the header that a peer adds to a forwarded request."""

CONTROL_LIMITS: Final = IngressLimits(body_bytes=6 * 1024 * 1024)
"""Limits on calls of backend servers and operators; links to peers carry 8 MiB. Those
of a configuration bound callers only: a configuration may be larger than they allow."""

MAX_URGENT_REQUESTS: Final = 256
"""Maximum number of suspected requests that are sent to peers at once, 12 KB."""

JSON_TYPE: Final = [(b"Content-Type", b"application/json")]
METRICS_TYPE: Final = [(b"Content-Type", b"text/plain; version=0.0.4")]

log = component_log("gateway")


class Gateway:
    """All components of one gateway process.

    Args:
        settings: Settings of the process.
        dialect: Translates between the platform's HTTP interface and the gateway's
            messages.
        loop: Event loop that runs all components.
        reload_settings: Rereads the settings file and returns the settings.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        loop: asyncio.AbstractEventLoop,
        reload_settings: Callable[[], GatewaySettings],
    ) -> None:
        self.settings = settings
        """Settings of the process."""
        self.loop = loop
        """Event loop that runs all components."""
        self.reload_settings = reload_settings
        """Rereads the settings file and returns the settings."""
        self.started_s = boot_s()
        """Boot-clock time of the process start in seconds."""
        self.state = make_state(settings, dialect, self.started_s, wall_ms() / 1000)
        """State that the components of the gateway share."""
        self.links = Links(self.on_frame, self.state.memory)
        """Links to peer gateways."""
        self.member: StateMember | None = None
        """Member of the state group; None on hosts without a disk, and until the
        member is open."""
        self.relay = Relay(self.state, self.links)
        """Proxies callers' requests to backend servers."""
        self.digests = DigestExchange(
            self.state, self.links, loop, self.on_peer_version, self.relay.wake
        )
        """Builds and applies the digests that gateways exchange."""
        self.digests.has_disk = settings.data_folder is not None
        self.mesh = Mesh(
            settings,
            self.state.random,
            self.digests.fill_digest,
            self.digests.stamp_digest,
            self.digests.on_digest,
            self.digests.on_news,
            self._on_version,
        )
        """Membership of gateways and datagrams to peers."""
        self.receiver = DatagramReceiver(
            self.mesh, self.state.backlog, self.digests.lag, self.state.metrics, loop
        )
        """Reads the datagrams of peers."""
        self.store = ReplicatedStore(self.links, self.member, self._peer_digests)
        """Reads and writes of the state group."""
        self.configurations = ConfigurationDistributor(
            self.state, self.store, self.links, self.mesh, self.relay.wake
        )
        """Stores, distributes and applies configurations."""
        self.rollouts = make_rollouts(
            self.state, self.store, self.configurations, self.mesh
        )
        """Rollouts of services; None unless the settings allow them."""
        if self.rollouts is not None:
            self.digests.rollouts = self.rollouts.spread
        self.departure_spread = DepartureSpread(self.state, self.mesh, self.links)
        """Sends departures of backend servers to the peers."""
        self.control = Control(
            self.state,
            self.mesh,
            self.configurations,
            DepartureTracker(self.state, self.mesh.send_update),
            self.departure_spread,
            self.digests.fetch_registry,
            self.started_s,
            self.rollouts,
        )
        """Handles calls of backend servers and operators."""
        self.duties = Duties(self.state, self.store, self.member)
        """Calls to the cloud API."""
        memory, most = self.state.memory, connection_limits(settings.max_fds)
        # Callers, of whom peers forward some, can't delay the bodies of control calls.
        turns = DecodingTurns()
        refusals = self.state.metrics.refusals
        memory.refusals.on_refused = lambda kind: refusals.labels(kind).inc()
        self.caller_server = HttpServer(
            self.relay.handle,
            self._ingress_limits,
            memory,
            Purpose.CALLER,
            most.callers,
            turns,
        )
        """Listener for callers."""
        self.forwarding_server = HttpServer(
            self.relay.handle_forwarded,
            self._forwarding_limits,
            memory,
            Purpose.PEER,
            most.peers,
            turns,
        )
        """Listener for requests that peers forward."""
        self.readiness_server = HttpServer(
            self.on_readiness,
            self._ingress_limits,
            memory,
            Purpose.CONTROL,
            most.checks,
        )
        """Listener for the load balancer."""
        self.control_server = HttpServer(
            self.control.handle,
            lambda: CONTROL_LIMITS,
            memory,
            Purpose.CONTROL,
            most.control,
        )
        """Listener for backend servers and operators."""
        self.metrics_server = HttpServer(
            self.on_metrics,
            self._ingress_limits,
            memory,
            Purpose.CONTROL,
            most.checks,
        )
        """Listener for metrics."""
        self.startup = Startup(
            self.state, self.configurations, self.mesh, self.digests, loop
        )
        """Loads and saves the warm start."""
        self.seed_ips = settings.seed_ips
        """IP addresses of the seeds in force."""
        self.is_configuration_confirmed = False
        """Whether the state group has confirmed the configuration since the start."""
        self.may_exit = asyncio.Event()
        """Set when the process may exit."""
        self.quarantined_requests: frozenset[Fingerprint] = frozenset()
        """Requests that were quarantined at the last tick."""
        self.next_view_s = 0.0
        """Boot-clock time in seconds at which the present and known gateways are
        determined again even if no change was seen: lost ones expire."""
        # Until it has met its peers, this gateway must not own limits.
        self._update_gateways(self.started_s)

    async def run(self) -> None:
        """Serve until a signal stops the process."""
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        settings = self.settings
        self.startup.load(self.seed_ips)
        await self.mesh.listen()
        await self.links.listen(settings.link_address)
        await self.forwarding_server.listen(settings.forwarding_address)
        await self.control_server.listen(settings.control_address)
        await self.readiness_server.listen(settings.readiness_address)
        # Before callers are accepted: a signal must not end the process with a request.
        self.loop.add_signal_handler(signal.SIGTERM, self.on_terminate)
        self.loop.add_signal_handler(signal.SIGHUP, self.on_reload)
        await self.caller_server.listen(settings.callers_address)
        if settings.metrics_address:
            await self.metrics_server.listen(settings.metrics_address)
        log.info("started", host=settings.host, zone=settings.zone)
        tasks = [
            self.loop.create_task(self._run_every(TICK_S, self._tick)),
            self.loop.create_task(
                self._run_every(BATCH_INTERVAL_S, self._exchange_datagrams)
            ),
            self.loop.create_task(
                self._run_every(GROUP_CHECK_INTERVAL_S, self._tick_group)
            ),
            # The settings file may change without a SIGHUP.
            self.loop.create_task(self._run_every(RELOAD_INTERVAL_S, self.on_reload)),
            self.loop.create_task(
                self._run_every(SAVE_INTERVAL_S, self.startup.remember)
            ),
            self.loop.create_task(self.duties.run()),
            self.loop.create_task(self._run_member()),
            *self._rollout_tasks(),
            self.loop.create_task(self._confirm_configuration()),
            self.loop.create_task(self.startup.fetch_from_seeds(self.seed_ips)),
        ]
        await self.may_exit.wait()
        for task in tasks:
            task.cancel()
        log.info(
            "stopped", host=settings.host, running=self.caller_server.running_count
        )

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers to this gateway."""
        if self.state.is_draining or not self.state.configuration.version:
            return False
        if boot_s() - self.started_s >= READY_UNCONFIRMED_AFTER_S:
            return True
        may_run = self.rollouts is None or self.rollouts.is_ready()
        return self.is_configuration_confirmed and may_run

    def on_terminate(self) -> None:
        """Start to drain: accept no new callers and respond to running requests."""
        if self.state.is_draining:
            return
        self.state.is_draining = True
        now_s = boot_s()
        self.state.shutdown = Shutdown(
            listens_until_s=now_s + MIN_DRAIN_S,
            end_s=now_s + self.settings.grace_s - DRAIN_MARGIN_S,
        )
        log.info("stopping", running=self.caller_server.running_count)
        self.caller_server.drain()
        # Waiting requests that can't be served in time are refused at once.
        self.relay.wake()
        if self.member is not None:
            self.member.drain()
        self._update_gateways(boot_s())
        self.mesh.send_digest(boot_s())
        self.loop.create_task(self._drain())

    def on_reload(self) -> None:
        """Reread the settings file and apply changed seeds, but no other changes."""
        try:
            settings = self.reload_settings()
        except StepError as error:
            log.warning("settings_not_reloaded", reason=str(error))
            return
        if settings.seed_ips != self.seed_ips:
            self.seed_ips = settings.seed_ips
            self.mesh.set_seeds(settings.seed_ips)
            log.info("settings_reloaded", seeds=",".join(settings.seed_ips))

    async def on_readiness(self, exchange: Exchange) -> None:
        """Respond to the load balancer's probe."""
        is_known = exchange.target == self.state.dialect.readiness_path
        status = 404 if not is_known else 200 if self.is_ready() else 503
        await exchange.respond(status, [], b"")

    async def on_metrics(self, exchange: Exchange) -> None:
        """Respond with all metrics in the Prometheus text format, or a preview."""
        if exchange.target.partition("?")[0] == preview.PATH:
            await self._on_preview(exchange)
            return
        metrics = self.state.metrics
        running, waiting = (
            len(self.relay.sender.running),
            len(self.relay.capacity_waiters),
        )
        metrics.update(self.state, running, waiting, boot_s(), wall_ms() / 1000)
        await exchange.respond(200, METRICS_TYPE, metrics.text())

    async def _on_preview(self, exchange: Exchange) -> None:
        try:
            explained = preview.preview(self.state, exchange.target, boot_s())
        except ValueError as error:
            await exchange.respond(400, [], str(error).encode())
            return
        await exchange.respond(200, JSON_TYPE, orjson.dumps(explained))

    async def on_frame(self, frame: gpb.Frame, peer: str) -> gpb.Frame | None:
        """Handle a frame of a peer gateway; return the response to a call."""
        kind = frame.WhichOneof("kind")
        if kind == "log" and self.member is not None:
            self.member.deliver(frame.log.messages)
        elif kind == "found" and self.member is not None:
            return await self.member.founding.on_order(frame.found)
        elif kind == "founding":
            return await self._serve_ballot(frame.founding)
        elif kind == "departures":
            self.digests.on_departures(
                frame.departures, DepartureSource.CONFIRMATION, peer, boot_s()
            )
            return gpb.Frame(done=gpb.Done())
        elif kind == "ask_news":
            is_starting = frame.ask_news.is_starting
            return gpb.Frame(
                news=self.digests.backend_updates(boot_s(), with_departures=is_starting)
            )
        elif kind == "correction":
            limits = self._limits(is_backend=frame.correction.backend_limit)
            limits.on_correction(frame.correction, self.links)
        elif kind == "ask_stream_origin":
            call, origins = frame.ask_stream_origin, self.state.stream_origins
            return stream_origins.serve_call(origins, call, boot_s())
        elif kind == "check_backend":
            return await indirect_checks.serve_check(frame.check_backend)
        elif kind == "stream_origins":
            stream_origins.apply_origins(
                self.state.stream_origins, frame.stream_origins, boot_s()
            )
        elif kind == "take":
            limits = self._limits(is_backend=frame.take.backend_limit)
            return await limits.serve(frame.take, self.links, boot_s())
        elif kind == "read" and frame.read.stale_allowed:
            return self.configurations.serve_fetch()
        elif kind in ("propose", "read"):
            return await self.store.serve(frame)
        return None

    async def _serve_ballot(self, call: gpb.FoundingCall) -> gpb.Frame:
        if self.member is not None:
            return await self.member.founding.respond(call)
        if self.settings.data_folder is None:
            return founding.serve_witness(self._peer_digests())
        return gpb.Frame(failure=gpb.Failure(reason="the member is not open"))

    def _limits(self, *, is_backend: bool) -> AccountLimits:
        return self.state.backend_limits.limits if is_backend else self.state.limits

    def _ingress_limits(self) -> IngressLimits:
        return self.state.configuration.limits

    def _forwarding_limits(self) -> IngressLimits:
        limits = self.state.configuration.limits
        return replace(limits, header_bytes=limits.header_bytes + FORWARDING_BYTES)

    def _peer_digests(self) -> list[gpb.Digest]:
        return self.mesh.recent_digests(boot_s())

    async def _run_every(self, interval_s: float, tick: Callable[[], None]) -> None:
        while True:
            try:
                tick()
            except Exception as error:
                # An error in one tick must not end a task that other components need.
                log.error("tick_failed", tick=tick.__name__, reason=repr(error))
            await asyncio.sleep(interval_s)

    def _tick(self) -> None:
        now_s = boot_s()
        self.mesh.tick(now_s)
        self.state.detect_pause(now_s)
        if self.mesh.take_view_change() or now_s >= self.next_view_s:
            self._update_gateways(now_s)
        self.state.limits.report(self.state.metrics.limit_units, now_s)
        backend_limits, metrics = self.state.backend_limits, self.state.metrics
        backend_limits.limits.report(metrics.backend_limit_requests, now_s)
        backend_limits.expire(self.state.fleet.view.backends.values(), now_s)
        self.state.fleet.expire(now_s)
        self.state.note_versions(now_s)
        self._update_quarantine(now_s)
        self.relay.start_migrations(now_s)
        self.relay.sender.path_checker.tick(now_s)
        if self.rollouts is not None:
            self.rollouts.tick(now_s)
        self.state.pool.expire(set(self.state.fleet.view.backends), now_s)
        self.startup.remember_departures()

    def _update_quarantine(self, now_s: float) -> None:
        quarantine, repeats = self.state.quarantine, self.state.repeats
        crash_detector = self.relay.sender.crash_detector
        for backend in self.state.fleet.take_replaced():
            self.state.crash_log.remember(crash_id(backend), now_s)
            crash_detector.on_replaced(backend)
        crash_detector.expire(now_s)
        repeats.update(now_s)
        requests = repeats.quarantined()
        have_requests_changed = requests != self.quarantined_requests
        if have_requests_changed:
            log_repeat_changes(repeats, self.quarantined_requests)
            self.quarantined_requests = requests
        previous = quarantine.quarantined
        have_parts_changed = quarantine.update(now_s, repeats.quarantined_crashes())
        if have_parts_changed:
            log_changes(quarantine, previous)
        self.state.quarantine_share.report(now_s)
        if have_requests_changed or have_parts_changed:
            self.relay.sender.withdraw_quarantined()

    def _update_gateways(self, now_s: float) -> None:
        self.next_view_s = now_s + VIEW_INTERVAL_S
        present = self.mesh.present_gateways()
        self.state.peer_paths.set_peers(present, self.mesh.zones())
        self.state.fleet.brittle.set_gateways(self.mesh.known_hosts(now_s))
        self.state.set_gateways(
            present,
            self.mesh.known_count(now_s),
            self.mesh.met_count(now_s),
            now_s,
        )

    def _exchange_datagrams(self) -> None:
        self.receiver.run_round(boot_s())
        now_s = boot_s()
        self.mesh.send_broadcasts(now_s)
        self.mesh.send_next_batch(now_s)
        if self.rollouts is not None:
            self.rollouts.exchange(now_s)
        fleet = self.state.fleet
        if fleet.stated_departures:
            stated, fleet.stated_departures = fleet.stated_departures, []
            for each in stated:
                log.info("backend_withdrawn", backend=each.backend_id)
                log_departure(self.state, each.backend_id, DepartureSource.RESPONSE)
                update = gpb.BackendNews()
                if each.announcement is not None:
                    update.announcements.append(each.announcement)
                    self.control.departures.on_leaving(each.backend_id)
                self.departure_spread.send(each.start, update, now_s)
        if self.state.stream_origins.unsent:
            stream_origins.send_unsent(
                self.state.stream_origins,
                self.links,
                self.state.limits.gateways,
                now_s,
            )
        quarantine, backend_limits = self.state.quarantine, self.state.backend_limits
        if quarantine.urgent:
            parts = quarantine.take_urgent()
            suspects = encode_suspects(quarantine, parts, now_s)
            self.mesh.send_once(gpb.Datagram(suspects=suspects), now_s)
        repeats = self.state.repeats
        if repeats.urgent:
            requests = repeats.take_urgent()[:MAX_URGENT_REQUESTS]
            suspect_requests = encode_suspect_requests(repeats, requests, now_s)
            datagram = gpb.Datagram(suspect_requests=suspect_requests)
            self.mesh.send_once(datagram, now_s)
        services, rejecting = fleet.brittle.take_urgent()
        if services or rejecting:
            for service in services:
                log.warning("service_brittle", service=service)
            brittle = encode_brittle(fleet, services, rejecting, now_s)
            self.mesh.send_once(gpb.Datagram(brittle=brittle), now_s)
        if backend_limits.named.urgent:
            keys = backend_limits.named.take_urgent()
            named_limits = backend_limits.encode(keys, now_s)
            self.mesh.send_once(gpb.Datagram(named_limits=named_limits), now_s)

    def _tick_group(self) -> None:
        now_s = boot_s()
        digests = self._peer_digests()
        self.links.close_unknown(
            {d.link_address for d in digests}
            | set(self.state.limits.gateways.values())
            | self._member_addresses()
        )
        if self.member is not None:
            present = self.mesh.present_hosts()
            self.member.repair(self.member.view(digests, present), now_s)
            self.member.tick_founding(digests)

    def _member_addresses(self) -> set[str]:
        if self.member is None:
            return set()
        addresses = set(self.member.transport.addresses.values())
        return addresses | self.member.founding.addresses

    def on_peer_version(self, version: int, link_address: str) -> None:
        """Fetch the configuration of a peer if its version is newer."""
        self.configurations.on_peer_version(version, link_address)

    def _on_version(self, version: int, ip: str) -> None:
        address = f"{ip}:{self.settings.link_port}"
        self.on_peer_version(version, address)

    def _on_batch(self, batch: pb.WatchBatch) -> None:
        self.configurations.on_batch(batch)
        if self.rollouts is not None:
            self.rollouts.on_batch(batch)

    def _rollout_tasks(self) -> list[asyncio.Task[None]]:
        if self.rollouts is None:
            return []
        return [self.loop.create_task(self.rollouts.holder.run())]

    async def _run_member(self) -> None:
        """Open the state group member, if the host has a disk, and run its timers.

        It is opened in a thread: a stalled disk must not block.
        """
        if self.settings.data_folder is None:
            return
        while self.member is None:
            try:
                member = await self.loop.run_in_executor(
                    None,
                    open_member,
                    self.settings,
                    self.links,
                    self.loop,
                    self._on_batch,
                )
            except (StepError, OSError) as error:
                log.warning("member_not_opened", reason=str(error))
                await asyncio.sleep(REOPEN_DELAY_S)
            else:
                self.member = self.store.member = self.duties.member = member
                self.digests.member = member
                if self.state.is_draining:
                    member.drain()
                await self._run_every(MEMBER_TICK_S, member.tick)

    async def _confirm_configuration(self) -> None:
        """Read the latest configuration from the state group until a read succeeds."""
        while not self.is_configuration_confirmed:
            self.is_configuration_confirmed = (
                await self.configurations.read_newest()
            ).is_ok()
            if not self.is_configuration_confirmed:
                await asyncio.sleep(GROUP_CHECK_INTERVAL_S)

    async def _drain(self) -> None:
        """Wait until the running requests have ended, then let the process exit."""
        assert self.state.shutdown is not None
        end_s = self.state.shutdown.end_s
        while boot_s() < self.state.shutdown.listens_until_s:
            await asyncio.sleep(TICK_S)
        # A request accepted later might not finish before the SIGKILL.
        self.caller_server.close()
        await self._wait_until_idle(end_s)
        await self._end_requests()
        await self._wait_for_successor(end_s)
        self.forwarding_server.close()
        self.mesh.leave()
        await asyncio.sleep(FLUSH_DELAY_S)
        # A request that arrived as the listeners closed may have begun meanwhile.
        await self._wait_until_idle(end_s)
        await self._end_requests()
        self.state.is_stopping_now = True
        self.control_server.close()
        self.control_server.end_requests(STOPPING_RETRY_S)
        await self._wait_for_responses([self.control_server])
        self.may_exit.set()

    async def _end_requests(self) -> None:
        """Let the requests that are left be answered at once, though not served."""
        if not self._is_busy:
            return
        self.state.is_stopping_now = True
        self.caller_server.end_requests(STOPPING_RETRY_S)
        self.forwarding_server.end_requests(STOPPING_RETRY_S)
        await self._wait_for_responses([self.caller_server, self.forwarding_server])

    async def _wait_for_responses(self, servers: Sequence[HttpServer]) -> None:
        """Wait until all requests at some servers have their responses."""
        end_s = boot_s() + END_TIMEOUT_S
        while boot_s() < end_s and any(server.is_busy for server in servers):
            await asyncio.sleep(END_POLL_S)

    async def _wait_for_successor(self, end_s: float) -> None:
        """Wait until the state group does not need this gateway's member.

        Args:
            end_s: Boot-clock time in seconds at which the wait is given up.
        """
        member = self.member
        if member is None:
            return
        may_end = False
        while not may_end and boot_s() < end_s:
            view = member.view(self._peer_digests(), self.mesh.present_hosts())
            may_end = handover.may_end(view, self.settings.state_members)
            if not may_end:
                await asyncio.sleep(min(TICK_S, max(0.0, end_s - boot_s())))
        if not may_end:
            log.warning("place_kept", member=member.id)
        member.transfer_leadership()

    async def _wait_until_idle(self, end_s: float) -> None:
        """Wait until no request is handled.

        Args:
            end_s: Boot-clock time in seconds at which the wait is given up.
        """
        while (left_s := end_s - boot_s()) > 0 and self._is_busy:
            await asyncio.sleep(min(TICK_S, left_s))

    @property
    def _is_busy(self) -> bool:
        return self.caller_server.is_busy or self.forwarding_server.is_busy


async def run_gateway(
    settings: GatewaySettings,
    dialect: Dialect,
    reload_settings: Callable[[], GatewaySettings],
) -> None:
    """Run one gateway until a signal stops it.

    Args:
        settings: Settings of the process.
        dialect: Translates between the platform's HTTP interface and the gateway's
            messages.
        reload_settings: Rereads the settings file and returns the settings; raises
            `StepError` if that fails.

    Raises:
        OSError: An address can't be used.
        StepError: The data folder can't be used.
    """
    gateway = Gateway(settings, dialect, asyncio.get_running_loop(), reload_settings)
    await gateway.run()
