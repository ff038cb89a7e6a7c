"""A stand-in of a plain service's engine, and of its announcements."""

from __future__ import annotations

import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING

from support.gateways import CONTROL_PORT, Gateway, Record, call

if TYPE_CHECKING:
    from collections.abc import Sequence

HEARTBEAT_S = 1.2
"""`heartbeat_ms` of the settings."""


class Engine:
    """An engine that answers each request and announces itself.

    Args:
        engine_id: Its id.
        ip: Loopback IP address that it listens at.
        service: Service that it announces.
        gateways: Gateways that it announces itself to, the first one that answers.
        record: Record of the case.
        work_s: Time in seconds that a request takes.
        picks_in_turn: Each call goes to the next gateway; otherwise each call goes to
            the first gateway that answers.
    """

    def __init__(
        self,
        engine_id: str,
        ip: str,
        service: str,
        gateways: Sequence[Gateway],
        record: Record,
        work_s: float = 0.02,
        *,
        picks_in_turn: bool = False,
    ) -> None:
        self.id = engine_id
        self.service = service
        self.gateways = list(gateways)
        self.record = record
        self.work_s = work_s
        self.picks_in_turn = picks_in_turn
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.zone = "z1"
        self.slots = 6
        self.arrived: list[str] = []
        """Ids of the requests that arrived."""
        self.ran: list[tuple[str, float]] = []
        """Ids of the requests that it began to run, with the time."""
        self.confirmed: list[tuple[str, str, float]] = []
        """State, gateway and time of each confirmed announcement."""
        self.cut: list[str] = []
        """Ids of the requests that it broke off as it exited."""
        self.has_exited = False
        """Whether it has ended: it reads and answers nothing more."""
        self.stopping = threading.Event()
        self.server = _Server((ip, 0), _Handler)
        self.server.engine = self
        self.address = f"{ip}:{self.server.server_address[1]}"
        self.threads = [
            threading.Thread(target=self.server.serve_forever, daemon=True),
            threading.Thread(target=self._announce, daemon=True),
        ]

    def start(self) -> None:
        """Start to listen and to announce."""
        self.free_slots = threading.Semaphore(self.slots)
        for thread in self.threads:
            thread.start()

    def exit(self) -> None:
        """End like a process: running requests are cut and new channels refused."""
        self.has_exited = True
        self.record.line(f"{self.id} exits")
        self.stop()

    def stop(self) -> None:
        """Stop to announce and to listen."""
        self.stopping.set()
        self.server.shutdown()
        self.server.server_close()

    def fields(self) -> dict[str, object]:
        """Return the fields of the next announcement."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    def announce(self) -> None:
        """Send one announcement, to the next gateway if one does not confirm it."""
        fields = self.fields()
        for gateway in self.next_gateways():
            status = announce(gateway, self.id, fields)
            if 200 <= status < 300:
                self._on_confirmed(str(fields["state"]), gateway)
                return

    def next_gateways(self) -> list[Gateway]:
        """Return the gateways in the order in which the next call tries them."""
        if self.picks_in_turn:
            self.gateways = [*self.gateways[1:], self.gateways[0]]
        return list(self.gateways)

    def withdraw(self) -> float:
        """Say that it is gone, and go on serving; return the time of the answer."""
        self.stopping.set()
        self.threads[1].join()
        for gateway in self.next_gateways():
            address = f"{gateway.ip}:{CONTROL_PORT}"
            path = f"/v1/instances/{self.id}"
            body = json.dumps({"born": self.born_ms}).encode()
            status, _ = call(address, "DELETE", path, {}, body, 1.0)
            if 200 <= status < 300:
                self._on_confirmed("gone", gateway)
                break
        self.record.line(f"{self.id} says DELETE, confirmed by {gateway.name}")
        return self.confirmed[-1][2]

    def _on_confirmed(self, state: str, gateway: Gateway) -> None:
        self.confirmed.append((state, gateway.name, time.monotonic()))
        self.record.line(
            f"{self.id} says {state}, sequence {self.sequence}, to {gateway.name}: 200"
        )

    def drain(self) -> float:
        """Announce that it is draining; return the time of the confirmation."""
        self.state = "draining"
        self.announce()
        state, gateway, at_s = self.confirmed[-1]
        self.record.line(f"{self.id} says {state}, confirmed by {gateway}")
        return at_s

    def _announce(self) -> None:
        while not self.stopping.is_set():
            self.announce()
            self.stopping.wait(HEARTBEAT_S)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    engine: Engine

    def get_request(self) -> tuple[socket.socket, object]:
        connection, address = super().get_request()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection, address


    def handle_error(self, *_: object) -> None:
        """Write nothing of channels that a gateway has closed."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = -1
    server: _Server

    def do_GET(self) -> None:
        """Run a request."""
        self._run()

    def do_POST(self) -> None:
        """Run a request."""
        self._run()

    def _run(self) -> None:
        engine = self.server.engine
        length = int(self.headers.get("Content-Length") or 0)
        self.rfile.read(length)
        attempt = self.headers.get("X-Request-Id", "")
        if engine.has_exited:
            self.close_connection = True
            return
        if self.headers.get("X-Expect-Instance", engine.id) != engine.id:
            self._answer(421, attempt, b"", {"X-Not-Executed": "1"})
            return
        engine.arrived.append(attempt)
        with engine.free_slots:
            engine.ran.append((attempt, time.monotonic()))
            engine.record.line(f"{engine.id} runs {attempt}")
            time.sleep(engine.work_s)
        if engine.has_exited:
            engine.cut.append(attempt)
            engine.record.line(f"{engine.id} has cut {attempt}")
            self.close_connection = True
            return
        self._answer(200, attempt, b"answer to " + attempt.encode(), {})

    def _answer(
        self, status: int, attempt: str, body: bytes, headers: dict[str, str]
    ) -> None:
        self.send_response(status)
        self.send_header("X-Request-Id", attempt)
        self.send_header("X-Server-Stamp", f"stamp.{self.server.engine.id}.{attempt}")
        self.send_header("Keep-Alive", "timeout=15")
        self.send_header("Content-Length", str(len(body)))
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Write nothing to standard error."""


def announce(gateway: Gateway, engine_id: str, fields: dict[str, object]) -> int:
    """Send one announcement to a gateway and return the status of the answer."""
    return call(
        f"{gateway.ip}:{CONTROL_PORT}",
        "PUT",
        f"/v1/instances/{engine_id}",
        {"Content-Type": "application/json"},
        json.dumps(fields).encode(),
        1.0,
    )[0]
