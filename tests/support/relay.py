"""A relay in place of entry hosts, correct or with an injected defect."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import urllib3

from tanagerturn.standins._http import StandinHandler, StandinHttpServer
from tanagerturn.standins.engine.server import EngineServer

if TYPE_CHECKING:
    from tanagerturn.replay.environment import StandinEnvironment

DEFECT_INTERVAL = 4
"""The defect is injected into one of this many requests."""


class Relay:
    """Forwards callers' requests to the stand-ins of a trace.

    Args:
        environment: Stand-ins to forward to.
        defect: Name of the injected defect; empty for none.
    """

    def __init__(self, environment: StandinEnvironment, defect: str = "") -> None:
        self.environment = environment
        self.defect = defect
        self.chosen_count = 0
        self.request_indexes: dict[str, int] = {}
        self.last_plain_response = b""
        self.lock = threading.Lock()
        self.pool = urllib3.PoolManager(retries=False, maxsize=32)
        handler = type("BoundRelayHandler", (_RelayHandler,), {"relay": self})
        self.http = StandinHttpServer("127.0.0.1", 0, handler)
        self.http.start("relay")

    @property
    def address(self) -> str:
        """IP address and port of the listener."""
        return self.http.address

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.http.abort()

    def has_defect(self, defect: str, request_id: str) -> bool:
        """Return whether a defect applies to a request, equally at each attempt."""
        if defect != self.defect:
            return False
        with self.lock:
            index = self.request_indexes.setdefault(
                request_id, len(self.request_indexes)
            )
            return index % DEFECT_INTERVAL == 0

    def choose_backend(self, service: str, model: bool) -> str:
        """Return the address of a backend server, in turn.

        With the defect "late work" it is the one that announced its leaving first.
        """
        servers = [
            server
            for server in self.environment.servers.values()
            if isinstance(server, EngineServer) == model
            and not server.stopped.is_set()
            and (self.defect == "late work" or server.leaving_since_ms == float("inf"))
        ]
        if self.defect == "late work":
            servers.sort(key=lambda server: server.leaving_since_ms)
        else:
            with self.lock:
                self.chosen_count += 1
                servers = servers[self.chosen_count % len(servers) :]
        return servers[0].address


class _RelayHandler(StandinHandler):
    relay: Relay

    def dispatch(self) -> None:
        """Forward one request."""
        body = self.read_body()
        model = self.path.startswith("/v1/")
        submission = self.command == "POST" and not model
        relay = self.relay
        request_id = self.headers["X-Replay-Id"]
        if relay.has_defect("lost", request_id):
            self.abort()
        service = "" if model else self.path.split("/")[2]
        path = self.path if model else "/" + "/".join(self.path.split("/")[3:])
        response = self.forward(relay.choose_backend(service, model), path, body)
        if submission and relay.has_defect("doubled", request_id):
            self.forward(relay.choose_backend(service, model), path, body)
        if submission and relay.has_defect("false not run", request_id):
            self.respond_problem(503, "not run")
            return
        data = response.data
        if not model and relay.has_defect("wrong caller", request_id):
            data = relay.last_plain_response or data
        if not model:
            relay.last_plain_response = data
        if model and b"data: " in data and relay.has_defect("out of order", request_id):
            events = data.split(b"\n\n")
            events[0], events[1] = events[1], events[0]
            data = b"\n\n".join(events)
        if model and b"data: " in data and relay.has_defect("cut short", request_id):
            data = b"".join(e + b"\n\n" for e in data.split(b"\n\n")[:-4])
        self.respond(response.status, data, response.headers["Content-Type"])

    def forward(self, address: str, path: str, body: bytes):
        names = ("Idempotency-Key", "Content-Type")
        headers = {name: self.headers[name] for name in names if name in self.headers}
        url = f"http://{address}{path}"
        return self.relay.pool.request(self.command, url, body=body, headers=headers)
