"""Sends one request to one backend server and forwards its response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, TypeVar

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.backends.endings import EndVerifier
from tanagerturn.gateway.backends.exchange import (
    BackendExchange,
    ResponseError,
    read_whole,
)
from tanagerturn.gateway.backends.indirect_checks import accepts_peers
from tanagerturn.gateway.backends.late_answers import LateAnswers
from tanagerturn.gateway.backends.obstacles import find_obstacle
from tanagerturn.gateway.backends.path_checks import PathChecker
from tanagerturn.gateway.backends.statements import apply_statements
from tanagerturn.gateway.backends.streams import (
    LENGTH_HEADER,
    new_data,
    stream_headers,
)
from tanagerturn.gateway.callers import scarcity
from tanagerturn.gateway.configuration import RequestKind
from tanagerturn.gateway.fleet import service_of, start_of
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.messages import Forwarding
from tanagerturn.gateway.outcomes import count_run_start, framing_name, log_end
from tanagerturn.gateway.quarantine import CrashDetector, shared_parts
from tanagerturn.gateway.request_run import (
    BackendFailure,
    BackendTimeout,
    engine_priority,
    first_event_timeout_s,
    pause_timeout_s,
)
from tanagerturn.gateway.retry_policy import AttemptOutcome
from tanagerturn.serving.backends.paths import Doubt
from tanagerturn.serving.quarantine.quarantine import WELL_AFTER_S
from tanagerturn.serving.streams.endings import MoveState
from tanagerturn.serving.streams.origins import StreamOrigin

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tanagerturn.gateway.backends.endings import ProcessWatch
    from tanagerturn.gateway.backends.exchange import ResponseHead
    from tanagerturn.gateway.backends.pool import BackendConnection
    from tanagerturn.gateway.links import Links
    from tanagerturn.gateway.messages import BackendReply, KvCopy, RawHeaders
    from tanagerturn.gateway.request_run import RequestRun
    from tanagerturn.gateway.rollouts.attempts import AttemptCounter
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.backends.backend import Backend

RESPONSE_LIMIT_BYTES: Final = 4 * 1024 * 1024
"""Maximum size in bytes of the response of a plain service, which is read whole before
it is forwarded."""

COPY_RETRY_S: Final = 0.05
"""Time in seconds after which the engine with the copy of a migrated request is tried
again if it must not get the request now, such as during a pause."""

OPENED_LATE_S: Final = 0.05
"""Time in seconds after which an opened connection is logged as late."""

SLOW_OPEN_S: Final = 0.12
"""Time in seconds after which a connection that is not open yet causes a check of the
paths to backend servers: many round trips, and less than the retransmission timeout of
a lost first packet."""

RECENT_SUCCESS_S: Final = 1.0
"""Time in seconds after a success within which a missing response of the same backend
server is no reason to check the path to it."""

T = TypeVar("T")

log = component_log("relay")


class Sender:
    """Makes backend attempts and forwards their responses.

    Args:
        state: State that the components of the gateway share.
        links: Links to peer gateways.
        on_attempt_finished: Called when an attempt has finished, which frees capacity
            at its backend server.
    """

    def __init__(
        self,
        state: GatewayState,
        links: Links,
        on_attempt_finished: Callable[[], None],
    ) -> None:
        self.state = state
        """State that the components of the gateway share."""
        self.on_attempt_finished = on_attempt_finished
        """Called when an attempt has finished, which frees capacity at its backend
        server."""
        self.running: dict[RequestRun, BackendExchange] = {}
        """Requests with an attempt in progress, and its exchange."""
        self.late_answers = LateAnswers()
        """Reads answers to requests that were given up."""
        self.end_verifier = EndVerifier(state)
        """Verifies responses that end when their connection closes."""
        self.path_checker = PathChecker(state, on_attempt_finished)
        """Checks which backend servers this gateway reaches."""
        state.pool.on_idle_broken = lambda backend_id: self.path_checker.on_doubted(
            backend_id, Doubt.WEAK, boot_s()
        )
        self.crash_detector = CrashDetector(
            state.quarantine,
            state.repeats,
            self.path_checker,
            lambda address: accepts_peers(
                address, links, state.limits.gateways, state.random
            ),
        )
        """Checks backend servers that broke requests off."""

    async def send(
        self, run: RequestRun, backend: Backend, kv_copy: KvCopy | None
    ) -> AttemptOutcome | None:
        """Send a request to one backend server and forward its response.

        Returns:
            How the attempt failed; None once the caller has its response.
        """
        state = self.state
        now_s = boot_s()
        attempt = run.request.attempt_id
        run.tried_backend_ids.add(backend.id)
        backend_state = state.fleet.state(backend.id)
        work = backend_state.total_work(now_s)
        state.fleet.on_forwarded(
            backend,
            attempt,
            run.request.prompt,
            now_s,
            run.expected_s / run.pace,
            # With a copy of the KV cache, the engine does not read the prompt.
            run.time_factor if kv_copy is None else 0.0,
        )
        log.info(
            "sent",
            request=attempt,
            backend=backend.id,
            software_version=backend.software_version,
            resumes=run.request.resumed_attempt_id,
            after_event=run.progress.last_id,
            expected_s=round(run.expected_s, 4),
            pace=round(run.pace, 2),
            time_factor=round(run.time_factor, 3),
            running=work.running,
            prompt_tokens=work.prompt_tokens,
            heard_ago_s=round(now_s - backend.last_heard_ms / 1000, 3),
            configuration=state.configuration.version,
            time_left_s=round(run.time_left_s(now_s), 3),
            copied_from=kv_copy.source_address if kv_copy else "",
        )
        watch = self.end_verifier.watch(run, backend)
        try:
            return await self._attempt(run, backend, kv_copy, watch, now_s)
        finally:
            self.end_verifier.end_watch(watch)

    async def _attempt(
        self,
        run: RequestRun,
        backend: Backend,
        kv_copy: KvCopy | None,
        watch: ProcessWatch,
        now_s: float,
    ) -> AttemptOutcome | None:
        """Connect to a backend server, and send a request that is counted there."""
        state, attempt = self.state, run.request.attempt_id
        try:
            connection = await self._connect(run, backend, watch, now_s)
        except OSError as error:
            run.unreachable_count += 1
            run.cause = f"{backend.id} unreachable: {str(error) or 'connect timeout'}"
            state.fleet.on_unreachable(backend.id, boot_s())
            self.path_checker.on_open_failed(backend.id, error, boot_s())
            self._on_attempt_finished(backend, attempt)
            return AttemptOutcome.NOT_SENT
        except asyncio.CancelledError:
            self._on_attempt_finished(backend, attempt)
            raise
        obstacle = find_obstacle(
            state, run, backend, boot_s(), continues=kv_copy is not None
        )
        if obstacle is not None:
            state.pool.release(connection, None, boot_s())
            run.cause = f"{backend.id} {obstacle.cause} while a connection opened"
            self._on_attempt_finished(backend, attempt)
            if kv_copy is not None and not obstacle.is_lasting:
                # No other engine has the copy, so this one is tried again.
                await asyncio.sleep(COPY_RETRY_S)
            return AttemptOutcome.NOT_SENT
        sent_s = boot_s()
        self._log_sending(run, backend, kv_copy, now_s, sent_s)

        def on_reply(reply: BackendReply, is_own: bool) -> None:
            known_sent_s = sent_s if is_own else None
            apply_statements(state, backend, reply, known_sent_s, boot_s())

        exchange = BackendExchange(connection, state.dialect, attempt, on_reply)
        run.backend, run.writing_since_s, run.has_run_well = backend, 0.0, False
        run.move, run.framing = MoveState.NONE, None
        if run.forwarded is not None:
            run.forwarded.name_backend(backend)
        self.running[run] = exchange
        outcome, is_harmless = None, True
        try:
            outcome = await self._run_exchange(run, backend, exchange, kv_copy, watch)
            is_harmless = False
            return outcome
        except (ResponseError, BackendTimeout, TimeoutError) as error:
            outcome = self._on_response_error(run, backend, error)
            is_harmless = (
                run.is_withdrawn or run.migration_task is not None or backend.leaving
            )
            return outcome
        finally:
            exchange.stop_writing()
            counter = self._rollout_counter(run)
            if counter is not None:
                counter.on_finished(run, outcome, boot_s(), is_harmless=is_harmless)
            if exchange.is_reusable:
                connection.answered_s = connection.answered_s or boot_s()
                state.pool.release(connection, exchange.keep_alive_s, boot_s())
            elif exchange.request is None or exchange.has_head:
                connection.close()
            else:
                self.late_answers.read(exchange)
            run.backend = None
            del self.running[run]
            self._on_attempt_finished(backend, attempt)

    def _log_sending(
        self,
        run: RequestRun,
        backend: Backend,
        kv_copy: KvCopy | None,
        chosen_s: float,
        now_s: float,
    ) -> None:
        """Log a request that is written late, or to a leaving backend server.

        Args:
            run: The request.
            backend: The backend server.
            kv_copy: Copy of the KV cache there; None for requests that do not migrate.
            chosen_s: Boot-clock time in seconds at which the attempt started.
            now_s: Current boot-clock time in seconds.
        """
        attempt = run.request.attempt_id
        opening_s = now_s - chosen_s
        if opening_s >= OPENED_LATE_S:
            log.info(
                "opened_late",
                request=attempt,
                backend=backend.id,
                opening_s=round(opening_s, 3),
            )
        departure = self.state.fleet.departures.by_start.get(start_of(backend))
        if departure is not None:
            log.info(
                "sent_to_leaving",
                request=attempt,
                backend=backend.id,
                known_s=round(now_s - departure.learned_s, 3),
                continues=kv_copy is not None,
            )

    async def _connect(
        self, run: RequestRun, backend: Backend, watch: ProcessWatch, now_s: float
    ) -> BackendConnection:
        """Return a connection to a backend server; check the paths if it is slow.

        The witness that the response may need is claimed afterwards, since the last
        idle connection has to carry the request if no other can be opened. What peers
        have stated is read before the connection is used.

        Raises:
            OSError: The connection could not be opened, or `TimeoutError`.
        """
        slow = asyncio.get_running_loop().call_later(
            SLOW_OPEN_S,
            lambda: self.path_checker.on_doubted(backend.id, Doubt.STRONG, boot_s()),
        )
        try:
            connection = await self.state.pool.acquire(
                backend.id,
                backend.address,
                run.time_left_s(now_s),
                now_s,
                prefers_new=self.end_verifier.expects_close(watch),
            )
        finally:
            slow.cancel()
        if connection.is_new:
            self.state.fleet.on_path_opened(backend.id, now_s)
        backlog = self.state.backlog
        try:
            await self.end_verifier.claim_witness(watch, run)
            if backlog.is_unread(boot_s()):
                await backlog.wait_until_read(boot_s())
        except asyncio.CancelledError:
            connection.close()
            raise
        if connection.tcp.is_usable:
            return connection
        # It broke while a witness was opened or this gateway was suspended, and has not
        # been written to.
        connection.close()
        return await self.state.pool.open(
            backend.id, backend.address, run.time_left_s(boot_s())
        )

    def withdraw_quarantined(self) -> None:
        """Close the backend connections of requests that have been quarantined.

        Requests that a backend server has begun to write are left to it, and so are
        those that may be innocent.
        """
        quarantine, repeats = self.state.quarantine, self.state.repeats
        for run, exchange in self.running.items():
            if run.is_trial or run.writing_since_s:
                continue
            has_part = quarantine.find(shared_parts(run.request.prompt)) is not None
            if has_part or repeats.is_guilty(run.fingerprint):
                run.is_withdrawn = True
                exchange.connection.close()

    def _rollout_counter(self, run: RequestRun) -> AttemptCounter | None:
        """Return what counts a request as evidence; None without rollouts."""
        rollouts = self.state.rollouts
        return None if rollouts is None else rollouts.service(run.service).counter

    def _on_attempt_finished(self, backend: Backend, attempt: str) -> None:
        self.state.fleet.on_request_ended(backend.id, attempt)
        self.on_attempt_finished()

    def _on_response_error(
        self, run: RequestRun, backend: Backend, error: Exception
    ) -> AttemptOutcome:
        run.may_have_run = True
        run.cause = (
            f"{backend.id}: {str(error) or 'the deadline of the request passed'}"
        )
        fleet, now_s = self.state.fleet, boot_s()
        prompt, writing_s = run.request.prompt, run.writing_s(now_s)
        log.info(
            "attempt_broke",
            request=run.request.attempt_id,
            backend=backend.id,
            fingerprint=run.fingerprint,
            parts=[part.id for part in prompt.parts] if prompt else [],
            writing_s=None if writing_s is None else round(writing_s, 3),
            events=run.progress.event_count,
            framing=framing_name(run),
            move=run.move.value,
            cause=run.cause,
        )
        if run.is_withdrawn:
            return AttemptOutcome.BROKEN
        if run.migration_task is not None or backend.leaving:
            # The stream was migrated to another engine, or the backend server stopped
            # as announced: neither is a failure of the backend server.
            return AttemptOutcome.BROKEN
        if now_s - fleet.state(backend.id).last_success_s > RECENT_SUCCESS_S:
            self.path_checker.on_doubted(backend.id, Doubt.WEAK, now_s)
        if isinstance(error, ResponseError):
            self.crash_detector.on_broken(backend, run, writing_s, now_s)
            fleet.on_broken(backend, now_s)
            if run.route.kind is not RequestKind.STREAM:
                count_run_start(self.state, run)
        elif run.progress.event_count and not isinstance(error, BackendTimeout):
            # The backend server is slow, not silent: it sent events until the deadline.
            return AttemptOutcome.BROKEN
        else:
            fleet.on_unreachable(backend.id, now_s)
        self.state.pool.drop(backend.id)
        return AttemptOutcome.BROKEN

    async def _run_exchange(
        self,
        run: RequestRun,
        backend: Backend,
        exchange: BackendExchange,
        kv_copy: KvCopy | None,
        watch: ProcessWatch,
    ) -> AttemptOutcome | None:
        request, state = run.request, self.state
        sent_s = boot_s()
        forwarding = Forwarding(
            backend.id,
            run.time_left_s(boot_s()),
            run.account.name if run.account else "",
            run.progress.last_id,
            engine_priority(run),
            kv_copy,
        )
        headers = state.dialect.encode_forwarding(request, forwarding, backend.address)
        watch.sent_s = sent_s
        exchange.send(request.method, request.target, headers, run.exchange.body)
        run.sent_count += 1
        run.is_in_flight = True
        counter = self._rollout_counter(run)
        if counter is not None:
            counter.on_sent(run, backend, sent_s)
        if run.is_trial:
            state.quarantine.on_tried(shared_parts(request.prompt), sent_s)
            state.repeats.on_tried(run.fingerprint, sent_s)
        if not run.held_s:
            run.held_s = boot_s() - run.exchange.arrived_s
        async with asyncio.timeout(run.time_left_s(boot_s())):
            head = await self._with_timeout(
                run, exchange.read_head(), first_event_timeout_s(run)
            )
            reply, run.framing = head.reply, exchange.framing
            if reply.is_refusal:
                # The connection is closed with the body unread: on a kept one, a copy
                # of this refusal could be taken for the answer of the next request.
                return self._on_rejected(run, backend, head)
            if not reply.has_backend_proof:
                raise ResponseError(
                    f"the response with status {reply.status} has no proof of origin"
                )
            self.end_verifier.on_head(watch, run, exchange, reply)
            _check_length(head.headers)
            if run.route.kind is RequestKind.STREAM and reply.status < 300:
                await self._forward_stream(run, backend, exchange, watch, head)
                return None
            body = await read_whole(
                exchange, RESPONSE_LIMIT_BYTES, run.exchange.hold_response
            )
            await self.end_verifier.verify(
                run, backend, exchange, watch, is_stream=False
            )
        count_run_start(self.state, run)
        if reply.status >= 500:
            run.may_have_run = True
            run.backend_failure = BackendFailure(backend, head, body)
            run.cause = f"{backend.id} responded with status {reply.status}"
            state.fleet.on_failure(backend, boot_s())
            return AttemptOutcome.FAILED
        state.fleet.on_success(backend.id, boot_s())
        if run.exchange.status:
            raise ResponseError(
                f"resuming the stream failed with status {reply.status}"
            )
        if reply.status < 300:
            self._on_ran_well(run, boot_s())
            state.fleet.on_whole_response(backend, request.attempt_id, boot_s())
        run.passed_on_s = boot_s() - exchange.connection.tcp.read_since_s
        await run.exchange.respond(reply.status, head.headers, body)
        log_end(state, run, "answered")
        return None

    def _on_rejected(
        self, run: RequestRun, backend: Backend, head: ResponseHead
    ) -> AttemptOutcome:
        run.cause = f"{backend.id} rejected the request with status {head.reply.status}"
        if head.reply.is_want_of_room:
            self.state.fleet.brittle.on_rejected(
                service_of(backend), backend.id, boot_s()
            )
        if head.reply.is_wrong_backend:
            self.state.fleet.view.forget(backend.id)
            self.state.pool.drop(backend.id)
        else:
            self.state.fleet.on_unreachable(backend.id, boot_s())
        return AttemptOutcome.REJECTED

    async def _forward_stream(
        self,
        run: RequestRun,
        backend: Backend,
        exchange: BackendExchange,
        watch: ProcessWatch,
        head: ResponseHead,
    ) -> None:
        """Forward a stream as its bytes arrive.

        Of a generation or an event stream, only complete events that the caller does
        not have yet are forwarded.
        """
        body_parts = exchange.body_parts()

        async def read_part() -> bytes:
            has_begun = run.writing_since_s > 0
            timeout_s = (
                pause_timeout_s(run) if has_begun else first_event_timeout_s(run)
            )
            return await self._with_timeout(run, anext(body_parts, b""), timeout_s)

        async for data in new_data(run, head.headers, read_part):
            if not run.writing_since_s:
                self._on_first_data(run, backend)
            if data:
                self._forward_data(run, head, data)
                waited_s = boot_s() - exchange.connection.tcp.read_since_s
                run.passed_on_s = max(run.passed_on_s, waited_s)
                await run.exchange.drain()
        await self.end_verifier.verify(run, backend, exchange, watch, is_stream=True)
        if not run.exchange.status:
            run.exchange.start(head.reply.status, stream_headers(head.headers))
        await run.exchange.finish()
        self._on_ran_well(run, boot_s())
        self.state.fleet.on_success(backend.id, boot_s())
        if run.writing_since_s and run.sent_count == 1:
            self.state.fleet.on_stream_ended(
                backend,
                run.request.attempt_id,
                run.last_event_s - run.writing_since_s,
                run.progress.event_count,
                boot_s(),
            )
        log_end(self.state, run, "answered")

    def _on_first_data(self, run: RequestRun, backend: Backend) -> None:
        count_run_start(self.state, run)
        run.may_have_run = True
        run.writing_since_s = boot_s()
        scarcity.on_first_event(self.state, run, run.writing_since_s)
        counter = self._rollout_counter(run)
        if counter is not None:
            counter.on_first_data(run, run.writing_since_s)
        self.state.fleet.on_first_event(
            backend.id, run.request.attempt_id, run.writing_since_s
        )

    def _on_ran_well(self, run: RequestRun, now_s: float) -> None:
        """Record once per attempt that it is harmless to its backend server."""
        if run.has_run_well:
            return
        run.has_run_well = True
        begun_s = run.writing_since_s or now_s
        state = self.state
        parts = shared_parts(run.request.prompt)
        state.quarantine.on_ran_well(parts, begun_s, now_s)
        if state.repeats.evidence:
            state.repeats.on_ran_well(run.fingerprint, begun_s, now_s)

    def _forward_data(self, run: RequestRun, head: ResponseHead, data: bytes) -> None:
        now_s = boot_s()
        if run.last_event_s:
            run.longest_pause_s = max(run.longest_pause_s, now_s - run.last_event_s)
        run.last_event_s = now_s
        if now_s - run.writing_since_s >= WELL_AFTER_S:
            self._on_ran_well(run, now_s)
        if not run.exchange.status:
            run.first_event_s = now_s - run.exchange.arrived_s
            self._on_stream_begun(run, now_s)
            run.exchange.start(head.reply.status, stream_headers(head.headers))
        run.exchange.send(data)

    def _on_stream_begun(self, run: RequestRun, now_s: float) -> None:
        """Bind a stream to the software version that wrote its first event."""
        if run.backend is None:
            return
        if run.forwarded is not None:
            run.forwarded.answer.origin_version = run.backend.software_version
        if run.origin is not None:
            return
        run.origin = StreamOrigin(run.service, run.backend.software_version)
        self.state.stream_origins.on_began(
            run.request.attempt_id,
            run.origin,
            now_s,
            has_other_services=len(run.route.targets) > 1,
        )

    async def _with_timeout(
        self, run: RequestRun, awaitable: Awaitable[T], timeout_s: float
    ) -> T:
        """Await with a timeout if another backend server may be tried instead.

        Raises:
            BackendTimeout: The backend server sent no data within `timeout_s` seconds,
                and another one is available.
        """
        if not run.is_repeatable or run.sent_count >= run.route.max_backends:
            return await awaitable
        waiting = asyncio.ensure_future(awaitable)
        try:
            done, _ = await asyncio.wait((waiting,), timeout=timeout_s)
            if not done and self._has_alternative(run):
                raise BackendTimeout(f"sent no data for {timeout_s:.2f} s")
            return await waiting
        finally:
            waiting.cancel()

    def _has_alternative(self, run: RequestRun) -> bool:
        now_s = boot_s()
        excluded = self.state.excluded_backends(run, now_s)
        if self.state.fleet.candidates(run.service, excluded, now_s):
            return True
        return run.forwarded is None and self.state.lacks_path(run.service, now_s)


def _check_length(headers: RawHeaders) -> None:
    """Raise `ResponseError` if a response states a length above the limit."""
    for name, value in headers:
        if name.lower() == LENGTH_HEADER and int(value) > RESPONSE_LIMIT_BYTES:
            raise ResponseError(
                f"the response has {value.decode()} bytes, more than the limit of"
                f" {RESPONSE_LIMIT_BYTES}"
            )
