"""A relay in place of entry hosts, orderly or with a planted fault."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import urllib3

from tanagerturn.standins._http import StandinHandler, StandinHttpServer
from tanagerturn.standins.engine.server import EngineServer

if TYPE_CHECKING:
    from tanagerturn.replay.stage import Stage

EVERY = 4
"""The fault is planted on one in so many requests."""


class Relay:
    """Forwards callers' requests to the stand-ins of a stage."""

    def __init__(self, stage: Stage, fault: str = "") -> None:
        self.stage = stage
        self.fault = fault
        self.seen = 0
        self.requests: dict[str, int] = {}
        self.last_plain = b""
        self.lock = threading.Lock()
        self.pool = urllib3.PoolManager(retries=False, maxsize=32)
        handler = type("BoundRelayHandler", (_RelayHandler,), {"relay": self})
        self.http = StandinHttpServer("127.0.0.1", 0, handler)
        self.http.start("relay")

    @property
    def address(self) -> str:
        """IP number and port."""
        return self.http.address

    def stop(self) -> None:
        """Stop listening."""
        self.http.cut()

    def planted(self, fault: str, request_id: str) -> bool:
        """Tell whether this request meets the fault, at each attempt."""
        if fault != self.fault:
            return False
        with self.lock:
            place = self.requests.setdefault(request_id, len(self.requests))
            return place % EVERY == 0

    def backend(self, service: str, model: bool) -> str:
        """Choose a backend server in turn, or the one that leaves."""
        servers = [
            server
            for server in self.stage.servers.values()
            if isinstance(server, EngineServer) == model
            and not server.stopped.is_set()
            and (self.fault == "late work" or server.left_at_ms == float("inf"))
        ]
        if self.fault == "late work":
            servers.sort(key=lambda server: server.left_at_ms)
        else:
            with self.lock:
                self.seen += 1
                servers = servers[self.seen % len(servers) :]
        return servers[0].address


class _RelayHandler(StandinHandler):
    relay: Relay

    def dispatch(self) -> None:
        """Forward one request."""
        body = self.read_body()
        model = self.path.startswith("/v1/")
        deposit = self.command == "POST" and not model
        relay = self.relay
        name = self.headers["X-Replay-Id"]
        if relay.planted("lost", name):
            self.die()
        service = "" if model else self.path.split("/")[2]
        path = self.path if model else "/" + "/".join(self.path.split("/")[3:])
        answer = self.forward(relay.backend(service, model), path, body)
        if deposit and relay.planted("doubled", name):
            self.forward(relay.backend(service, model), path, body)
        if deposit and relay.planted("false not run", name):
            self.answer_problem(503, "not run")
            return
        data = answer.data
        if not model and relay.planted("wrong caller", name):
            data = relay.last_plain or data
        if not model:
            relay.last_plain = data
        if model and b"data: " in data and relay.planted("out of order", name):
            events = data.split(b"\n\n")
            events[0], events[1] = events[1], events[0]
            data = b"\n\n".join(events)
        if model and b"data: " in data and relay.planted("cut short", name):
            data = b"".join(e + b"\n\n" for e in data.split(b"\n\n")[:-4])
        self.answer(answer.status, data, answer.headers["Content-Type"])

    def forward(self, address: str, path: str, body: bytes):
        names = ("Idempotency-Key", "Content-Type")
        headers = {name: self.headers[name] for name in names if name in self.headers}
        url = f"http://{address}{path}"
        return self.relay.pool.request(self.command, url, body=body, headers=headers)
