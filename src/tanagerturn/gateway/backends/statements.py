"""Applies what backend servers state of themselves in their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.clocks import to_ms
from tanagerturn.gateway.fleet import service_of

if TYPE_CHECKING:
    from tanagerturn.gateway.calls import CallResponse
    from tanagerturn.gateway.messages import BackendReply
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.backends.backend import Backend


def apply_statements(
    state: GatewayState,
    backend: Backend,
    reply: BackendReply,
    sent_s: float | None,
    now_s: float,
) -> None:
    """Apply a response's statements, whether or not its request uses the response.

    Args:
        state: State of the gateway.
        backend: Backend server that made the response.
        reply: Head of the response.
        sent_s: Boot-clock time in seconds at which the request was sent; None if it is
            unknown which request the response belongs to. Then only statements are
            applied that a later one does not replace.
        now_s: Current boot-clock time in seconds.
    """
    if reply.pause_s is not None:
        state.backend_limits.on_pause_asked(backend, reply.pause_s, now_s)
    if reply.is_leaving:
        drain_ms = to_ms(state.settings.drain_s)
        born_ms = backend.announcement.born_ms
        state.fleet.on_leaving_stated(backend.id, born_ms, drain_ms, now_s)
    if sent_s is None:
        return
    state.fleet.brittle.on_response(
        service_of(backend), reply.brittle_per_s, sent_s, now_s
    )
    state.backend_limits.on_response(backend, reply.limit_per_s, sent_s, now_s)
    if reply.load is not None:
        if reply.load.unknown_fields:
            state.metrics.unknown_load_fields.inc()
        state.fleet.on_load_hint(backend, reply.load, now_s)


def read_call_statements(
    state: GatewayState, backend: Backend, response: CallResponse, now_s: float
) -> None:
    """Apply the statements in the response to a call of the gateway itself.

    Args:
        state: State of the gateway.
        backend: Backend server that was called.
        response: Its response.
        now_s: Current boot-clock time in seconds.
    """
    reply = state.dialect.decode_reply(response.status, response.headers)
    apply_statements(state, backend, reply, None, now_s)
