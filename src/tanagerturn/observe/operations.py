"""HTTP listener for operators: health, readiness, metrics and state dump.

The listener has a separate socket and threads, so that it responds even when all
threads for callers' requests are busy.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any, Final, cast

from prometheus_client import CollectorRegistry, generate_latest
from waitress.server import create_server

from tanagerturn.observe.dumps import to_json
from tanagerturn.observe.logs import component_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from tanagerturn.schema.settings_pb2 import Listener

log = component_logger("operations")

OPERATIONS_THREADS: Final = 2
"""Number of threads that serve the operations listener."""

TEXT_CONTENT_TYPE: Final = "text/plain; charset=utf-8"
"""Content type of all responses except JSON."""


class WsgiServer:
    """Serves a WSGI application with waitress on its own threads.

    Args:
        application: WSGI application to serve.
        listener: IP address and port to listen on; port 0 selects a free one.
        threads: Number of threads that run the application.
        name: Name of the thread that runs the event loop.
        options: Further waitress adjustments, passed to `create_server`.
    """

    def __init__(
        self,
        application: Any,
        listener: Listener,
        threads: int,
        name: str,
        **options: Any,
    ) -> None:
        server = create_server(
            application,
            host=listener.ip,
            port=listener.port,
            threads=threads,
            ident="",
            **options,
        )
        self.waitress_server = cast("Any", server)
        """Server object of waitress."""
        self.address = f"{listener.ip}:{self.waitress_server.effective_port}"
        """IP address and port that the server listens on."""
        self.thread = threading.Thread(target=self._run, name=name, daemon=True)
        """Thread that runs the event loop: accepts connections, reads and writes."""
        self.stopping = threading.Event()
        """Set when `stop` is called."""

    def start(self) -> None:
        """Start the thread that accepts connections."""
        self.thread.start()

    def stop(self) -> None:
        """Close the listening socket and all connections; further calls do nothing."""
        if self.stopping.is_set():
            return
        self.stopping.set()
        self.waitress_server.pull_trigger()
        self.thread.join(timeout=5)

    def _run(self) -> None:
        try:
            while not self.stopping.is_set():
                self.waitress_server.asyncore.loop(
                    timeout=1, map=self.waitress_server._map, use_poll=True, count=1
                )
        finally:
            self.waitress_server.task_dispatcher.shutdown(timeout=1)
            self.waitress_server.close()


class OperationsServer:
    """Serves /health, /ready, /metrics, /dump and the given commands.

    Args:
        listener: IP address and port to listen on; port 0 selects a free one.
        registry: Metrics of the process.
        is_ready: Returns whether the process accepts requests, for /ready.
        dump: Function that returns the state of the process, for /dump.
        commands: Maps the path of a POST request to the function that it calls; the
            response is the function's result as JSON. None for no commands.
    """

    def __init__(
        self,
        listener: Listener,
        registry: CollectorRegistry,
        is_ready: Callable[[], bool],
        dump: Callable[[], Any],
        commands: dict[str, Callable[[], object]] | None = None,
    ) -> None:
        self.registry = registry
        """Metrics of the process."""
        self.is_ready = is_ready
        """Function that returns whether the process accepts requests."""
        self.dump = dump
        """Function that returns the state of the process."""
        self.commands = commands or {}
        """Maps the path of a POST request to the function that it calls."""
        self.server = WsgiServer(
            self.application, listener, OPERATIONS_THREADS, "operations"
        )
        """HTTP server of the listener."""
        self.address = self.server.address
        """IP address and port that the server listens on."""
        self.server.start()

    def application(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Respond to one request as a WSGI application."""
        try:
            status, content_type, body = self._respond(
                environ["REQUEST_METHOD"], environ["PATH_INFO"]
            )
        except Exception:
            log.exception("Request for {} raised an error", environ["PATH_INFO"])
            status, content_type, body = (
                "500 Internal Server Error",
                TEXT_CONTENT_TYPE,
                b"failed\n",
            )
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]

    def stop(self) -> None:
        """Close the listener and its connections."""
        self.server.stop()

    def _respond(self, method: str, path: str) -> tuple[str, str, bytes]:
        if method == "POST" and path in self.commands:
            return "200 OK", "application/json", to_json(self.commands[path]())
        if method not in ("GET", "HEAD"):
            return "405 Method Not Allowed", TEXT_CONTENT_TYPE, b"method not allowed\n"
        if path == "/health":
            return "200 OK", TEXT_CONTENT_TYPE, b"ok\n"
        if path == "/ready":
            if self.is_ready():
                return "200 OK", TEXT_CONTENT_TYPE, b"ready\n"
            return "503 Service Unavailable", TEXT_CONTENT_TYPE, b"not ready\n"
        if path == "/metrics":
            return "200 OK", TEXT_CONTENT_TYPE, generate_latest(self.registry)
        if path == "/dump":
            return "200 OK", "application/json", to_json(self.dump())
        return "404 Not Found", TEXT_CONTENT_TYPE, b"no such page\n"
