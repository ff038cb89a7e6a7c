"""State that the components of one gateway share; all run on one event loop."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s, to_ms
from tanagerturn.gateway.backends.limits import BackendLimits
from tanagerturn.gateway.backends.pool import ConnectionPool
from tanagerturn.gateway.callers.memory_budget import MemoryBudget, budget_bytes
from tanagerturn.gateway.callers.memory_gate import MemoryGate
from tanagerturn.gateway.callers.scarcity import ScarceServices
from tanagerturn.gateway.callers.service_times import ServiceTimes
from tanagerturn.gateway.configuration import (
    Configuration,
    RequestKind,
    empty_configuration,
)
from tanagerturn.gateway.fleet import Fleet, service_of
from tanagerturn.gateway.limits import AccountLimits
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.metrics import GatewayMetrics, make_gateway_metrics
from tanagerturn.gateway.quarantine_share import QuarantineShare
from tanagerturn.gateway.rollouts.table import RolloutTable
from tanagerturn.gateway.spread.backlog import Backlog
from tanagerturn.gateway.spread.peer_paths import PeerPaths
from tanagerturn.gateway.usage import UsageCounts
from tanagerturn.gateway.wall_clock import CorrectedWallClock
from tanagerturn.serving.capacity.token_demand import TokenDemand
from tanagerturn.serving.limits.terms import AccountLimit
from tanagerturn.serving.quarantine.quarantine import PartQuarantine
from tanagerturn.serving.quarantine.repeats import RepeatQuarantine
from tanagerturn.serving.quarantine.trials import CrashLog
from tanagerturn.serving.retries.window import RetryLimits, RetryWindow
from tanagerturn.serving.streams.origins import StreamOrigin, StreamOrigins

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tanagerturn.gateway.callers.stopping import Shutdown
    from tanagerturn.gateway.dialect import Dialect
    from tanagerturn.gateway.request_run import RequestRun
    from tanagerturn.gateway.settings import GatewaySettings
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import BackendId

LIFE_PER_TIMEOUT: Final = 1.5
"""Time for which a stream may be taken up, as a multiple of the longest timeout of a
route; callers spread the timeout over all their attempts."""

VERSIONS_INTERVAL_S: Final = 0.5
"""Interval in seconds at which the software versions of backend servers are noted."""

PAUSE_S: Final = 1.0
"""Time in seconds without a sign that the process runs above which it was suspended;
peers notice a silent gateway after about two seconds."""

MIN_MET_SHARE: Final = 0.9
"""Share of the known gateways from which a gateway has to have heard before it owns
limits or uses its part of a budget: with fewer, it often selects another owner than its
peers do."""

log = component_log("configuration")


@dataclass
class GatewayState:
    """State that the components of a gateway share."""

    settings: GatewaySettings
    """Settings of the process."""
    dialect: Dialect
    """Adapter between the gateway's types and the platform's wire formats."""
    limits: AccountLimits
    """Limits of client accounts."""
    backend_limits: BackendLimits
    """Limits that backend servers name."""
    stream_origins: StreamOrigins
    """Software versions at which streams began."""
    peer_paths: PeerPaths
    """Peer gateways that reach backend servers which this one does not."""
    wall_clock: CorrectedWallClock
    """Wall clock, corrected by the clocks of peer gateways."""
    fleet: Fleet
    """State of the backend servers."""
    usage: UsageCounts
    """Counts of started requests by report window and client account."""
    memory: MemoryGate
    """Memory budget of requests and responses."""
    rollouts: RolloutTable | None = None
    """Rollouts of services; None unless the settings allow them."""
    configuration: Configuration = field(default_factory=empty_configuration)
    """The configuration in force."""
    pool: ConnectionPool = field(default_factory=ConnectionPool)
    """Connections to backend servers."""
    crash_log: CrashLog = field(default_factory=CrashLog)
    """Known crashes of backend servers, whatever was at them."""
    quarantine: PartQuarantine = field(init=False)
    """Prompt parts that crash engines."""
    repeats: RepeatQuarantine = field(init=False)
    """Requests that crash backend servers and come again."""
    quarantine_share: QuarantineShare = field(init=False)
    """How much traffic the quarantines reject."""
    token_demand: TokenDemand = field(default_factory=TokenDemand)
    """Token demand on engines at this gateway and its peers, in tokens per second."""
    metrics: GatewayMetrics = field(default_factory=make_gateway_metrics)
    """Metrics of the process."""
    random: Random = field(default_factory=Random)
    """Random number generator of all components."""
    retry_windows: dict[str, RetryWindow] = field(default_factory=dict)
    """Retry budgets by service name."""
    gateway_count: int = 1
    """Number of present gateways, this one included."""
    budget_gateways: int = 1
    """Number of gateways that share budgets, this one and recently lost ones included;
    0 until this gateway has heard from nearly all that any peer knows."""
    ticked_s: float = field(default_factory=boot_s)
    """Boot-clock time in seconds at which the process was last known to run."""
    next_versions_s: float = 0.0
    """Boot-clock time in seconds at which software versions are noted next."""
    noted_changes: int = -1
    """Number of changes of the fleet when software versions were noted last."""
    is_draining: bool = False
    """The process is shutting down after a signal."""
    shutdown: Shutdown | None = None
    """Times of the planned stop; None unless the process is shutting down."""
    is_stopping_now: bool = False
    """That time has come: the remaining requests are answered at once."""
    service_times: ServiceTimes = field(default_factory=ServiceTimes)
    """How long the requests of each route lately took."""
    backlog: Backlog = field(default_factory=Backlog)
    """Datagrams of peers that wait unread."""
    scarcity: ScarceServices = field(default_factory=ScarceServices)
    """Shared prices of engine time."""

    def __post_init__(self) -> None:
        """Make the quarantines, which use the same log of crashes."""
        self.quarantine = PartQuarantine(self.crash_log)
        self.repeats = RepeatQuarantine(self.crash_log)
        self.quarantine_share = QuarantineShare(self.metrics.quarantine_rejections)

    def adopt(self, configuration: Configuration, now_s: float) -> bool:
        """Put a configuration in force unless its version is not higher.

        Args:
            configuration: Configuration of an operator.
            now_s: Current boot-clock time in seconds.

        Returns:
            Whether it was put in force.
        """
        if configuration.version <= self.configuration.version:
            return False
        previous_version, self.configuration = self.configuration.version, configuration
        self.limits.set_terms(
            {
                account.name: AccountLimit(account.rate_per_s, account.burst)
                for account in configuration.accounts
                if account.rate_per_s > 0
            },
            now_s,
        )
        self.fleet.kv_capacity_tokens = {
            service.name: service.engine.kv_tokens
            for service in configuration.services.values()
            if service.engine is not None
        }
        self.stream_origins.stream_life_s = LIFE_PER_TIMEOUT * max(
            (r.timeout_s for r in configuration.routes if r.kind is RequestKind.STREAM),
            default=0.0,
        )
        log.info(
            "configuration_in_force",
            version=configuration.version,
            before=previous_version,
            routes=len(configuration.routes),
        )
        return True

    def set_gateways(
        self,
        peer_addresses: Mapping[str, str],
        known_count: int,
        met_count: int,
        now_s: float,
    ) -> None:
        """Set the present peer gateways.

        Args:
            peer_addresses: Link address of each present peer gateway by host.
            known_count: Number of all gateways that this one or any peer knows, this
                one and recently lost ones included.
            met_count: Number of those that this gateway has heard from, including
                itself.
            now_s: Current boot-clock time in seconds.
        """
        if not peer_addresses and max(known_count, self.gateway_count) > 1:
            # Alone, it does not receive the announcements of all backend servers.
            self.stream_origins.on_missed(now_s)
        self.gateway_count = 1 + len(peer_addresses)
        known_count = max(known_count, self.gateway_count)
        has_met_all = met_count >= MIN_MET_SHARE * known_count
        self.budget_gateways = known_count if has_met_all else 0
        for limits in (self.limits, self.backend_limits.limits):
            limits.set_gateways(
                peer_addresses,
                self.gateway_count / known_count,
                now_s,
                has_met_all=has_met_all,
                is_draining=self.is_draining,
            )

    def shares_price(self, service: str) -> bool:
        """Return whether a shared price decides the admission of generations.

        Its estimates need the speeds that the engines of the service report.
        """
        if not self.settings.shares_price:
            return False
        return self.fleet.speeds.active(service) is not None

    def detect_pause(self, now_s: float) -> None:
        """Give up what may have become wrong if the process was suspended.

        It is called by the timer, and before each request is admitted: after a pause,
        requests that waited in the kernel may be read before the timer fires.

        Args:
            now_s: Current boot-clock time in seconds, which includes suspensions.
        """
        if now_s - self.ticked_s > PAUSE_S:
            self.limits.on_pause(now_s)
            self.backend_limits.limits.on_pause(now_s)
            self.stream_origins.on_missed(now_s)
        self.ticked_s = now_s

    def note_versions(self, now_s: float) -> None:
        """Record the software versions of the known backend servers.

        This is needed only when a backend server is new, or once in
        `VERSIONS_INTERVAL_S`.
        """
        is_due = now_s >= self.next_versions_s
        if not is_due and self.fleet.change_count == self.noted_changes:
            return
        self.next_versions_s = now_s + VERSIONS_INTERVAL_S
        self.noted_changes = self.fleet.change_count
        for backend in self.fleet.view.backends.values():
            if backend.is_alive(to_ms(now_s)):
                origin = StreamOrigin(service_of(backend), backend.software_version)
                self.stream_origins.on_seen(origin, now_s)
        self.stream_origins.expire(now_s)

    def excluded_backends(self, run: RequestRun, now_s: float) -> set[BackendId]:
        """Return the backend servers that must not get the next attempt of a request.

        These are the unfit ones, those whose own limit is exhausted and those that this
        gateway does not reach. A trial leaves out those with other requests as well,
        unless all have some.
        """
        limited = self.backend_limits.exhausted_ids(now_s)
        unreached = self.unreached_backends(run.service, now_s)
        excluded = self.unfit_backends(run, now_s) | limited | unreached
        young = self._young_backends(run, now_s)
        if young and any(
            self.fleet.is_healthy(backend, now_s)
            for backend in self.fleet.candidates(run.service, excluded | young, now_s)
        ):
            excluded |= young
        if not run.is_trial:
            return excluded
        busy = {
            backend.id
            for backend in self.fleet.candidates(run.service, excluded, now_s)
            if self.fleet.state(backend.id).total_work(now_s).running
        }
        has_idle = self.fleet.candidates(run.service, excluded | busy, now_s)
        return excluded | busy if has_idle else excluded

    def unreached_backends(self, service: str, now_s: float) -> set[BackendId]:
        """Return the backend servers of a service that this gateway does not reach.

        One to which an idle connection is left is reached.
        """
        paths = self.fleet.paths
        if not paths.has_failures:
            return set()
        return {
            backend.id
            for backend in self.fleet.view.pool(service)
            if not paths.is_open(backend.id)
            and not self.pool.has_idle(backend.id, now_s)
        }

    def lacks_path(self, service: str, now_s: float) -> bool:
        """Return whether this gateway does not reach a live backend server."""
        return any(
            backend.is_alive(to_ms(now_s)) and not backend.leaving
            for backend_id in self.unreached_backends(service, now_s)
            if (backend := self.fleet.view.backends.get(backend_id)) is not None
        )

    def unreached_services(self, now_s: float) -> list[str]:
        """Return the services of which this gateway reaches no live backend server."""
        if not self.fleet.paths.has_failures:
            return []
        reached: dict[str, bool] = {}
        for backend in self.fleet.view.backends.values():
            if backend.is_alive(to_ms(now_s)) and not backend.leaving:
                service, is_open = service_of(backend), self.fleet.paths.is_open
                reached[service] = reached.get(service, False) or is_open(backend.id)
        return sorted(service for service, is_any in reached.items() if not is_any)

    def _young_backends(self, run: RequestRun, now_s: float) -> set[BackendId]:
        """Return the backend servers at which a resumable stream should not begin yet.

        Their software version has just become known, beside an older one.
        """
        if run.origin is not None or not run.is_resumable:
            return set()
        settled = self.stream_origins.settled_versions(run.service, now_s)
        if not settled:
            return set()
        return {
            backend.id
            for backend in self.fleet.view.pool(run.service)
            if backend.software_version not in settled
        }

    def unfit_backends(self, run: RequestRun, now_s: float) -> set[BackendId]:
        """Return the backend servers that were tried, and those of another version.

        A stream that has begun may go on only at the software version that began it.
        Those that a rollout keeps from the request are unfit as well.
        """
        kept = self.kept_by_rollout(run, now_s)
        if run.origin is None:
            return run.tried_backend_ids | kept if kept else run.tried_backend_ids
        version = run.origin.software_version
        unfit = self.fleet.unfit_ids(run.service, version, now_s)
        return run.tried_backend_ids | unfit | kept

    def kept_by_rollout(self, run: RequestRun, now_s: float) -> set[BackendId]:
        """Return the backend servers that a rollout keeps from a request."""
        if self.rollouts is None:
            return set()
        settled = self.stream_origins.settled_versions(run.service, now_s)
        now_ms = to_ms(self.wall_clock.read(now_s))
        return self.rollouts.excluded_ids(run, self.fleet, settled, now_s, now_ms)

    def may_send(self, run: RequestRun, backend: Backend, now_s: float) -> bool:
        """Return whether a rollout still allows a request at a backend server."""
        if self.rollouts is None:
            return True
        now_ms = to_ms(self.wall_clock.read(now_s))
        return self.rollouts.allows(run, backend, self.fleet, now_s, now_ms)

    def give_up_target(self, run: RequestRun, now_s: float) -> bool:
        """Let a request use old versions whose rollout's target has no room.

        Returns:
            Whether it was to use the target.
        """
        if self.rollouts is None:
            return False
        now_ms = to_ms(self.wall_clock.read(now_s))
        return self.rollouts.give_up_target(run, now_ms)

    def retry_window(self, service: str) -> RetryWindow:
        """Return the retry budget of a service; one is added if missing."""
        window = self.retry_windows.get(service)
        if window is None:
            settings = self.settings
            terms = RetryLimits(
                settings.retry_window_s, settings.retry_ratio, settings.retry_allowance
            )
            window = self.retry_windows[service] = RetryWindow(terms)
        return window


def make_state(
    settings: GatewaySettings, dialect: Dialect, now_s: float, wall_s: float
) -> GatewayState:
    """Return the state of a gateway at its start.

    Args:
        settings: Settings of the process.
        dialect: Adapter between the gateway's types and the platform's wire formats.
        now_s: Current boot-clock time in seconds.
        wall_s: Current wall-clock time of the host in seconds.
    """
    random = Random()
    return GatewayState(
        settings=settings,
        dialect=dialect,
        limits=AccountLimits(settings.host, settings.limit_tolerance),
        backend_limits=BackendLimits(settings.host),
        stream_origins=StreamOrigins(now_s),
        peer_paths=PeerPaths(settings.zone),
        fleet=Fleet(settings.host),
        wall_clock=CorrectedWallClock(now_s, wall_s),
        usage=UsageCounts(settings.report_window_s),
        memory=MemoryGate(MemoryBudget(budget_bytes(settings.memory_bytes))),
        rollouts=RolloutTable(to_ms(wall_s), random) if settings.rollouts else None,
        random=random,
    )
