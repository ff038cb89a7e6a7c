"""A gateway's relay with scripted backend servers, all on loopback."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import orjson

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.links import Links
from tanagerturn.gateway.relay import Relay
from tanagerturn.gateway.server import HttpServer
from tanagerturn.gateway.settings import GatewaySettings
from tanagerturn.gateway.state import make_state
from tanagerturn.platform.dialect import PlatformDialect
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.backends.messages import SoftwareVersion
from tanagerturn.serving.limits.terms import Tolerance
from tanagerturn.serving.streams.endings import Framing
from tanagerturn.serving.streams.framings import MIN_DELIMITED, ResponseKind

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from pathlib import Path

    Script = Callable[["ReceivedRequest"], Coroutine[object, object, None]]

HOST = "desk.example"
KEY = "key-1"
STAMP = "X-Server-Stamp: 1a.2b"
CALL_PATHS = ("/v1/report", "/healthz")
"""Paths of calls that are no requests of callers."""


def gateway_settings(folder: Path | None = None) -> GatewaySettings:
    """Return the settings of a single gateway on loopback.

    Args:
        folder: Data folder; None for a host without a disk.
    """
    return GatewaySettings(
        host="g1",
        ip="127.0.0.1",
        zone="a",
        region="r",
        callers_address="127.0.0.1:0",
        readiness_address="127.0.0.1:0",
        control_address="127.0.0.1:0",
        metrics_address="",
        link_port=0,
        forwarding_port=0,
        digest_port=0,
        membership_port=0,
        seed_ips=("127.0.0.1",),
        is_first_start=True,
        data_folder=folder,
        tolerated_losses=1,
        heartbeat_ms=1000,
        drain_s=2.0,
        grace_s=8.0,
        retry_ratio=0.2,
        retry_window_s=10.0,
        retry_allowance=60.0,
        limit_tolerance=Tolerance(1000.0, 0.0, 8.0),
        report_window_s=5.0,
        report_due_s=10.0,
        duties=None,
    )


def route(prefix: str, kind: str, **fields: object) -> dict[str, object]:
    """Return one route of a manifest.

    Args:
        prefix: Path prefix; starts and ends with a slash.
        kind: Route type, in the words of the manifest.
        fields: Further fields; they replace the defaults.
    """
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 1500,
        "slo_ms": 100,
        "priority": 1,
        "service": "desk",
        "max_attempts": 1,
        "anonymous": False,
        **fields,
    }


def manifest(**fields: object) -> dict[str, object]:
    """Return a manifest with a route of each type, one stream being resumable.

    Args:
        fields: Further top-level fields; they replace the defaults.
    """
    return {
        "version": 3,
        "routes": [
            route("/buy/", "non_idempotent"),
            route("/look/", "idempotent", max_attempts=2),
            route("/draft/", "streaming", gap_slo_ms=300, slo_ms=1000),
            route(
                "/notes/",
                "streaming",
                max_attempts=2,
                stream_resume=True,
                slo_ms=1000,
                gap_slo_ms=300,
            ),
        ],
        "services": [{"name": "desk", "health_path": "/healthz"}],
        "limits": {
            "max_header_bytes": 2048,
            "max_body_bytes": 4096,
            "header_timeout_ms": 300,
            "idle_timeout_ms": 1000,
        },
        "tenants": [
            {
                "name": "choir",
                "api_keys": [KEY],
                "unit": "token_count",
                "plain_tokens": 10,
                "rate_per_s": 1000,
                "burst": 4000,
            }
        ],
        **fields,
    }


@dataclass
class ReceivedRequest:
    """One request as received by a backend server."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    is_closed: asyncio.Event

    async def send(self, text: str | bytes) -> None:
        """Send raw bytes or text on the connection of the request."""
        self.writer.write(text.encode() if isinstance(text, str) else text)
        await self.writer.drain()

    async def answer(
        self, status: int, body: str = "", *headers: str, stamp: bool = True
    ) -> None:
        """Send a complete response.

        Args:
            status: HTTP status.
            body: Body of the response.
            headers: Further header lines.
            stamp: Add the header that proves that a backend server made the response.
        """
        lines = [
            f"HTTP/1.1 {status} X",
            f"X-Request-Id: {self.headers.get('x-request-id', '')}",
        ]
        lines += [STAMP] if stamp else []
        lines += [*headers, f"Content-Length: {len(body)}"]
        await self.send("\r\n".join(lines) + "\r\n\r\n" + body)

    async def begin_stream(self) -> None:
        """Send the head of a streamed response."""
        await self.send(
            "HTTP/1.1 200 OK\r\n"
            f"X-Request-Id: {self.headers['x-request-id']}\r\n{STAMP}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )

    async def event(
        self, number: int, text: str = "word", *, cut: bool = False
    ) -> None:
        """Send one event, or only its first half if `cut`."""
        data = f"id: {number}\ndata: {text}{number}\n\n"
        data = data[: len(data) // 2] if cut else data
        await self.send(f"{len(data):x}\r\n{data}\r\n")

    async def end_stream(self) -> None:
        """Send the end of a complete stream."""
        await self.send("0\r\n\r\n")

    def reset(self) -> None:
        """Abort the connection, so that the peer's kernel reports a reset."""
        sock = self.writer.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


@dataclass
class ScriptedBackend:
    """Backend server that handles each request by a script."""

    id: str
    scripts: list[Script]
    """Handlers of the requests in order; the last one also handles later requests."""
    calls: list[ReceivedRequest] = field(default_factory=list)
    """Received requests."""
    address: str = ""
    """IP address and port; empty before the start."""
    scripts_calls: bool = False
    """Whether the scripts handle calls for a report or the health too; otherwise they
    are answered, and reports list no requests."""
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    """Open connections."""
    crashed_writers: set[asyncio.StreamWriter] = field(default_factory=set)
    """Connections that a crash has closed."""
    is_down: bool = False
    """Whether new connections are reset."""

    async def start(self) -> None:
        """Listen on a free port on loopback."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def refuse_connections(self) -> None:
        """Refuse new connections; open ones live on."""
        self.server.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        if self.is_down:
            writer.transport.abort()
            return
        closed = asyncio.Event()
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.strip().split("\r\n")
                method, target, _ = first.split(" ")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size)
                call = ReceivedRequest(method, target, headers, body, writer, closed)
                if not self.scripts_calls and target in CALL_PATHS:
                    await call.answer(200, '{"runs":[]}', stamp=False)
                    continue
                self.calls.append(call)
                script = self.scripts[min(len(self.calls), len(self.scripts)) - 1]
                await script(call)
        except (asyncio.IncompleteReadError, ConnectionError):
            closed.set()
            writer.close()
        except asyncio.CancelledError:
            # The event loop ends with the scenario.
            writer.close()
        finally:
            self.writers.discard(writer)

    def crash(self) -> None:
        """Close all connections in order, as the kernel does for a killed process."""
        for writer in self.writers:
            self.crashed_writers.add(writer)
            writer.close()
        self.writers.clear()


@dataclass
class CallerResponse:
    """Response as received by a caller; status 0 if no head was received."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    """Whether the response was received completely."""


class World:
    """A relay in front of scripted backend servers.

    Args:
        engines: The backend servers.
        fields: Top-level fields of the manifest that replace the defaults.
    """

    def __init__(self, *engines: ScriptedBackend, **fields: object) -> None:
        self.engines = engines
        self.fields = fields
        self.announcement_count = 0
        """Number of announcements made so far; the sequence number of the last one."""

    async def start(self) -> None:
        """Start the relay and the backend servers, and announce the backend servers."""
        self.state = make_state(
            gateway_settings(), PlatformDialect(1000), boot_s(), 1_700_000_000.0
        )
        document = orjson.dumps(manifest(**self.fields))
        decoded = self.state.dialect.decode_configuration(document)
        assert decoded.is_ok(), decoded
        # The gateway has owned the limits for long enough to fill their buckets.
        self.state.adopt(decoded.ok, boot_s() - 10.0)
        self.relay = Relay(self.state, Links(_no_frames))
        self.server = HttpServer(
            self.relay.handle, lambda: self.state.configuration.limits
        )
        await self.server.listen("127.0.0.1:0")
        assert self.server.listener is not None
        self.port = self.server.listener.sockets[0].getsockname()[1]
        for engine in self.engines:
            await engine.start()
            self.announce(engine)

    def announce(self, engine: ScriptedBackend, **fields: object) -> None:
        """Announce a backend server to the relay's gateway.

        Args:
            engine: The backend server.
            fields: Further fields of the announcement; they replace the defaults.
        """
        self.announcement_count += 1
        stated = {
            "slots": 6,
            "heartbeat_ms": 60_000,
            "born_ms": 1,
            "incarnation": "b1",
            **fields,
        }
        announcement = serving_pb2.Announcement(
            id=engine.id,
            address=engine.address,
            sequence=self.announcement_count,
            services=["desk"],
            availability_zone="a",
            **stated,
        )
        self.state.fleet.on_announcement(announcement, boot_s(), heard=True)

    def record_lengths(self) -> None:
        """Record that plain responses have had a length, as after earlier ones."""
        kind = ResponseKind("desk", SoftwareVersion(""), is_stream=False)
        framings = self.relay.sender.end_verifier.framings
        for _ in range(MIN_DELIMITED):
            framings.on_response(kind, Framing.LENGTH)

    async def send_request(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        leave_after_s: float | None = None,
    ) -> CallerResponse:
        """Send one request and read its response.

        Args:
            path: Path of the request.
            method: HTTP method.
            body: Body of the request.
            headers: Headers that replace the defaults; empty ones are not sent.
            leave_after_s: Time in seconds after which the caller aborts the connection
                without reading a response; None to wait for the response.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        sent = {
            "Host": HOST,
            "X-Request-Id": "r1",
            "X-Deadline-Ms": "1500",
            "Authorization": f"Bearer {KEY}",
            "Content-Length": str(len(body)),
            "Connection": "close",
            **(headers or {}),
        }
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in sent.items() if value]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        if leave_after_s is not None:
            await asyncio.sleep(leave_after_s)
            writer.transport.abort()
            return CallerResponse(0, {}, b"", False)
        return await read_response(reader)


async def read_response(reader: asyncio.StreamReader) -> CallerResponse:
    """Read one response, with a content length or in chunks."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return CallerResponse(0, {}, b"", False)
    first, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    status = int(first.split(" ")[1])
    if "content-length" in headers:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except asyncio.IncompleteReadError as error:
            return CallerResponse(status, headers, error.partial, False)
        return CallerResponse(status, headers, body, True)
    body = b""
    try:
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return CallerResponse(status, headers, body, False)
    return CallerResponse(status, headers, body, True)


async def _no_frames(frame: object, peer: str) -> None:
    """Ignore a frame; there are no peer gateways."""


PROMPT_HEADERS = {
    "X-Model": "m",
    "X-Token-Usage": "100,20",
    "X-Prefix-Hash": "bb:100",
}


def report_paces(world: World) -> None:
    """Share a price among gateways whose backend servers report their usual pace."""
    state, fleet = world.state, world.state.fleet
    state.settings = replace(state.settings, shares_price=True)
    for backend in fleet.view.pool("desk"):
        fleet.speeds.on_report(backend, 100, boot_s())
