"""Carries one request of a caller to backend servers and its answer back."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, TypeVar

from tanagerturn.clocks import boot_s
from tanagerturn.gateway import placement
from tanagerturn.gateway.attempt import AnswerBroken, BackendExchange, read_whole
from tanagerturn.gateway.calls import call
from tanagerturn.gateway.configuration import NO_VERSION, RequestKind, pick_target
from tanagerturn.gateway.events import EventSplitter, StreamProgress
from tanagerturn.gateway.failures import Ending, Sendings, Step, next_step
from tanagerturn.gateway.logs import part_log
from tanagerturn.gateway.messages import Forwarding
from tanagerturn.serving.admission.expected import SentAway, admit
from tanagerturn.serving.limits.spread import Exceeded

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from tanagerturn.gateway.attempt import AnswerHead
    from tanagerturn.gateway.configuration import Account, Route, ServiceName
    from tanagerturn.gateway.links import Links
    from tanagerturn.gateway.messages import InboundRequest, KvCopy, RawHeaders
    from tanagerturn.gateway.placement import Choice
    from tanagerturn.gateway.server import Exchange
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import BackendId

ANSWER_LIMIT_BYTES: Final = 16 * 1024 * 1024
"""Largest answer of a plain service that is passed on whole."""

PATIENCE_MARGIN_S: Final = 0.01
"""Time kept for the way back to the caller."""

SILENCE_LEAST_S: Final = 0.25
"""Silence of a backend server after which a repeatable request goes elsewhere, at
least; two engine steps and a round trip are far shorter."""

SILENCE_OBJECTIVES: Final = 3.0
"""The same silence as a multiple of the route's objective."""

NO_CONFIGURATION_RETRY_S: Final = 0.2
"""A gateway learns the configuration from its peers within about a digest."""

NO_BACKEND_RETRY_S: Final = 0.4
"""Backend servers that are lost are replaced or reached again after some tenths
of a second at the soonest."""

RETRY_SPREAD: Final = 0.5
"""Largest share by which a time to come back is lengthened at random, so that
callers that were refused together do not return together."""

RETURNED_SHARE: Final = 0.95
"""A caller with less patience than this part of its route's time was here before:
callers are given that time for all their attempts together."""

PAUSE_LEAST_S: Final = 1.0
"""Silence within a stream after which it may go on elsewhere, at least."""

LOOK_AGAIN_S: Final = 0.25
"""Time after which a waiting request looks for a place even if none was freed
here; places are freed by other gateways, too."""

MOVE_BEFORE_S: Final = 1.1
"""Time before an engine's end at which its streams are moved: short ones have
ended by then, and a move takes some tens of milliseconds."""

MOVE_TIMEOUT_S: Final = 0.8
"""Longest time of a move, queued behind others on the same link."""

LAST_ENGINE_PRIORITY: Final = 9
"""Least urgent rank that engines know."""

LENGTH_HEADER: Final = b"content-length"

T = TypeVar("T")

log = part_log("relay")


class Refusal(Exception):
    """A request that a gateway answers itself.

    Args:
        status: HTTP status.
        cause: Why, as logged.
        retry_after_s: Time to come back after; None when it must not come back.
    """

    def __init__(
        self, status: int, cause: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(cause)
        self.status = status
        """HTTP status."""
        self.cause = cause
        """Why, as logged."""
        self.retry_after_s = retry_after_s
        """Time to come back after."""


class GoneSilent(Exception):
    """A backend server sent nothing for too long."""


@dataclass(eq=False)
class Run:
    """One request on its way."""

    request: InboundRequest
    """Its head."""
    exchange: Exchange
    """Its connection."""
    route: Route
    """Route that it takes."""
    service: ServiceName
    """Service that gets it."""
    account: Account | None
    """Client account; None on anonymous routes."""
    deadline_s: float
    """Boot clock at which nobody waits for it any more."""
    progress: StreamProgress
    """Events that the caller has."""
    tried: set[BackendId] = field(default_factory=set)
    """Backend servers that it was sent to or that could not be reached."""
    sent: int = 0
    """Backend servers that it was sent to."""
    unreached: int = 0
    """Backend servers that could not be reached."""
    may_have_run: bool = False
    """A backend server may have begun to run it."""
    has_begun: bool = False
    """Its begin was counted for usage."""
    cause: str = ""
    """What the last failure was."""
    backend: Backend | None = None
    """Backend server that has it now."""
    moving: asyncio.Task[Moved | None] | None = None
    """Move to another engine that is under way."""
    failure: tuple[AnswerHead, bytes] | None = None
    """A backend server's own failure, to be passed on when nothing better comes."""
    expected_s: float = 0.0
    """Expected time to the first event when it was sent last."""
    first_event_s: float = 0.0
    """Time to the first event that was passed on."""
    last_event_s: float = 0.0
    """Boot clock when the last events were passed on."""
    longest_pause_s: float = 0.0
    """Longest time between events that were passed on."""

    @property
    def resumable(self) -> bool:
        """Whether it may go on at another backend server."""
        return self.route.kind is RequestKind.STREAM and self.route.resumable

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.route.kind is RequestKind.IDEMPOTENT or self.resumable

    def time_left_s(self, now_s: float) -> float:
        """Return the time until nobody waits for it."""
        return self.deadline_s - now_s


@dataclass(frozen=True)
class Moved:
    """A run that goes on at another engine, from a copy of its memory."""

    backend: Backend
    """Engine that holds the copy."""
    kv_copy: KvCopy
    """The copy."""


class Relay:
    """Answers requests of callers.

    Args:
        state: State of the gateway.
        links: Links to other gateways, which keep limits of client accounts.
    """

    def __init__(self, state: GatewayState, links: Links) -> None:
        self.state = state
        """State of the gateway."""
        self.links = links
        """Links to other gateways."""
        self.running: set[Run] = set()
        """Requests at backend servers."""
        self.waiters: set[asyncio.Future[None]] = set()
        """Requests that wait for a place at a backend server."""

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        run: Run | None = None
        try:
            run = await self._begin(exchange)
            await self._carry(run)
        except Refusal as refusal:
            await self._refuse(exchange, run, refusal)
        except asyncio.CancelledError:
            if run is not None:
                self._log_end(run, "caller_left")
            raise

    def wake(self) -> None:
        """Let waiting requests look for a place again."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def _begin(self, exchange: Exchange) -> Run:
        state = self.state
        configuration = state.configuration
        decoded = state.dialect.decode_request(
            exchange.method, exchange.target, exchange.headers
        )
        if decoded.is_error():
            raise Refusal(400, str(decoded.error))
        request = decoded.ok
        if configuration.version == NO_VERSION:
            raise Refusal(503, "no configuration is known", NO_CONFIGURATION_RETRY_S)
        route = configuration.route_for(request.host, request.path)
        if route is None:
            raise Refusal(404, f"no route in configuration {configuration.version}")
        account = None
        if configuration.accounts and not route.is_anonymous:
            account = configuration.account_for(request.key)
            if account is None:
                raise Refusal(401, f"unknown key in {configuration.version}")
        await self._charge(request, account)
        prompt = request.prompt
        if prompt is not None and not _waited_before_s(request, route):
            tokens = prompt.prompt_tokens + prompt.most_output_tokens
            state.asked.on_asked(tokens, exchange.arrived_s)
        patience_s = min(
            request.patience_s if request.patience_s is not None else math.inf,
            route.timeout_s,
        )
        service = pick_target(route, state.random.random())
        state.retry_window(service).on_request(exchange.arrived_s)
        return Run(
            request,
            exchange,
            route,
            service,
            account,
            exchange.arrived_s + patience_s - PATIENCE_MARGIN_S,
            StreamProgress(request.last_event_id),
        )

    async def _charge(self, request: InboundRequest, account: Account | None) -> None:
        if account is None:
            return
        units = 1.0
        if account.counts_tokens:
            units = account.plain_cost
            if request.prompt is not None:
                prompt = request.prompt
                units = float(prompt.prompt_tokens + prompt.most_output_tokens)
        taken = await self.state.limits.take(account.name, units, self.links)
        if isinstance(taken, Exceeded):
            raise Refusal(429, f"over the limit of {account.name}", taken.retry_after_s)

    async def _carry(self, run: Run) -> None:
        """Send a request until it is answered or given up."""
        moved: Moved | None = None
        while True:
            backend = moved.backend if moved else await self._choose(run)
            ending = await self._send(run, backend, moved.kv_copy if moved else None)
            if ending is None:
                return
            moved = await self._moved(run)
            if moved is not None:
                continue
            step = self._next_step(run, ending)
            if step is not Step.TRY_ANOTHER:
                await self._give_up(run, step)
                return
            log.info(
                "tried_again",
                request=run.request.attempt_id,
                after=backend.id,
                cause=run.cause,
                sent=run.sent,
            )

    def _next_step(self, run: Run, ending: Ending) -> Step:
        now_s = boot_s()
        sendings = Sendings(
            run.route.kind,
            run.resumable,
            run.route.most_backends,
            run.sent,
            run.unreached,
            run.may_have_run,
            run.time_left_s(now_s),
        )
        step = next_step(sendings, ending, budget=True)
        if step is not Step.TRY_ANOTHER or not run.sent:
            return step
        window = self.state.retry_window(run.service)
        if window.take(self.state.gateways, now_s):
            return step
        return next_step(sendings, ending, budget=False)

    async def _give_up(self, run: Run, step: Step) -> None:
        if run.exchange.status:
            self._log_end(run, "broken_off")
            run.exchange.break_off()
            return
        if run.failure is not None:
            head, body = run.failure
            await run.exchange.respond(head.reply.status, head.headers, body)
            self._log_end(run, "failed_by_backend")
            return
        if step is Step.REFUSE:
            raise Refusal(503, run.cause, NO_BACKEND_RETRY_S)
        timed_out = run.time_left_s(boot_s()) <= 0
        raise Refusal(504 if timed_out else 502, run.cause)

    async def _choose(self, run: Run) -> Backend:
        """Return the backend server for the next sending; wait while all are full."""
        while True:
            now_s = boot_s()
            if run.time_left_s(now_s) <= 0:
                raise self._no_place(run, "its time ended while it waited", now_s)
            choice = placement.choose(
                self.state.fleet,
                run.service,
                run.request.prompt,
                run.tried,
                self.state.settings.zone,
                now_s,
            )
            if choice is None:
                cause = run.cause or f"no backend server of {run.service}"
                raise self._no_place(run, cause, now_s)
            self._send_away_if_late(run, choice, now_s)
            if not choice.is_full:
                run.expected_s = choice.first_event_s
                return choice.backend
            await self._wait_for_place(run, now_s)

    def _send_away_if_late(self, run: Run, choice: Choice, now_s: float) -> None:
        """Refuse a generation that was not sent yet and would be late."""
        if run.request.prompt is None or run.sent:
            return
        before_s = _waited_before_s(run.request, run.route)
        admitted = admit(
            choice.first_event_s,
            choice.own_s,
            before_s + now_s - run.exchange.arrived_s,
            run.route.objective_s,
            _rank(run),
            run.time_left_s(now_s),
        )
        if isinstance(admitted, SentAway):
            run.expected_s = choice.first_event_s
            cause = f"it would be late at {choice.backend.id}"
            raise Refusal(503, cause, admitted.retry_after_s)

    async def _wait_for_place(self, run: Run, now_s: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            async with asyncio.timeout(min(LOOK_AGAIN_S, run.time_left_s(now_s))):
                await waiter
        except TimeoutError:
            return
        finally:
            self.waiters.discard(waiter)

    def _no_place(self, run: Run, cause: str, now_s: float) -> Refusal:
        if run.may_have_run:
            return Refusal(504 if run.time_left_s(now_s) <= 0 else 502, cause)
        return Refusal(503, cause, NO_BACKEND_RETRY_S)

    async def _send(
        self, run: Run, backend: Backend, kv_copy: KvCopy | None
    ) -> Ending | None:
        """Send a request to one backend server; None when the caller is answered."""
        state = self.state
        now_s = boot_s()
        attempt = run.request.attempt_id
        run.tried.add(backend.id)
        known = state.fleet.state(backend.id)
        work = known.work(now_s)
        state.fleet.on_sent(backend, attempt, run.request.prompt, now_s)
        log.info(
            "sent",
            request=attempt,
            backend=backend.id,
            expected_s=round(run.expected_s, 4),
            running=work.running,
            prompt_tokens=work.prompt_tokens,
            heard_ago_s=round(now_s - backend.heard_ms / 1000, 3),
            configuration=state.configuration.version,
            time_left_s=round(run.time_left_s(now_s), 3),
            copied_from=kv_copy.source_address if kv_copy else "",
        )
        try:
            connection = await state.pool.take(
                backend.id, backend.address, run.time_left_s(now_s), now_s
            )
        except OSError as error:
            run.unreached += 1
            run.cause = f"{backend.id} not reached: {str(error) or 'timeout'}"
            state.fleet.on_unreached(backend.id, boot_s())
            self._sending_ended(backend, attempt)
            return Ending.NOT_SENT
        except asyncio.CancelledError:
            self._sending_ended(backend, attempt)
            raise
        exchange = BackendExchange(connection, state.dialect, attempt)
        run.backend = backend
        self.running.add(run)
        try:
            return await self._exchange(run, backend, exchange, kv_copy)
        except (AnswerBroken, GoneSilent, TimeoutError) as error:
            return self._broken(run, backend, error)
        finally:
            if exchange.is_reusable:
                state.pool.give_back(connection, exchange.keep_alive_s, boot_s())
            else:
                connection.close()
            run.backend = None
            self.running.discard(run)
            self._sending_ended(backend, attempt)

    def _sending_ended(self, backend: Backend, attempt: str) -> None:
        self.state.fleet.on_ended(backend.id, attempt)
        self.wake()

    def _broken(self, run: Run, backend: Backend, error: Exception) -> Ending:
        run.may_have_run = True
        run.cause = f"{backend.id}: {str(error) or 'the time of the request ended'}"
        fleet, now_s = self.state.fleet, boot_s()
        if run.moving is not None or backend.leaving:
            # It was told to stop the run, or ends as announced.
            return Ending.BROKEN
        if isinstance(error, AnswerBroken):
            fleet.on_failure(backend, now_s)
            if run.route.kind is not RequestKind.STREAM:
                self._count_begin(run)
        else:
            fleet.on_unreached(backend.id, now_s)
        self.state.pool.drop(backend.id)
        return Ending.BROKEN

    async def _exchange(
        self,
        run: Run,
        backend: Backend,
        exchange: BackendExchange,
        kv_copy: KvCopy | None,
    ) -> Ending | None:
        request, state = run.request, self.state
        forwarding = Forwarding(
            backend.id,
            run.time_left_s(boot_s()),
            run.account.name if run.account else "",
            run.progress.last_id,
            _engine_priority(run),
            kv_copy,
        )
        headers = state.dialect.encode_forwarding(request, forwarding, backend.address)
        exchange.send(request.method, request.target, headers, run.exchange.body)
        run.sent += 1
        async with asyncio.timeout(run.time_left_s(boot_s())):
            head = await self._unless_silent(run, exchange.head(), _silence_s(run))
            reply = head.reply
            if reply.load is not None:
                state.fleet.on_load_hint(backend, reply.load)
            if reply.not_run or reply.wrong_backend:
                await read_whole(exchange, ANSWER_LIMIT_BYTES)
                return self._rejected(run, backend, head)
            if not reply.is_proven:
                raise AnswerBroken(f"an answer {reply.status} without proof")
            if run.route.kind is RequestKind.STREAM and reply.status < 300:
                await self._pass_stream(run, backend, exchange, head)
                return None
            body = await read_whole(exchange, ANSWER_LIMIT_BYTES)
        self._count_begin(run)
        if reply.status >= 500:
            run.may_have_run = True
            run.failure = (head, body)
            run.cause = f"{backend.id} failed with {reply.status}"
            state.fleet.on_failure(backend, boot_s())
            return Ending.FAILED
        state.fleet.on_success(backend.id, boot_s())
        if run.exchange.status:
            raise AnswerBroken(f"a stream went on with status {reply.status}")
        await run.exchange.respond(reply.status, head.headers, body)
        self._log_end(run, "answered")
        return None

    def _rejected(self, run: Run, backend: Backend, head: AnswerHead) -> Ending:
        run.cause = f"{backend.id} did not run it, status {head.reply.status}"
        if head.reply.wrong_backend:
            self.state.fleet.view.forget(backend.id)
            self.state.pool.drop(backend.id)
        else:
            self.state.fleet.on_unreached(backend.id, boot_s())
        return Ending.REJECTED

    async def _pass_stream(
        self, run: Run, backend: Backend, exchange: BackendExchange, head: AnswerHead
    ) -> None:
        """Pass a stream on as it comes, whole events where it may be resumed."""
        splitter = EventSplitter()
        pieces = exchange.pieces()
        is_first = True
        while True:
            silence_s = _silence_s(run) if is_first else _pause_s(run)
            piece = await self._unless_silent(run, anext(pieces, b""), silence_s)
            if not piece:
                break
            if is_first:
                is_first = False
                self._on_first_piece(run, backend)
            data = piece
            if run.request.prompt is not None:
                try:
                    events = splitter.feed(piece)
                    data = b"".join(e.data for e in events if run.progress.accept(e))
                except ValueError as error:
                    raise AnswerBroken(str(error)) from error
            if data:
                self._pass_on(run, head, data)
                await run.exchange.drain()
        if splitter.partial:
            raise AnswerBroken("the stream ended within an event")
        if not run.exchange.status:
            run.exchange.start(head.reply.status, _stream_headers(head.headers))
        await run.exchange.finish()
        self.state.fleet.on_success(backend.id, boot_s())
        self._log_end(run, "answered")

    def _on_first_piece(self, run: Run, backend: Backend) -> None:
        self._count_begin(run)
        run.may_have_run = True
        self.state.fleet.on_first_event(backend.id, run.request.attempt_id)

    def _pass_on(self, run: Run, head: AnswerHead, data: bytes) -> None:
        now_s = boot_s()
        if run.last_event_s:
            run.longest_pause_s = max(run.longest_pause_s, now_s - run.last_event_s)
        run.last_event_s = now_s
        if not run.exchange.status:
            run.first_event_s = now_s - run.exchange.arrived_s
            run.exchange.start(head.reply.status, _stream_headers(head.headers))
        run.exchange.send(data)

    async def _unless_silent(
        self, run: Run, awaited: Awaitable[T], silence_s: float
    ) -> T:
        """Await, but leave a silent backend server if another may go on.

        Raises:
            GoneSilent: It sent nothing for too long and there is another one.
        """
        if not run.repeatable or run.sent >= run.route.most_backends:
            return await awaited
        waiting = asyncio.ensure_future(awaited)
        try:
            done, _ = await asyncio.wait((waiting,), timeout=silence_s)
            if not done and self._has_other(run):
                raise GoneSilent(f"sent nothing for {silence_s:.2f} s")
            return await waiting
        finally:
            waiting.cancel()

    def evacuate(self, now_s: float) -> None:
        """Move runs off engines that are about to end."""
        for run in self.running:
            if run.moving is None and _has_to_move(run, now_s):
                run.moving = asyncio.create_task(self._move(run))

    async def _move(self, run: Run) -> Moved | None:
        """Stop a run at its engine and copy its memory to another one."""
        source = run.backend
        assert source is not None
        target = placement.choose(
            self.state.fleet,
            run.service,
            run.request.prompt,
            run.tried,
            self.state.settings.zone,
            boot_s(),
        )
        if target is None:
            return None
        attempt = run.request.attempt_id
        path, body = self.state.dialect.encode_move(attempt, target.backend.address)
        answered = await call(source.address, path, [], body, MOVE_TIMEOUT_S)
        moved = answered.bind(
            lambda a: self.state.dialect.decode_moved(a.status, a.body, source.address)
        )
        outcome = str(moved.error) if moved.is_error() else "moved"
        log.info(
            "moved",
            request=attempt,
            source=source.id,
            target=target.backend.id,
            events=run.progress.count,
            outcome=outcome,
        )
        return None if moved.is_error() else Moved(target.backend, moved.ok)

    async def _moved(self, run: Run) -> Moved | None:
        """Return where a run goes on after its engine stopped it."""
        if run.moving is None:
            return None
        moving, run.moving = run.moving, None
        return await moving

    def _has_other(self, run: Run) -> bool:
        fleet = self.state.fleet
        return bool(fleet.candidates(run.service, run.tried, boot_s()))

    def _count_begin(self, run: Run) -> None:
        if run.has_begun or run.account is None:
            return
        run.has_begun = True
        state = self.state
        state.usage.on_begun(run.account.name, state.wall_time.read(boot_s()))

    async def _refuse(
        self, exchange: Exchange, run: Run | None, refusal: Refusal
    ) -> None:
        retry_after_s = refusal.retry_after_s
        if retry_after_s is not None:
            retry_after_s *= 1 + RETRY_SPREAD * self.state.random.random()
        headers = self.state.dialect.encode_refusal(retry_after_s)
        if run is not None:
            run.cause = refusal.cause
            self._log_end(run, "refused", status=refusal.status)
        else:
            metrics = self.state.metrics
            metrics.outcomes.labels("refused_at_once", refusal.status).inc()
            log.info(
                "refused_at_once",
                request=exchange.request_id(self.state.dialect),
                status=refusal.status,
                cause=refusal.cause,
            )
        await exchange.respond(refusal.status, headers, b"")

    def _log_end(self, run: Run, outcome: str, **fields: object) -> None:
        taken_s = boot_s() - run.exchange.arrived_s
        metrics = self.state.metrics
        metrics.outcomes.labels(outcome, run.exchange.status).inc()
        if outcome == "answered":
            metrics.answer_s.observe(taken_s)
            if run.first_event_s:
                metrics.first_event_s.observe(run.first_event_s)
                metrics.pause_s.observe(run.longest_pause_s)
        log.info(
            outcome,
            request=run.request.attempt_id,
            route=run.route.name,
            service=run.service,
            configuration=self.state.configuration.version,
            backends=sorted(run.tried),
            sent=run.sent,
            events=run.progress.count,
            expected_s=round(run.expected_s, 4),
            first_event_s=round(run.first_event_s, 4),
            longest_pause_s=round(run.longest_pause_s, 4),
            taken_s=round(taken_s, 4),
            cause=run.cause,
            **fields,
        )


def _has_to_move(run: Run, now_s: float) -> bool:
    """Tell whether a stream would be cut by the end of its engine."""
    backend = run.backend
    if backend is None or not backend.leaving or not run.progress.count:
        return False
    if run.request.prompt is None or backend.gone_at_ms is None:
        return False
    return now_s >= backend.gone_at_ms / 1000 - MOVE_BEFORE_S


def _waited_before_s(request: InboundRequest, route: Route) -> float:
    """Return the time since a caller's first attempt, 0 at its first."""
    patience_s = request.patience_s
    if patience_s is None or patience_s >= RETURNED_SHARE * route.timeout_s:
        return 0.0
    return route.timeout_s - patience_s


def _silence_s(run: Run) -> float:
    return max(SILENCE_LEAST_S, SILENCE_OBJECTIVES * run.route.objective_s)


def _pause_s(run: Run) -> float:
    return max(PAUSE_LEAST_S, SILENCE_OBJECTIVES * run.route.pause_objective_s)


def _engine_priority(run: Run) -> int | None:
    if run.request.prompt is None:
        return None
    return min(LAST_ENGINE_PRIORITY, max(0, _rank(run)))


def _rank(run: Run) -> int:
    """Return the rank of a request; a client account's goes before its route's."""
    if run.account is not None and run.account.priority is not None:
        return run.account.priority
    return run.route.priority


def _stream_headers(headers: RawHeaders) -> RawHeaders:
    """Return the headers of a stream, which is sent in chunks."""
    return [(name, value) for name, value in headers if name.lower() != LENGTH_HEADER]
