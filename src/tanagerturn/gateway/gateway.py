"""Puts the parts of one gateway together and runs them on one event loop."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s, wall_ms
from tanagerturn.coordination.errors import StepError
from tanagerturn.gateway.configurations import Configurations
from tanagerturn.gateway.control import Control
from tanagerturn.gateway.departures import Departures
from tanagerturn.gateway.digests import DigestExchange
from tanagerturn.gateway.duties import Duties
from tanagerturn.gateway.founding import Founding
from tanagerturn.gateway.links import Links
from tanagerturn.gateway.logs import part_log
from tanagerturn.gateway.member import TICK_S as MEMBER_TICK_S
from tanagerturn.gateway.member import StateMember, open_member
from tanagerturn.gateway.mesh import SEND_S, TICK_S, Mesh
from tanagerturn.gateway.relay import Relay
from tanagerturn.gateway.replicated import ReplicatedStore
from tanagerturn.gateway.server import HttpServer
from tanagerturn.gateway.starting import REMEMBER_S, Starting
from tanagerturn.gateway.state import make_state
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.gateway.configuration import IngressLimits
    from tanagerturn.gateway.dialect import Dialect
    from tanagerturn.gateway.server import Exchange
    from tanagerturn.gateway.settings import GatewaySettings
    from tanagerturn.schema import coordination_pb2 as pb

REPAIR_S: Final = 0.15
"""Time between looks at the members of the state group."""

OPEN_AGAIN_S: Final = 0.5
"""Time between two tries to open the data folder."""

DRAIN_LEAST_S: Final = 3.0
"""Time for which a stopping gateway still takes connections: the balancer asks
once a second and takes it out after two misses."""

FLUSH_S: Final = 0.1
"""Time for the last bytes to leave before the process ends."""

DRAIN_MARGIN_S: Final = 0.4
"""Time before the platform's SIGKILL at which a stopping gateway ends."""

SWITCH_INTERVAL_S: Final = 0.001
"""Longest turn of a thread while another one waits."""

READY_WITHOUT_GROUP_S: Final = 3.0
"""Time after which a gateway with a configuration is ready although it could not
confirm that it is the newest."""

RELOAD_S: Final = 2.0
"""Time between two looks at the settings file."""

METRICS_TYPE: Final = [(b"Content-Type", b"text/plain; version=0.0.4")]

log = part_log("gateway")


class Gateway:
    """One running gateway.

    Args:
        settings: Settings of the process.
        dialect: Adapter of the platform.
        loop: The event loop.
        reload: Reads the settings again.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        loop: asyncio.AbstractEventLoop,
        reload: Callable[[], GatewaySettings],
    ) -> None:
        self.settings = settings
        """Settings of the process."""
        self.loop = loop
        """The event loop."""
        self.reload = reload
        """Reads the settings again."""
        self.started_s = boot_s()
        """Boot clock at the start."""
        self.state = make_state(settings, dialect, self.started_s, wall_ms() / 1000)
        """State that the parts share."""
        self.links = Links(self.on_frame)
        """Links to other gateways."""
        self.member: StateMember | None = None
        """Member of the state group, on hosts with a disk."""
        self.relay = Relay(self.state, self.links)
        """Requests of callers."""
        self.digests = DigestExchange(
            self.state, self.links, loop, self.on_told, self.relay.wake
        )
        """What gateways tell each other."""
        self.mesh = Mesh(
            settings,
            self.state.random,
            self.digests.fill,
            self.digests.stamp,
            self.digests.on_digest,
            self.digests.on_news,
            self._on_version,
        )
        """Datagrams to other gateways."""
        self.store = ReplicatedStore(self.links, self.member, self._digests)
        """Calls to the state group."""
        self.configurations = Configurations(
            self.state, self.store, self.links, self.mesh, self.relay.wake
        )
        """The way of configurations."""
        self.control = Control(
            self.state,
            self.mesh,
            self.configurations,
            Departures(self.state, self.mesh.tell_news),
            self.started_s,
        )
        """Backend servers and operators."""
        self.duties = Duties(self.state, self.store, self.member)
        """Calls to the cloud API."""
        self.callers = HttpServer(self.relay.handle, self._limits)
        """Listener for callers."""
        self.readiness = HttpServer(self.on_readiness, self._limits)
        """Listener for the balancer."""
        self.operators = HttpServer(self.control.handle, self._limits)
        """Listener for backend servers and operators."""
        self.metrics = HttpServer(self.on_metrics, self._limits)
        """Listener for metrics."""
        self.founding = Founding()
        """Founding of the state group."""
        self.starting = Starting(
            self.state, self.configurations, self.mesh, self.digests, loop
        )
        """What a start needs."""
        self.seed_ips = settings.seed_ips
        """Seeds in force."""
        self.is_confirmed = False
        """The configuration was confirmed by the state group since the start."""
        self.ended = asyncio.Event()
        """Set when the process may end."""

    async def run(self) -> None:
        """Serve until a signal ends the process."""
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        settings = self.settings
        self.starting.recall(self.seed_ips)
        await self.mesh.listen()
        await self.links.listen(settings.link_address)
        await self.operators.listen(settings.control_address)
        await self.readiness.listen(settings.readiness_address)
        await self.callers.listen(settings.callers_address)
        if settings.metrics_address:
            await self.metrics.listen(settings.metrics_address)
        self.loop.add_signal_handler(signal.SIGTERM, self.on_terminate)
        self.loop.add_signal_handler(signal.SIGHUP, self.on_reload)
        log.info("started", host=settings.host, zone=settings.zone)
        tasks = [
            self.loop.create_task(self._every(TICK_S, self._tick)),
            self.loop.create_task(self._every(SEND_S, self._send_due)),
            self.loop.create_task(self._every(MEMBER_TICK_S, self._tick_member)),
            self.loop.create_task(self._every(REPAIR_S, self._tick_group)),
            # The file may change without a signal.
            self.loop.create_task(self._every(RELOAD_S, self.on_reload)),
            self.loop.create_task(self._every(REMEMBER_S, self.starting.remember)),
            self.loop.create_task(self.duties.run()),
            self.loop.create_task(self._open_member()),
            self.loop.create_task(self._confirm()),
            self.loop.create_task(self.starting.ask_seeds(self.seed_ips)),
        ]
        await self.ended.wait()
        for task in tasks:
            task.cancel()
        log.info("stopped", host=settings.host, running=self.callers.running)

    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        if self.state.is_draining or not self.state.configuration.version:
            return False
        young = boot_s() - self.started_s < READY_WITHOUT_GROUP_S
        return self.is_confirmed or not young

    def on_terminate(self) -> None:
        """Begin to stop: take no new callers, and answer those that are here."""
        if self.state.is_draining:
            return
        self.state.is_draining = True
        log.info("stopping", running=self.callers.running)
        self.callers.drain()
        if self.member is not None:
            self.member.hand_over()
        self.mesh.send_digest(boot_s())
        self.loop.create_task(self._drain())

    def on_reload(self) -> None:
        """Take over settings that may change while the process runs: the seeds."""
        try:
            settings = self.reload()
        except StepError as error:
            log.warning("settings_not_reloaded", reason=str(error))
            return
        if settings.seed_ips != self.seed_ips:
            self.seed_ips = settings.seed_ips
            self.mesh.set_seeds(settings.seed_ips)
            log.info("settings_reloaded", seeds=",".join(settings.seed_ips))

    async def on_readiness(self, exchange: Exchange) -> None:
        """Answer the balancer."""
        is_known = exchange.target == self.state.dialect.readiness_path
        status = 404 if not is_known else 200 if self.is_ready() else 503
        await exchange.respond(status, [], b"")

    async def on_metrics(self, exchange: Exchange) -> None:
        """Answer with all metrics."""
        metrics = self.state.metrics
        running, waiting = len(self.relay.sender.running), len(self.relay.waiters)
        metrics.update(self.state, running, waiting, boot_s(), wall_ms() / 1000)
        await exchange.respond(200, METRICS_TYPE, metrics.text())

    async def on_frame(self, frame: gpb.Frame, peer: str) -> gpb.Frame | None:
        """Handle a frame of another gateway."""
        kind = frame.WhichOneof("kind")
        if kind == "log" and self.member is not None:
            self.member.deliver(frame.log.messages)
        elif kind == "found" and self.member is not None:
            self.member.found()
            return gpb.Frame(done=gpb.Done())
        elif kind == "ask_news":
            return gpb.Frame(news=self.state.fleet.news(boot_s()))
        elif kind == "correction":
            self.state.limits.on_correction(frame.correction, boot_s())
        elif kind == "take":
            return self.state.limits.serve(frame.take, boot_s())
        elif kind == "read" and frame.read.stale_allowed:
            return self.configurations.serve()
        elif kind in ("propose", "read"):
            return await self.store.serve(frame)
        return None

    def _limits(self) -> IngressLimits:
        return self.state.configuration.limits

    def _digests(self) -> list[gpb.Digest]:
        return self.mesh.present(boot_s())

    async def _every(self, interval_s: float, tick: Callable[[], None]) -> None:
        while True:
            try:
                tick()
            except Exception as error:
                # A fault in one tick must not end what all others depend on.
                log.error("tick_failed", tick=tick.__name__, reason=repr(error))
            await asyncio.sleep(interval_s)

    def _tick(self) -> None:
        now_s = boot_s()
        self.mesh.tick(now_s)
        others = {d.host: d.link_address for d in self.mesh.present(now_s)}
        self.state.set_gateways(others, self.mesh.known(now_s), now_s)
        self.state.fleet.expire(now_s)
        self.relay.evacuate(now_s)
        self.state.pool.expire(set(self.state.fleet.view.backends), now_s)

    def _send_due(self) -> None:
        self.mesh.send_due(boot_s())

    def _tick_member(self) -> None:
        if self.member is not None:
            self.member.tick()

    def _tick_group(self) -> None:
        now_s = boot_s()
        digests = self._digests()
        self.links.forget({d.link_address for d in digests} | self._member_addresses())
        if self.member is not None:
            self.member.repair(digests)
        settings = self.settings
        is_first_seed = settings.seed_ips[:1] == (settings.ip,)
        if not settings.is_first_start or not is_first_seed or self.founding.is_over:
            return
        own = gpb.Digest(host=settings.host)
        self.digests.fill(own, now_s)
        chosen = self.founding.choose([own, *digests], settings.state_members, now_s)
        if chosen is None:
            return
        if chosen.host == settings.host and self.member is not None:
            self.member.found()
        else:
            self.links.to(chosen.link_address).tell(gpb.Frame(found=gpb.FoundCall()))

    def _member_addresses(self) -> set[str]:
        if self.member is None:
            return set()
        return set(self.member.transport.addresses.values())

    def on_told(self, version: int, link_address: str) -> None:
        """Note that another gateway has a configuration."""
        self.configurations.on_told(version, link_address)

    def _on_version(self, version: int, ip: str) -> None:
        address = f"{ip}:{self.settings.link_port}"
        self.on_told(version, address)

    def _on_batch(self, batch: pb.WatchBatch) -> None:
        self.configurations.on_batch(batch)

    async def _open_member(self) -> None:
        """Open the member of the state group; a stalled disk holds nothing up."""
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
                await asyncio.sleep(OPEN_AGAIN_S)
            else:
                self.member = self.store.member = self.duties.member = member
                self.digests.member = member

    async def _confirm(self) -> None:
        """Learn the newest configuration from the state group, as soon as it can."""
        while not self.is_confirmed:
            self.is_confirmed = (await self.configurations.newest()).is_ok()
            if not self.is_confirmed:
                await asyncio.sleep(REPAIR_S)

    async def _drain(self) -> None:
        """Wait for running requests, then let the process end."""
        begun_s = boot_s()
        end_s = begun_s + self.settings.grace_s - DRAIN_MARGIN_S
        while boot_s() - begun_s < DRAIN_LEAST_S:
            await asyncio.sleep(TICK_S)
        # Later requests could not be finished before the process is killed.
        self.callers.close()
        while boot_s() < end_s and self.callers.running:
            await asyncio.sleep(TICK_S)
        self.mesh.leave()
        await asyncio.sleep(FLUSH_S)
        self.ended.set()


async def run_gateway(
    settings: GatewaySettings,
    dialect: Dialect,
    reload: Callable[[], GatewaySettings],
) -> None:
    """Run one gateway until a signal ends it.

    Args:
        settings: Settings of the process.
        dialect: Adapter of the platform.
        reload: Reads the settings again; raises `StepError` when it can't.

    Raises:
        OSError: An address can't be used.
        StepError: The data folder can't be used.
    """
    gateway = Gateway(settings, dialect, asyncio.get_running_loop(), reload)
    await gateway.run()
