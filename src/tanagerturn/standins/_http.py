"""Threaded HTTP server and request handler that all stand-ins share."""

from __future__ import annotations

import socket
import struct
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Any, Final

import orjson

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_BODY_BYTES: Final = 64 << 20
"""Size above which a request body is not read; the connection is closed instead."""
LISTEN_BACKLOG: Final = 512
"""Connections that the kernel queues until they are accepted."""
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Value of SO_LINGER (on, 0 s) that makes a close reset the connection."""


class StandinHttpServer(ThreadingHTTPServer):
    """A threading HTTP server that can reset all its connections at once.

    Args:
        ip: IP address to listen on.
        port: Port to listen on; 0 selects a free one.
        handler: Handles the requests of one connection.
    """

    daemon_threads = True
    block_on_close = False
    request_queue_size = LISTEN_BACKLOG
    allow_reuse_address = True

    def __init__(self, ip: str, port: int, handler: type[StandinHandler]) -> None:
        self.connections: set[socket.socket] = set()
        """Open connections."""
        self.connections_lock = threading.Lock()
        """Guards `connections`."""
        super().__init__((ip, port), handler)

    @property
    def address(self) -> str:
        """IP address and port that the server listens on."""
        return f"{self.server_address[0]!s}:{self.server_address[1]}"

    def start(self, name: str) -> None:
        """Accept and handle connections in a new thread.

        Args:
            name: Name of the thread.
        """
        thread = threading.Thread(
            target=self.serve_forever, args=(0.05,), name=name, daemon=True
        )
        thread.start()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Register the connection and handle it in a new thread."""
        with self.connections_lock:
            self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Unregister the connection and close it."""
        with self.connections_lock:
            self.connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore errors of a connection: callers and injected faults cause them."""

    def stop(self) -> None:
        """Stop listening; requests in flight continue."""
        self.shutdown()
        self.server_close()

    def abort(self) -> None:
        """Stop listening and reset every connection."""
        self.stop()
        with self.connections_lock:
            connections = list(self.connections)
        for connection in connections:
            reset_connection(connection)


def reset_connection(connection: socket.socket) -> None:
    """Reset a connection, so that its peer gets a connection error."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


class ConnectionAborted(Exception):
    """The handler must stop without a response: its connection is unusable."""


class StandinHandler(BaseHTTPRequestHandler):
    """Handles the requests of one connection; a subclass implements `dispatch`."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 1 << 16

    def __getattr__(self, name: str) -> Any:
        """Return `dispatch` for each `do_METHOD` that the base class looks up."""
        if name.startswith("do_"):
            return self.dispatch
        raise AttributeError(name)

    def dispatch(self) -> None:
        """Handle one request of any method."""
        raise NotImplementedError

    def log_message(self, format: str, *args: Any) -> None:
        """Discard the access log."""

    def handle(self) -> None:
        """Handle requests until the connection is closed or fails."""
        try:
            super().handle()
        except (ConnectionError, ConnectionAborted, TimeoutError):
            self.close_connection = True

    def finish(self) -> None:
        """Close the file objects of the connection.

        Errors are ignored: buffered bytes can't be flushed to a reset connection.
        """
        try:
            super().finish()
        except (OSError, ValueError):
            return

    def read_body(self) -> bytes:
        """Read a request body of the length that Content-Length states.

        Returns:
            The body; empty if the header is missing or 0.

        Raises:
            ConnectionAborted: The body is longer than `MAX_BODY_BYTES`.
        """
        length = int(self.headers.get("Content-Length") or 0)
        if length > MAX_BODY_BYTES:
            raise ConnectionAborted
        return self.rfile.read(length) if length else b""

    def read_json(self) -> dict[str, Any]:
        """Read a request body as a JSON object; an empty body is an empty object.

        Raises:
            ValueError: The body is not a JSON object.
            ConnectionAborted: The body is longer than `MAX_BODY_BYTES`.
        """
        parsed = orjson.loads(self.read_body() or b"{}")
        if not isinstance(parsed, dict):
            raise ValueError("body must be a JSON object")
        return parsed

    def respond(
        self,
        status: int,
        body: bytes,
        content_type: str = "application/json",
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send one response; the body is left out for HEAD.

        Args:
            status: HTTP status.
            body: Whole body.
            content_type: Value of Content-Type.
            headers: Further response headers; None if there are none.
        """
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(body)))
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)
        self.wfile.flush()

    def respond_json(
        self, status: int, value: object, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send one response with a JSON body."""
        self.respond(status, orjson.dumps(value), headers=headers)

    def respond_problem(
        self, status: int, detail: str, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send an error response with a problem document (RFC 9457)."""
        problem = {"type": "about:blank", "status": status, "detail": detail}
        body = orjson.dumps(problem)
        self.respond(status, body, "application/problem+json", headers)

    def abort(self) -> None:
        """Send the buffered bytes, then reset the connection.

        Raises:
            ConnectionAborted: Always, to leave the handler.
        """
        self.wfile.flush()
        reset_connection(self.connection)
        raise ConnectionAborted
