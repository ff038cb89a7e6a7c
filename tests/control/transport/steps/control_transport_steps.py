"""Steps of transport.feature."""

from __future__ import annotations

import contextlib
import socket
import threading
import tracemalloc

from behave import given, then

from tanagerturn.control.transport import HttpEngineTransport
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.orders.messages import SendAnswer

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
BLOCK = b"x" * 65536
MAX_BLOCKS = 4_000
"""Number of blocks after which a client has not noticed the fault, 260 MB."""

TIMEOUT_S = 10.0


@given("an engine that sends a body without end")
def endless_engine(context):
    listener = socket.create_server(("127.0.0.1", 0))
    context.closers.append(listener.close)
    context.address = f"127.0.0.1:{listener.getsockname()[1]}"

    def serve() -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with connection, contextlib.suppress(OSError):
                connection.recv(65536)
                connection.sendall(HEAD)
                for _ in range(MAX_BLOCKS):
                    connection.sendall(BLOCK)

    threading.Thread(target=serve, daemon=True).start()
    context.transport = HttpEngineTransport()
    context.closers.append(context.transport.close)


@then("an order to it gets no answer, and takes at most {limit_mb:d} MB of memory")
def order_lost(context, limit_mb):
    order = serving_pb2.Order()
    tracemalloc.start()
    try:
        answer, _ = context.transport.send(context.address, order, TIMEOUT_S)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert answer is SendAnswer.LOST, answer
    assert peak_bytes <= limit_mb * 1_000_000, peak_bytes


@then("its state is not known")
def state_unknown(context):
    assert context.transport.query_state(context.address, TIMEOUT_S) is None
