"""Steps of transport.feature."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

from behave import given, then

from tanagerturn.control.cloud import CloudClient
from tanagerturn.control.transport import HttpEngineTransport
from tanagerturn.deploy import free_port
from tanagerturn.entry.transport import (
    BackendRequest,
    BackendTransport,
    BrokenCallError,
    NothingSentError,
)
from tanagerturn.operator.output import Output
from tanagerturn.operator.session import ExitCode, Session
from tanagerturn.replay.caller import Caller
from tanagerturn.replay.results import CallerOutcome
from tanagerturn.replay.trace import CallKind, Priority, TraceRequest
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.orders.messages import SendAnswer

LIMIT_BYTES = 100
DRAIN_TIMEOUT_S = 0.2
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
RESPONSES = {
    "too large": HEAD % 200 + b"x" * 200,
    "incomplete": HEAD % 50 + b"x" * 20,
    "empty": b"",
    "cut in its status line": b"HTTP/1.1 200 OK",
    "cut before a header": b"HTTP/1.1 200 OK\r\n",
    "cut in a header": b"HTTP/1.1 200 OK\r\nContent-Le",
    "cut behind a header": b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
    "not HTTP": b"\x00\x01 this is not HTTP\r\n\r\n",
    "complete": HEAD % 5 + b"whole",
}


@given('a backend server whose response is "{response}"')
def start_server(context, response):
    listener = socket.create_server(("127.0.0.1", 0))
    context.closers.append(listener.close)
    context.address = f"127.0.0.1:{listener.getsockname()[1]}"
    context.received = []

    def serve() -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with connection:
                context.received.append(connection.recv(65536))
                connection.sendall(RESPONSES[response])
                # Closed with unread bytes, the connection would be reset.
                connection.settimeout(DRAIN_TIMEOUT_S)
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_WR)
                    while connection.recv(65536):
                        pass

    threading.Thread(target=serve, daemon=True).start()
    context.transport = BackendTransport(LIMIT_BYTES)


def request_to(address: str) -> BackendRequest:
    return BackendRequest(address, "POST", "/purchases", {}, b"{}", 5.0)


def error_of(call) -> Exception | None:
    try:
        call()
    except (BrokenCallError, NothingSentError) as error:
        return error
    return None


@then("a repeatable call fails as possibly sent")
def repeatable_call_fails(context):
    request = request_to(context.address)
    error = error_of(lambda: context.transport.call(request))
    assert isinstance(error, BrokenCallError), error
    assert error.peer == context.address


@then("a non-repeatable call fails as possibly sent")
def non_repeatable_call_fails(context):
    request = request_to(context.address)
    error = error_of(lambda: context.transport.call_once(request, lambda: True))
    assert isinstance(error, BrokenCallError), error
    assert error.peer == context.address


@then("an order to an engine gets no answer")
def order_lost(context):
    transport = HttpEngineTransport()
    answer, _ = transport.send(context.address, serving_pb2.Order(), 5.0)
    assert answer is SendAnswer.LOST, answer


@then("a release of a host at the cloud gets no answer")
def release_unanswered(context):
    client = CloudClient(f"http://{context.address}")
    assert client.release_host("h1").is_error()


@then("an operator's request ends with the exit code for no answer")
def operator_unanswered(context):
    session = Session(Output("json"))
    try:
        session.request_json(context.address, "/drain", "POST")
    except SystemExit as error:
        assert error.code == ExitCode.UNAVAILABLE, error.code
    else:
        raise AssertionError("the request was answered")


@then("a caller of the replay has no answer")
def replay_unanswered(context):
    caller = Caller([context.address])
    request = TraceRequest(
        0, "r1", "a", "s", "c", CallKind.IDEMPOTENT, Priority.NORMAL, deadline_ms=1
    )
    result = caller.call(request, time.monotonic() - 1.9)
    assert result.outcome is CallerOutcome.NO_ANSWER, result


@then("a call without permission sends nothing and the server receives no byte")
def without_permission(context):
    request = request_to(context.address)
    error = error_of(lambda: context.transport.call_once(request, lambda: False))
    assert isinstance(error, NothingSentError), error
    # The server handles connections in turn, so the first was closed by then.
    assert context.transport.call(request).body == b"whole"
    assert context.received[0] == b"", context.received


@then("a call to a closed port sends nothing")
def closed_port(context):
    request = request_to(f"127.0.0.1:{free_port()}")
    for call in (
        lambda: context.transport.call(request),
        lambda: context.transport.call_once(request, lambda: True),
    ):
        assert isinstance(error_of(call), NothingSentError)


@then("a complete response is returned unchanged")
def complete_response(context):
    request = request_to(context.address)
    response = context.transport.call_once(request, lambda: True)
    assert (response.status, response.body) == (200, b"whole")
