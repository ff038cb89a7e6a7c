"""Proxies each request of a caller to backend servers until one responds."""

from __future__ import annotations

import asyncio
from functools import partial, singledispatchmethod
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.backends import placement
from tanagerturn.gateway.backends.detours import Detours
from tanagerturn.gateway.backends.forwarded import InvalidForwarding, decode_request
from tanagerturn.gateway.backends.obstacles import find_obstacle
from tanagerturn.gateway.backends.sender import Sender
from tanagerturn.gateway.backends.statements import read_call_statements
from tanagerturn.gateway.callers.scarcity import reject_if_priced_out
from tanagerturn.gateway.callers.stopping import (
    refusal_of_stopping,
    reject_if_unfinishable,
)
from tanagerturn.gateway.calls import call
from tanagerturn.gateway.intake import Intake
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.messages import UnknownRunError
from tanagerturn.gateway.outcomes import log_end, refuse
from tanagerturn.gateway.quarantine import shared_parts
from tanagerturn.gateway.request_run import (
    Migration,
    NoPath,
    Refusal,
    RequestRun,
    earlier_wait_s,
    must_migrate,
    request_priority,
)
from tanagerturn.gateway.retry_policy import (
    MAX_UNREACHABLE,
    MIN_RETRY_TIME_S,
    AttemptHistory,
    AttemptOutcome,
    NextAction,
    next_action,
)
from tanagerturn.gateway.spread.peer_paths import PeerGateway
from tanagerturn.serving.admission.first_event import Deferred, admit
from tanagerturn.serving.backends.backend import Backend
from tanagerturn.serving.backends.paths import PathFailure
from tanagerturn.serving.streams.endings import MoveState

if TYPE_CHECKING:
    from expression import Result

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.gateway.backends.placement import Choice
    from tanagerturn.gateway.backends.pool import BackendConnection
    from tanagerturn.gateway.callers.exchange import Exchange
    from tanagerturn.gateway.links import Links
    from tanagerturn.gateway.messages import KvCopy
    from tanagerturn.gateway.state import GatewayState

NO_BACKEND_RETRY_S: Final = 0.4
"""Minimum time in seconds after which a refused caller may retry: lost backend servers
are replaced or reachable again after some tenths of a second at the earliest."""

NO_VERSION_RETRY_S: Final = 1.0
"""Time in seconds after which a caller may take a stream up again of whose software
version no backend server is left; a crashed one is back after some seconds."""

NOT_RUN_STATUS: Final = 503
"""Status by which the gateway states that a request has not run."""

CAPACITY_CHECK_INTERVAL_S: Final = 0.25
"""Time in seconds after which a waiting request checks for capacity although this
gateway has freed none; other gateways also free capacity."""

MIGRATION_TIMEOUT_S: Final = 0.8
"""Timeout of a migration in seconds; it may queue behind other migrations on the same
network link."""

log = component_log("relay")


class Relay:
    """Proxies requests of callers to backend servers and responds to the callers.

    Args:
        state: State that the components of the gateway share.
        links: Links to peer gateways, which own limits of client accounts.
    """

    def __init__(self, state: GatewayState, links: Links) -> None:
        self.state = state
        """State that the components of the gateway share."""
        self.links = links
        """Links to peer gateways."""
        self.intake = Intake(state, links)
        """Admits requests."""
        self.sender = Sender(state, links, self.wake)
        """Makes the backend attempts."""
        self.detours = Detours(state, self.intake.refund)
        """Serves requests through peers where this gateway has no path."""
        self.capacity_waiters: dict[asyncio.Future[None], int] = {}
        """Futures of requests that wait for capacity at a backend server, with the
        priority in which they are woken; equal where no price is shared."""

    async def handle(self, exchange: Exchange) -> None:
        """Proxy one request and respond to its caller."""
        run: RequestRun | None = None
        try:
            run = await self.intake.accept(exchange)
            await self._make_attempts(run)
        except Refusal as refusal:
            await self._refuse(exchange, run, refusal)
        except asyncio.CancelledError:
            if self.state.is_stopping_now and not exchange.connection.tcp.at_eof:
                await self._refuse(exchange, run, refusal_of_stopping(run))
                return
            if run is not None:
                log_end(self.state, run, "caller_left")
            raise

    async def _refuse(
        self, exchange: Exchange, run: RequestRun | None, refusal: Refusal
    ) -> None:
        """Respond with an error, or break the response off if it has begun."""
        if run is not None and exchange.status:
            run.cause = refusal.cause
            self._break_off(run)
            return
        has_not_run = refusal.status == NOT_RUN_STATUS
        if run is not None and not run.may_have_run and not run.is_in_flight:
            self.intake.refund(run)
        if exchange.forwarded is not None and (
            isinstance(refusal, NoPath) or (has_not_run and self.state.is_draining)
        ):
            # The peer may send it to another gateway.
            exchange.forwarded.answer.without_path = True
        await refuse(self.state, exchange, run, refusal)

    async def handle_forwarded(self, exchange: Exchange) -> None:
        """Proxy one request that a peer gateway has admitted, and respond to the peer.

        It is not forwarded again.
        """
        try:
            exchange.forwarded = decode_request(exchange.headers)
        except InvalidForwarding as error:
            log.warning("forwarding_refused", reason=str(error))
            await exchange.respond(400, [], b"")
            return
        if self.state.is_draining:
            await self._refuse(exchange, None, refusal_of_stopping(None))
            return
        await self.handle(exchange)

    def wake(self) -> None:
        """Let waiting requests check for capacity again."""
        waiters = self.capacity_waiters
        for waiter in sorted(waiters, key=waiters.__getitem__):
            if not waiter.done():
                waiter.set_result(None)

    async def _make_attempts(self, run: RequestRun) -> None:
        """Make backend attempts until one succeeds or none may follow."""
        migration: Migration | None = None
        while True:
            target = migration or await self._select_target(run)
            outcome = await self._send(target, run)
            if outcome is None:
                return
            run.is_in_flight = False
            if self._may_retry_target(run, migration, outcome):
                continue
            migration = await self._finished_migration(run)
            if migration is not None:
                continue
            if outcome is AttemptOutcome.BROKEN and self._has_evidence(run):
                # Otherwise the crash of this attempt would not count in the decision.
                await self._wait_for_crash_check(target)
            action = self._next_action(run, outcome)
            if action is not NextAction.TRY_ANOTHER:
                await self._finish_unanswered(run, action)
                return
            log.info(
                "tried_again",
                request=run.request.attempt_id,
                after=_name_of(target),
                cause=run.cause,
                sent=run.sent_count,
            )

    def _may_retry_target(
        self, run: RequestRun, migration: Migration | None, outcome: AttemptOutcome
    ) -> bool:
        """Return whether to retry the engine with the copy of a migrated request.

        A request that is not repeatable can't be resumed anywhere else.
        """
        if migration is None or outcome is not AttemptOutcome.NOT_SENT:
            return False
        now_s = boot_s()
        obstacle = find_obstacle(
            self.state, run, migration.backend, now_s, continues=True
        )
        if obstacle is not None and obstacle.is_lasting:
            return False
        in_time = run.time_left_s(now_s) > MIN_RETRY_TIME_S
        return in_time and run.unreachable_count < MAX_UNREACHABLE

    def _next_action(self, run: RequestRun, outcome: AttemptOutcome) -> NextAction:
        now_s = boot_s()
        attempts = AttemptHistory(
            run.route.kind,
            run.is_resumable,
            run.route.max_backends,
            run.sent_count,
            run.unreachable_count,
            run.may_have_run,
            run.time_left_s(now_s),
        )
        action = next_action(attempts, outcome, budget=True)
        if action is not NextAction.TRY_ANOTHER or not run.sent_count:
            return action
        if outcome is AttemptOutcome.BROKEN and self._may_crash_engines(run):
            return next_action(attempts, outcome, budget=False)
        window = self.state.retry_window(run.service)
        if window.take(self.state.budget_gateways, now_s):
            return action
        return next_action(attempts, outcome, budget=False)

    def _has_evidence(self, run: RequestRun) -> bool:
        """Return whether a request, or a part of its prompt, was at a crash before."""
        state = self.state
        if state.repeats.evidence and run.fingerprint in state.repeats.evidence:
            return True
        parts = shared_parts(run.request.prompt)
        return any(part in state.quarantine.evidence for part in parts)

    def _may_crash_engines(self, run: RequestRun) -> bool:
        state = self.state
        if state.repeats.evidence and state.repeats.is_suspect(run.fingerprint):
            return True
        return state.quarantine.is_suspect(shared_parts(run.request.prompt))

    async def _finish_unanswered(self, run: RequestRun, action: NextAction) -> None:
        if run.exchange.status:
            self._break_off(run)
            return
        if run.backend_failure is not None:
            failure = run.backend_failure
            if run.forwarded is not None:
                run.forwarded.name_backend(failure.backend)
            status, headers = failure.head.reply.status, failure.head.headers
            await run.exchange.respond(status, headers, failure.body)
            log_end(self.state, run, "failed_by_backend")
            return
        if action is NextAction.REFUSE:
            raise Refusal(503, run.cause, self._retry_after_s(run, boot_s()))
        timed_out = run.time_left_s(boot_s()) <= 0
        raise Refusal(504 if timed_out else 502, run.cause)

    def _break_off(self, run: RequestRun) -> None:
        """Close the caller's connection in the middle of a response."""
        log_end(self.state, run, "broken_off")
        run.exchange.abort()

    @singledispatchmethod
    async def _send(
        self, target: Backend | Migration | PeerGateway, run: RequestRun
    ) -> AttemptOutcome | None:
        """Send a request to the target of its next attempt.

        Returns:
            How the attempt failed; None once the caller has its response.
        """
        raise NotImplementedError(type(target).__name__)

    @_send.register
    async def _(self, target: Backend, run: RequestRun) -> AttemptOutcome | None:
        return await self.sender.send(run, target, None)

    @_send.register
    async def _(self, target: Migration, run: RequestRun) -> AttemptOutcome | None:
        return await self.sender.send(run, target.backend, target.kv_copy)

    @_send.register
    async def _(self, target: PeerGateway, run: RequestRun) -> AttemptOutcome | None:
        return await self.detours.send(run, target)

    async def _wait_for_crash_check(
        self, target: Backend | Migration | PeerGateway
    ) -> None:
        backend = target.backend if isinstance(target, Migration) else target
        if isinstance(backend, Backend):
            await self.sender.crash_detector.wait_for_check(backend)

    async def _select_target(self, run: RequestRun) -> Backend | PeerGateway:
        """Return the target of the next attempt; wait while all are full.

        It is a peer gateway if this one reaches no backend server that may get it.
        """
        while True:
            await self.state.backlog.wait_until_read(boot_s())
            now_s = boot_s()
            if run.time_left_s(now_s) <= 0:
                raise self._no_capacity(
                    run,
                    "the deadline of the request passed while it waited for capacity",
                    now_s,
                )
            self.intake.reject_quarantined(run, now_s)
            reject_if_unfinishable(
                run, self.state.service_times, self.state.shutdown, now_s
            )
            choice = self._best_choice(run, now_s)
            if choice is None and self.state.lacks_path(run.service, now_s):
                return self._select_detour(run, now_s)
            if choice is None and await self._wait_for_limits(run, now_s):
                continue
            if choice is None:
                raise self._no_backend(run, now_s)
            if choice.is_full and self.state.give_up_target(run, now_s):
                continue
            self._reject_if_late(run, choice, now_s)
            if choice.is_full:
                peer = self._peer_with_slots(run, now_s)
                if peer is not None:
                    return peer
                await self._wait_for_capacity(run, now_s)
            elif await self.state.backend_limits.acquire(choice.backend, self.links):
                run.expected_s, run.pace = choice.first_event_s, choice.pace
                run.time_factor = choice.time_factor
                return choice.backend

    def _select_detour(self, run: RequestRun, now_s: float) -> Backend | PeerGateway:
        """Return the target of a request whose backend servers are not reached.

        Raises:
            NoPath: No peer may reach them, and a connection would only time out.
        """
        state = self.state
        peer = self.detours.choose(run, now_s) if run.forwarded is None else None
        if peer is not None:
            return peer
        unfit = state.unfit_backends(run, now_s)
        limited = state.backend_limits.exhausted_ids(now_s)
        refusing = [
            b
            for b in state.fleet.candidates(run.service, unfit | limited, now_s)
            if state.fleet.paths.failure_of(b.id) is PathFailure.REFUSED
        ]
        if refusing and run.forwarded is None and not run.unreachable_count:
            # A refusal costs no time, and the backend server may have just restarted.
            return state.random.choice(refusing)
        run.cause = run.cause or f"no path to a backend server of {run.service}"
        refusal = self._no_backend(run, now_s)
        if refusal.status != NOT_RUN_STATUS:
            raise refusal
        raise NoPath(
            NOT_RUN_STATUS, refusal.cause, refusal.retry_after_s, refusal.detail
        )

    def _peer_with_slots(self, run: RequestRun, now_s: float) -> PeerGateway | None:
        """Return a peer for a request whose service has no slots for this gateway.

        None if this gateway has some, or no peer is known.
        """
        if run.forwarded is not None:
            return None
        if not self.state.fleet.owns_no_slots(run.service, now_s):
            return None
        return self.detours.choose(run, now_s)

    def _best_choice(self, run: RequestRun, now_s: float) -> Choice | None:
        """Return the best backend server without an attempt yet; None if none.

        Those whose own limits are exhausted are left out.
        """
        state = self.state
        choose = partial(
            placement.choose,
            state.fleet,
            run.service,
            run.request.prompt,
            state.excluded_backends(run, now_s),
            state.settings.zone,
            now_s,
        )
        choice = choose(state.random)
        if choice is None or choice.first_event_s <= run.route.latency_objective_s:
            return choice
        if state.fleet.speeds.active(run.service) is None:
            return choice
        # A choice made partly at random must not refuse a request that the best engine
        # would serve in time.
        best = choose(None)
        return best if best and best.first_event_s < choice.first_event_s else choice

    def _reject_if_late(self, run: RequestRun, choice: Choice, now_s: float) -> None:
        """Reject a generation that would be late, before its first attempt."""
        if run.request.prompt is None or run.sent_count:
            return
        if self.state.shares_price(run.service):
            reject_if_priced_out(self.state, run, choice, now_s)
            return
        earlier_attempts_s = earlier_wait_s(run.request, run.route)
        admitted = admit(
            choice.first_event_s,
            choice.prompt_read_s,
            earlier_attempts_s + now_s - run.exchange.arrived_s,
            run.route.latency_objective_s,
            request_priority(run),
            run.time_left_s(now_s),
        )
        if isinstance(admitted, Deferred):
            run.expected_s = choice.first_event_s
            cause = (
                f"expected {choice.first_event_s:.2f} s to the first event at"
                f" {choice.backend.id}, too late for route {run.route.name}"
            )
            raise Refusal(503, cause, admitted.retry_after_s)

    async def _wait_for_limits(self, run: RequestRun, now_s: float) -> bool:
        """Wait until a backend server takes requests again, if one does in time.

        Returns:
            Whether to choose again; False if no backend server is limited.

        Raises:
            Refusal: No limited backend server takes the request within its latency
                objective.
        """
        limited = self.state.backend_limits.unavailable_until_s()
        excluded = self.state.unfit_backends(run, now_s)
        untried = self.state.fleet.candidates(run.service, excluded, now_s)
        free_s = [limited[b.id] for b in untried if b.id in limited]
        if not free_s:
            return False
        retry_after_s = min(free_s) - now_s
        waited_s = now_s - run.exchange.arrived_s
        is_late = waited_s + retry_after_s > run.route.latency_objective_s
        if is_late or retry_after_s >= run.time_left_s(now_s):
            cause = (
                "the limits of backend servers are exhausted, or they asked for a pause"
            )
            if run.may_have_run:
                raise Refusal(502, cause)
            raise Refusal(503, cause, max(NO_BACKEND_RETRY_S, retry_after_s))
        await self._wait_for_capacity(run, now_s, max(0.0, retry_after_s))
        return True

    def _retry_after_s(self, run: RequestRun, now_s: float) -> float:
        """Return the time in seconds until a backend server may take a request."""
        limited = self.state.backend_limits.unavailable_until_s()
        backends = self.state.fleet.candidates(run.service, (), now_s)
        free_s = [limited.get(backend.id, now_s) for backend in backends]
        return max(NO_BACKEND_RETRY_S, min(free_s, default=now_s) - now_s)

    async def _wait_for_capacity(
        self,
        run: RequestRun,
        now_s: float,
        max_wait_s: float = CAPACITY_CHECK_INTERVAL_S,
    ) -> None:
        waiter = asyncio.get_running_loop().create_future()
        is_priced = self.state.shares_price(run.service)
        self.capacity_waiters[waiter] = request_priority(run) if is_priced else 0
        try:
            async with asyncio.timeout(
                min(CAPACITY_CHECK_INTERVAL_S, max_wait_s, run.time_left_s(now_s))
            ):
                await waiter
        except TimeoutError:
            return
        finally:
            self.capacity_waiters.pop(waiter, None)

    def _no_backend(self, run: RequestRun, now_s: float) -> Refusal:
        """Return the refusal of a request that no backend server may get."""
        fleet, origin = self.state.fleet, run.origin
        if origin is not None:
            version = origin.software_version
            unfit = fleet.unfit_ids(run.service, version, now_s)
            unfit |= self.state.kept_by_rollout(run, now_s)
            if not fleet.candidates(run.service, unfit, now_s):
                cause = (
                    f"the stream began at software version {version} of service"
                    f" {run.service}, of which no backend server is left"
                )
                if run.may_have_run:
                    return Refusal(502, cause)
                return Refusal(503, cause, NO_VERSION_RETRY_S, detail=cause)
        cause = (
            run.cause or f"no eligible backend server of service {run.service} is left"
        )
        return self._no_capacity(run, cause, now_s)

    def _no_capacity(self, run: RequestRun, cause: str, now_s: float) -> Refusal:
        if run.may_have_run:
            return Refusal(504 if run.time_left_s(now_s) <= 0 else 502, cause)
        return Refusal(503, cause, self._retry_after_s(run, now_s))

    def start_migrations(self, now_s: float) -> None:
        """Start to migrate streams off engines that are about to stop."""
        for run, exchange in self.sender.running.items():
            source = run.backend
            if run.migration_task is None and source and must_migrate(run, now_s):
                migration = self._migrate(run, source, exchange.connection)
                run.migration_task = asyncio.create_task(migration)

    async def _migrate(
        self, run: RequestRun, source: Backend, connection: BackendConnection
    ) -> Migration | None:
        """Stop a stream at its engine and copy its KV cache to another engine."""
        if self.state.backend_limits.is_paused(source.id, boot_s()):
            return None
        target = await self._migration_target(run)
        if target is None:
            return None
        attempt = run.request.attempt_id
        path, body = self.state.dialect.encode_migration(
            attempt, target.backend.address
        )
        if connection.tcp.at_eof:
            # The stream has ended, and an order would only make its end doubtful.
            return None
        run.move = MoveState.PENDING
        result = await call(source.address, path, [], body, MIGRATION_TIMEOUT_S)
        if result.is_ok():
            read_call_statements(self.state, source, result.ok, boot_s())
        migration = result.bind(
            lambda a: self.state.dialect.decode_migration(
                a.status, a.body, source.address
            )
        )
        run.move = _move_state(migration)
        outcome = str(migration.error) if migration.is_error() else "moved"
        log.info(
            "moved",
            request=attempt,
            source=source.id,
            target=target.backend.id,
            events=run.progress.event_count,
            outcome=outcome,
        )
        return None if migration.is_error() else Migration(target.backend, migration.ok)

    async def _migration_target(self, run: RequestRun) -> Choice | None:
        """Return the best engine whose own limit, if any, allows the request."""
        for _ in range(MAX_UNREACHABLE):
            target = self._best_choice(run, boot_s())
            fleet = self.state.fleet
            if target is None or not fleet.with_room([target.backend], boot_s()):
                return None
            if await self.state.backend_limits.acquire(target.backend, self.links):
                return target
        return None

    async def _finished_migration(self, run: RequestRun) -> Migration | None:
        """Wait for the request's migration; None if none was started or it failed."""
        if run.migration_task is None:
            return None
        migration_task, run.migration_task = run.migration_task, None
        return await migration_task


def _move_state(migration: Result[KvCopy, StepError]) -> MoveState:
    """Return the state of an order to move a stream that was answered."""
    if migration.is_ok():
        return MoveState.MOVED
    is_unknown = isinstance(migration.error, UnknownRunError)
    return MoveState.UNKNOWN_RUN if is_unknown else MoveState.FAILED


def _name_of(target: Backend | Migration | PeerGateway) -> str:
    """Return the id or host that names the target of an attempt in logs."""
    if isinstance(target, PeerGateway):
        return target.host
    return target.backend.id if isinstance(target, Migration) else target.id
