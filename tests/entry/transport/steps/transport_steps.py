"""Steps of transport.feature."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from types import SimpleNamespace

from behave import given, then

from tanagerturn.control.cloud import CloudClient
from tanagerturn.control.transport import HttpEngineTransport
from tanagerturn.deploy import free_port
from tanagerturn.entry.callers import CallerCall
from tanagerturn.entry.generation_run import GenerationRun, RejectedByEngineError
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
from tanagerturn.schema import serving_pb2, settings_pb2
from tanagerturn.serving.orders.messages import SendAnswer
from tanagerturn.serving.streams.assembler import OutOfOrderError

LIMIT_BYTES = 100
DRAIN_TIMEOUT_S = 0.2
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
TOKENS = [
    b'data: {"choices": [{"text": "w"}], "tanager": {"request_id": "r1",'
    b' "attempt": 1, "offset": %d, "tokens": 1}}\n\n' % offset
    for offset in (0, 1)
]
USAGE = (
    b'data: {"choices": [], "usage": {"completion_tokens": 2},'
    b' "tanager": {"request_id": "r1", "attempt": 1, "offset": 2, "tokens": 0}}\n\n'
)
DONE = b"data: [DONE]\n\n"
REJECTION = b"HTTP/1.1 400 Bad Request\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
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
    "without a length": b"HTTP/1.1 200 OK\r\n\r\n{}",
    "with a length that is none": b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n{}",
    "without its last chunk": CHUNKED_HEAD + b"2\r\n{}\r\n",
    "cut in a chunk": CHUNKED_HEAD + b"5\r\n{}",
    "a rejection": REJECTION + b"Content-Length: 50\r\n\r\n" + b"x" * 50,
    "a large rejection": REJECTION + b"Content-Length: 10000\r\n\r\n" + b"x" * 10_000,
    "a cut rejection": REJECTION + b"Content-Length: 50\r\n\r\n" + b"x" * 20,
    "an undelimited rejection": REJECTION + b"\r\n" + b"x" * 20,
    "a stream of one of two tokens": STREAM + TOKENS[0],
    "a stream of two tokens without usage": STREAM + TOKENS[0] + TOKENS[1],
    "a stream of usage without the end": STREAM + TOKENS[0] + TOKENS[1] + USAGE,
    "a stream of the end without a token": STREAM + TOKENS[0] + USAGE + DONE,
    "a stream of two tokens, usage and end": (
        STREAM + TOKENS[0] + TOKENS[1] + USAGE + DONE
    ),
    "with status 204": b"HTTP/1.1 204 No Content\r\n\r\n",
    **{
        f"with status {status}": (
            f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode()
        )
        for status in ("000", "099", "101", "199", "600", "999", "abc", "-20")
    },
}


@given('a backend server whose response is "{response}"')
def start_server(context, response):
    listener = socket.create_server(("127.0.0.1", 0))
    context.closers.append(listener.close)
    context.address = f"127.0.0.1:{listener.getsockname()[1]}"
    context.received = []
    context.response = response

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


def make_call() -> CallerCall:
    """Return a request of a stream."""
    return CallerCall(
        "r1", settings_pb2.ClientAccount(), settings_pb2.Service(),
        serving_pb2.IDEMPOTENT, serving_pb2.NORMAL, 5_000, "", "POST",
        "/v1/completions", [], b"{}", b"", is_model=True, stream=True, payload={},
    )  # fmt: skip


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


@then("the rejected request of a stream is {outcome}")
def rejected_stream(context, outcome):
    components = SimpleNamespace(transport=BackendTransport())
    run = GenerationRun(components, make_call())
    decision = SimpleNamespace(address=context.address)
    try:
        run._open(decision)
    except RejectedByEngineError as error:
        assert outcome == "answered with its body", error.response
        length = 10_000 if "large" in context.response else 50
        assert error.response.body == b"x" * length, error.response
    except BrokenCallError:
        assert outcome == "lost"
    else:
        raise AssertionError("the request was not rejected")


@then("the stream of a generation is {outcome}")
def generation_ends(context, outcome):
    run = GenerationRun(SimpleNamespace(transport=BackendTransport()), make_call())
    try:
        events = list(run._attempt(SimpleNamespace(address=context.address)))
    except (BrokenCallError, OutOfOrderError):
        assert outcome == "lost"
    else:
        assert outcome == "complete", events
        assert len(events) == 4, events


@then("the state of an engine is not known")
def state_unknown(context):
    assert HttpEngineTransport().query_state(context.address, 5.0) is None


@then("a non-repeatable call gets status {status:d}")
def non_repeatable_call_gets(context, status):
    request = request_to(context.address)
    response = context.transport.call_once(request, lambda: True)
    assert (response.status, response.body) == (status, b"")


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
