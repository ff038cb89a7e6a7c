"""Operations listener: health, readiness, metrics and state dump.

It has its own listener and threads, so that a full pool of callers' threads
can't hide them.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any, Final, cast

from prometheus_client import CollectorRegistry, generate_latest
from waitress.server import create_server

from tanagerturn.observe.dumps import to_json
from tanagerturn.observe.logs import part_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from tanagerturn.schema.settings_pb2 import Listener

log = part_logger("operations")

OPERATIONS_THREADS: Final = 2
TEXT: Final = "text/plain; charset=utf-8"


class WsgiServer:
    """A waitress server in threads of its own.

    Args:
        application: WSGI application.
        listener: IP number and port; port 0 takes a free one.
        threads: Number of threads that run the application.
        name: Name of the accepting thread.
        options: Further adjustments of waitress.
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
        self.server = cast("Any", server)
        """The waitress server."""
        self.address = f"{listener.ip}:{self.server.effective_port}"
        """IP number and port that it listens on."""
        self.thread = threading.Thread(target=self._run, name=name, daemon=True)
        """Thread of the accepting loop."""
        self.stopping = threading.Event()
        """Set once stop was called."""

    def start(self) -> None:
        """Begin to accept connections."""
        self.thread.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self.stopping.is_set():
            return
        self.stopping.set()
        self.server.pull_trigger()
        self.thread.join(timeout=5)

    def _run(self) -> None:
        try:
            while not self.stopping.is_set():
                self.server.asyncore.loop(
                    timeout=1, map=self.server._map, use_poll=True, count=1
                )
        finally:
            self.server.task_dispatcher.shutdown(timeout=1)
            self.server.close()


class OperationsServer:
    """Serves /health, /ready, /metrics and /dump."""

    def __init__(
        self,
        listener: Listener,
        registry: CollectorRegistry,
        ready: Callable[[], bool],
        dump: Callable[[], Any],
        commands: dict[str, Callable[[], object]] | None = None,
    ) -> None:
        self.registry = registry
        """Metrics of the process."""
        self.ready = ready
        """Tells whether the process takes work."""
        self.dump = dump
        """Returns the state of the process."""
        self.commands = commands or {}
        """Path of a POST to what it runs; the result is answered as JSON."""
        self.server = WsgiServer(
            self.application, listener, OPERATIONS_THREADS, "operations"
        )
        """Its listener."""
        self.address = self.server.address
        """IP number and port that it listens on."""
        self.server.start()

    def application(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        """Answer one request, by WSGI."""
        try:
            status, kind, body = self._answer(
                environ["REQUEST_METHOD"], environ["PATH_INFO"]
            )
        except Exception:
            log.exception("Request failed: {}", environ["PATH_INFO"])
            status, kind, body = "500 Internal Server Error", TEXT, b"failed\n"
        headers = [("Content-Type", kind), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]

    def stop(self) -> None:
        """Close the listener."""
        self.server.stop()

    def _answer(self, method: str, path: str) -> tuple[str, str, bytes]:
        if method == "POST" and path in self.commands:
            return "200 OK", "application/json", to_json(self.commands[path]())
        if method not in ("GET", "HEAD"):
            return "405 Method Not Allowed", TEXT, b"method not allowed\n"
        if path == "/health":
            return "200 OK", TEXT, b"ok\n"
        if path == "/ready":
            if self.ready():
                return "200 OK", TEXT, b"ready\n"
            return "503 Service Unavailable", TEXT, b"not ready\n"
        if path == "/metrics":
            return "200 OK", TEXT, generate_latest(self.registry)
        if path == "/dump":
            return "200 OK", "application/json", to_json(self.dump())
        return "404 Not Found", TEXT, b"no such page\n"
