"""Serves requests through peer gateways where this gateway has no path of its own."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, TypeVar

from tanagerturn.clocks import boot_s, to_ms
from tanagerturn.gateway.backends.exchange import (
    BackendExchange,
    ResponseError,
    read_whole,
)
from tanagerturn.gateway.backends.forwarded import (
    InvalidForwarding,
    decode_answer,
    encode_request,
    without_forwarding,
)
from tanagerturn.gateway.backends.pool import BackendConnection
from tanagerturn.gateway.backends.sender import RESPONSE_LIMIT_BYTES
from tanagerturn.gateway.backends.streams import new_data, stream_headers
from tanagerturn.gateway.configuration import RequestKind
from tanagerturn.gateway.connection import connect, end_to_end_headers
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.outcomes import log_end
from tanagerturn.gateway.request_run import first_event_timeout_s, pause_timeout_s
from tanagerturn.gateway.retry_policy import AttemptOutcome
from tanagerturn.serving.backends.messages import BackendId, SoftwareVersion
from tanagerturn.serving.streams.endings import Framing
from tanagerturn.serving.streams.origins import StreamOrigin

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tanagerturn.gateway.messages import RawHeaders
    from tanagerturn.gateway.request_run import RequestRun
    from tanagerturn.gateway.spread.peer_paths import PeerGateway
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.schema import gateway_pb2 as gpb

CONNECT_TIMEOUT_S: Final = 0.2
"""Timeout in seconds of a connection to a peer: many round trips within a region, and
short beside the objectives of lookups, since another peer may be tried."""

MAX_PEERS: Final = 3
"""Maximum number of peers that a request is forwarded to."""

PEER_TIMEOUT_FACTOR: Final = 2.5
"""Timeouts for a peer's response as a multiple of those for a backend server's, since
the peer may try a second backend server."""

NOT_RUN_STATUSES: Final = (429, 503)
"""Statuses by which a gateway states that a request has not run."""

OWN_HEADERS: Final = (b"content-length", b"expect")
"""Headers of the caller that concern the body, which is forwarded whole."""

T = TypeVar("T")

log = component_log("relay")


class PeerExchange(BackendExchange):
    """A request on a connection to a peer gateway, which carries no other one."""

    def _is_own(self, reply: object) -> bool:
        return True


class Detours:
    """Forwards requests to peer gateways and their responses to the callers.

    Args:
        state: State that the components of the gateway share.
        refund: Refunds the units of a request that was not executed.
    """

    def __init__(
        self, state: GatewayState, refund: Callable[[RequestRun], None]
    ) -> None:
        self.state = state
        """State that the components of the gateway share."""
        self.refund = refund
        """Refunds the units of a request that was not executed."""
        self.forwarded_count = 0
        """Number of requests that were forwarded to peers since the start."""

    def choose(self, run: RequestRun, now_s: float) -> PeerGateway | None:
        """Choose the peer for a request; None if there is none, or enough were tried.

        Args:
            run: The request.
            now_s: Current boot-clock time in seconds.
        """
        if len(run.tried_peers) >= MAX_PEERS:
            return None
        state = self.state
        return state.peer_paths.choose(
            run.service, run.tried_peers, state.random, now_s
        )

    async def send(self, run: RequestRun, peer: PeerGateway) -> AttemptOutcome | None:
        """Forward a request to a peer and the peer's response to the caller.

        Returns:
            How the attempt failed; None once the caller has its response.
        """
        now_s = boot_s()
        run.tried_peers.add(peer.host)
        log.info(
            "forwarded",
            request=run.request.attempt_id,
            peer=peer.host,
            service=run.service,
            after_event=run.progress.last_id,
            sent=run.sent_count,
            time_left_s=round(run.time_left_s(now_s), 3),
        )
        address = f"{peer.ip}:{self.state.settings.forwarding_port}"
        timeout_s = min(CONNECT_TIMEOUT_S, run.time_left_s(now_s))
        try:
            # A connection of its own: a peer that restarts would break an idle one, and
            # a request that was written on it may or may not have run.
            tcp = await connect(address, timeout_s)
        except OSError as error:
            reason = str(error) or "connect timeout"
            return self._on_not_run(run, peer, f"unreachable: {reason}")
        self.forwarded_count += 1
        connection = BackendConnection(BackendId(peer.host), address, tcp)
        exchange = PeerExchange(connection, self.state.dialect, run.request.attempt_id)
        try:
            async with asyncio.timeout(self._time_left_s(run, boot_s())):
                return await self._run_exchange(run, peer, exchange)
        except (ResponseError, InvalidForwarding, TimeoutError) as error:
            run.may_have_run = True
            run.sent_count += 1
            reason = str(error) or "the deadline of the request passed"
            run.cause = f"gateway {peer.host}: {reason}"
            if not run.progress.event_count:
                self.state.peer_paths.on_failed(peer.host, boot_s())
            return AttemptOutcome.BROKEN
        finally:
            exchange.stop_writing()
            connection.close()

    def _time_left_s(self, run: RequestRun, now_s: float) -> float:
        """Return the time in seconds within which the peer's response is of use."""
        shutdown = self.state.shutdown
        left_s = run.time_left_s(now_s)
        return left_s if shutdown is None else min(left_s, shutdown.end_s - now_s)

    def _on_not_run(
        self, run: RequestRun, peer: PeerGateway, reason: str
    ) -> AttemptOutcome:
        run.cause = f"gateway {peer.host}: {reason}"
        self.state.peer_paths.on_failed(peer.host, boot_s())
        return AttemptOutcome.NOT_SENT

    async def _run_exchange(
        self, run: RequestRun, peer: PeerGateway, exchange: PeerExchange
    ) -> AttemptOutcome | None:
        request = run.request
        headers = without_forwarding(end_to_end_headers(run.exchange.headers))
        headers = [h for h in headers if h[0].lower() not in OWN_HEADERS]
        headers.append(encode_request(run, self._time_left_s(run, boot_s())))
        exchange.send(request.method, request.target, headers, run.exchange.body)
        run.is_in_flight = True
        if not run.held_s:
            run.held_s = boot_s() - run.exchange.arrived_s
        head = await _with_timeout(
            run, exchange.read_head(), first_event_timeout_s(run)
        )
        answer = decode_answer(head.headers)
        if answer.without_path:
            return self._on_not_run(run, peer, "has no path either")
        if exchange.framing is Framing.CLOSE:
            # Gateways state a length or send chunks, so its end could not be told from
            # the death of the peer.
            raise ResponseError("the response has neither a length nor chunks")
        headers, reply = without_forwarding(head.headers), head.reply
        if reply.is_leaving:
            self._on_leaving(answer, boot_s())
        if run.route.kind is RequestKind.STREAM and reply.status < 300:
            await self._forward_stream(run, exchange, headers, answer)
            log_end(self.state, run, "answered")
            return None
        if run.exchange.status:
            run.cause = f"gateway {peer.host}: resuming failed with {reply.status}"
            return AttemptOutcome.REJECTED
        body = await read_whole(
            exchange, RESPONSE_LIMIT_BYTES, run.exchange.hold_response
        )
        if not reply.has_backend_proof:
            if reply.status in NOT_RUN_STATUSES:
                self.refund(run)
            outcome = "refused"
        else:
            outcome = "answered" if reply.status < 500 else "failed_by_backend"
        await run.exchange.respond(reply.status, headers, body)
        log_end(self.state, run, outcome)
        return None

    async def _forward_stream(
        self,
        run: RequestRun,
        exchange: PeerExchange,
        headers: RawHeaders,
        answer: gpb.ForwardedAnswer,
    ) -> None:
        """Forward a stream as its bytes arrive."""
        parts = exchange.body_parts()

        async def read_part() -> bytes:
            return await _with_timeout(run, anext(parts, b""), pause_timeout_s(run))

        async for data in new_data(run, headers, read_part):
            run.may_have_run = True
            if not data:
                continue
            now_s = boot_s()
            if run.origin is None and answer.HasField("origin_version"):
                version = SoftwareVersion(answer.origin_version)
                run.origin = StreamOrigin(run.service, version)
            if not run.exchange.status:
                run.first_event_s = now_s - run.exchange.arrived_s
                run.exchange.start(200, stream_headers(headers))
            run.exchange.send(data)
            waited_s = boot_s() - exchange.connection.tcp.read_since_s
            run.passed_on_s = max(run.passed_on_s, waited_s)
            await run.exchange.drain()
        if not run.exchange.status:
            run.exchange.start(200, stream_headers(headers))
        await run.exchange.finish()

    def _on_leaving(self, answer: gpb.ForwardedAnswer, now_s: float) -> None:
        """Record the departure that the backend server of a peer's answer stated."""
        state, backend_id = self.state, BackendId(answer.backend)
        born_ms = answer.backend_born_ms
        if not answer.HasField("backend_born_ms"):
            # A peer of an older version: the start that is known here is meant.
            backend = state.fleet.view.backends.get(backend_id)
            if backend is None:
                return
            born_ms = backend.announcement.born_ms
        drain_ms = to_ms(state.settings.drain_s)
        state.fleet.on_leaving_stated(backend_id, born_ms, drain_ms, now_s)


async def _with_timeout(
    run: RequestRun, awaitable: Awaitable[T], backend_timeout_s: float
) -> T:
    """Await a peer with a timeout, if another gateway may resume the request.

    Args:
        run: The request.
        awaitable: What the peer sends.
        backend_timeout_s: Timeout in seconds for a backend server in its place.

    Raises:
        TimeoutError: The peer sent nothing within the timeout.
    """
    if not run.is_repeatable:
        return await awaitable
    async with asyncio.timeout(PEER_TIMEOUT_FACTOR * backend_timeout_s):
        return await awaitable
