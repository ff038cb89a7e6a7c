"""HTTP server that all stand-ins share: threads, JSON bodies, sudden deaths."""

from __future__ import annotations

import socket
import struct
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Any, Final

import orjson

if TYPE_CHECKING:
    from collections.abc import Mapping

BODY_LIMIT_BYTES: Final = 64 << 20
LISTEN_BACKLOG: Final = 512
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing resets the connection."""


class StandinHttpServer(ThreadingHTTPServer):
    """A threading HTTP server that can cut all its connections at once."""

    daemon_threads = True
    block_on_close = False
    request_queue_size = LISTEN_BACKLOG
    allow_reuse_address = True

    def __init__(self, ip: str, port: int, handler: type[StandinHandler]) -> None:
        self.connections: set[socket.socket] = set()
        """Open connections."""
        self.connections_lock = threading.Lock()
        """Guards the connections."""
        super().__init__((ip, port), handler)

    @property
    def address(self) -> str:
        """IP number and port that the server listens on."""
        return f"{self.server_address[0]!s}:{self.server_address[1]}"

    def start(self, name: str) -> None:
        """Serve from a thread of this name."""
        serve = threading.Thread(
            target=self.serve_forever, args=(0.05,), name=name, daemon=True
        )
        serve.start()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Remember the connection and handle it in a thread."""
        with self.connections_lock:
            self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Forget a connection and close it."""
        with self.connections_lock:
            self.connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Pass over failures of a connection: callers and faults cut them."""

    def stop(self) -> None:
        """Stop listening; running requests go on."""
        self.shutdown()
        self.server_close()

    def cut(self) -> None:
        """Stop listening and reset every connection."""
        self.stop()
        with self.connections_lock:
            connections = list(self.connections)
        for connection in connections:
            reset_connection(connection)


def reset_connection(connection: socket.socket) -> None:
    """Reset a connection, so that the peer sees no orderly end."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


class ConnectionDied(Exception):
    """A planned fault ended the connection."""


class StandinHandler(BaseHTTPRequestHandler):
    """One connection: reads bodies, writes JSON, dies on request."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 1 << 16

    def __getattr__(self, name: str) -> Any:
        """Find `dispatch` for every HTTP method that the base class looks up."""
        if name.startswith("do_"):
            return self.dispatch
        raise AttributeError(name)

    def dispatch(self) -> None:
        """Handle one request of any method."""
        raise NotImplementedError

    def log_message(self, format: str, *args: Any) -> None:
        """Write no log."""

    def handle(self) -> None:
        """Handle requests until the connection ends."""
        try:
            super().handle()
        except (ConnectionError, ConnectionDied, TimeoutError):
            self.close_connection = True

    def finish(self) -> None:
        """Close the files; a cut connection can't be flushed."""
        try:
            super().finish()
        except (OSError, ValueError):
            return

    def read_body(self) -> bytes:
        """Read the body by its content length."""
        length = int(self.headers.get("Content-Length") or 0)
        if length > BODY_LIMIT_BYTES:
            raise ConnectionDied
        return self.rfile.read(length) if length else b""

    def read_json(self) -> dict[str, Any]:
        """Read the body as a JSON object.

        Raises:
            ValueError: The body is not a JSON object.
        """
        parsed = orjson.loads(self.read_body() or b"{}")
        if not isinstance(parsed, dict):
            raise ValueError("body must be a JSON object")
        return parsed

    def answer(
        self,
        status: int,
        body: bytes,
        content_type: str = "application/json",
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Write one answer with its body."""
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(body)))
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)
        self.wfile.flush()

    def answer_json(
        self, status: int, value: object, headers: Mapping[str, str] | None = None
    ) -> None:
        """Write one answer with a JSON body."""
        self.answer(status, orjson.dumps(value), headers=headers)

    def answer_problem(
        self, status: int, detail: str, headers: Mapping[str, str] | None = None
    ) -> None:
        """Write a problem body."""
        problem = {"type": "about:blank", "status": status, "detail": detail}
        body = orjson.dumps(problem)
        self.answer(status, body, "application/problem+json", headers)

    def die(self) -> None:
        """Reset the connection.

        Raises:
            ConnectionDied: Always, to leave the handler.
        """
        self.wfile.flush()
        reset_connection(self.connection)
        raise ConnectionDied
