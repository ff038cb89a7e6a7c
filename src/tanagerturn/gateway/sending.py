"""Sends one request to one backend server and passes its answer on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, TypeVar

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.attempt import AnswerBroken, BackendExchange, read_whole
from tanagerturn.gateway.configuration import RequestKind
from tanagerturn.gateway.events import EventSplitter
from tanagerturn.gateway.failures import Ending
from tanagerturn.gateway.logs import part_log
from tanagerturn.gateway.messages import Forwarding
from tanagerturn.gateway.outcomes import count_begin, log_end
from tanagerturn.gateway.run import GoneSilent, engine_priority, pause_s, silence_s

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tanagerturn.gateway.attempt import AnswerHead
    from tanagerturn.gateway.messages import KvCopy, RawHeaders
    from tanagerturn.gateway.run import Run
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.backends.backend import Backend

ANSWER_LIMIT_BYTES: Final = 16 * 1024 * 1024
"""Largest answer of a plain service that is passed on whole."""

LENGTH_HEADER: Final = b"content-length"

T = TypeVar("T")

log = part_log("relay")


class Sender:
    """Sends requests to backend servers.

    Args:
        state: State of the gateway.
        on_ended: Called when a place at a backend server is free again.
    """

    def __init__(self, state: GatewayState, on_ended: Callable[[], None]) -> None:
        self.state = state
        """State of the gateway."""
        self.on_ended = on_ended
        """Called when a place is free again."""
        self.running: set[Run] = set()
        """Requests at backend servers."""

    async def send(
        self, run: Run, backend: Backend, kv_copy: KvCopy | None
    ) -> Ending | None:
        """Send a request to one backend server; None when the caller is answered."""
        state = self.state
        now_s = boot_s()
        attempt = run.request.attempt_id
        run.tried.add(backend.id)
        known = state.fleet.state(backend.id)
        work = known.work(now_s)
        state.fleet.on_sent(
            backend, attempt, run.request.prompt, now_s, run.expected_s / run.pace
        )
        log.info(
            "sent",
            request=attempt,
            backend=backend.id,
            expected_s=round(run.expected_s, 4),
            pace=round(run.pace, 2),
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
        self.on_ended()

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
                count_begin(self.state, run)
        elif run.progress.count and not isinstance(error, GoneSilent):
            # It is slow, not silent: events came until the time ended.
            return Ending.BROKEN
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
            engine_priority(run),
            kv_copy,
        )
        headers = state.dialect.encode_forwarding(request, forwarding, backend.address)
        exchange.send(request.method, request.target, headers, run.exchange.body)
        run.sent += 1
        if not run.held_s:
            run.held_s = boot_s() - run.exchange.arrived_s
        async with asyncio.timeout(run.time_left_s(boot_s())):
            head = await self._unless_silent(run, exchange.head(), silence_s(run))
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
        count_begin(self.state, run)
        if reply.status >= 500:
            run.may_have_run = True
            run.failure = (head, body)
            run.cause = f"{backend.id} failed with {reply.status}"
            state.fleet.on_failure(backend, boot_s())
            return Ending.FAILED
        state.fleet.on_success(backend.id, boot_s())
        if run.exchange.status:
            raise AnswerBroken(f"a stream went on with status {reply.status}")
        run.passed_on_s = boot_s() - exchange.connection.wire.received_s
        await run.exchange.respond(reply.status, head.headers, body)
        log_end(state, run, "answered")
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
            longest_s = silence_s(run) if is_first else pause_s(run)
            piece = await self._unless_silent(run, anext(pieces, b""), longest_s)
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
                waited_s = boot_s() - exchange.connection.wire.received_s
                run.passed_on_s = max(run.passed_on_s, waited_s)
                await run.exchange.drain()
        if splitter.partial:
            raise AnswerBroken("the stream ended within an event")
        if not run.exchange.status:
            run.exchange.start(head.reply.status, _stream_headers(head.headers))
        await run.exchange.finish()
        self.state.fleet.on_success(backend.id, boot_s())
        log_end(self.state, run, "answered")

    def _on_first_piece(self, run: Run, backend: Backend) -> None:
        count_begin(self.state, run)
        run.may_have_run = True
        self.state.fleet.on_first_event(backend.id, run.request.attempt_id, boot_s())

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
        self, run: Run, awaited: Awaitable[T], longest_s: float
    ) -> T:
        """Await, but leave a silent backend server if another may go on.

        Raises:
            GoneSilent: It sent nothing for too long and there is another one.
        """
        if not run.repeatable or run.sent >= run.route.most_backends:
            return await awaited
        waiting = asyncio.ensure_future(awaited)
        try:
            done, _ = await asyncio.wait((waiting,), timeout=longest_s)
            if not done and self._has_other(run):
                raise GoneSilent(f"sent nothing for {longest_s:.2f} s")
            return await waiting
        finally:
            waiting.cancel()

    def _has_other(self, run: Run) -> bool:
        fleet = self.state.fleet
        return bool(fleet.candidates(run.service, run.tried, boot_s()))


def _stream_headers(headers: RawHeaders) -> RawHeaders:
    """Return the headers of a stream, which is sent in chunks."""
    return [(name, value) for name, value in headers if name.lower() != LENGTH_HEADER]
