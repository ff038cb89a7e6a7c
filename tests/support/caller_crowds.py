"""Concurrent callers that try to exhaust the memory or descriptors of a gateway."""

from __future__ import annotations

import contextlib
import os
import socket
import struct
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import orjson
import urllib3

from support.gateway_programs import (
    CALLERS_PORT,
    CONTROL_PORT,
    INTERNAL_PORTS,
    make_programs,
)
from support.gateway_world import HOST, manifest, route
from support.process_load import MIB, Crowd, LoadedProcess
from support.processes import wait_for
from support.upload_engine import UploadEngine
from tanagerturn.platform.settings import FORWARDING_PORT_OFFSET, LINK_PORT_OFFSET

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

MEMORY_MB: Final = 128
"""Memory of the gateway's host in its settings."""

BUDGET_MB: Final = 32
"""Bound on what all callers together may hold of `MEMORY_MB`: half of what 64 MB for
the process itself leave."""

MAX_FDS: Final = 256
"""Descriptor limit of the gateway's host in its settings."""

SINGLE_REQUEST_MB: Final = 20
"""Bound on the additional memory of one request within the limits."""

BODY_BYTES: Final = 4 * MIB
CONTROL_BODY_BYTES: Final = 6 * MIB
FRAME_BYTES: Final = 8 * MIB
LARGE_CHUNK_BYTES: Final = 64 * 1024
PIECE_BYTES: Final = 16 * 1024
TINY_CHUNK: Final = b"2\r\nab\r\n"
TINY_CHUNKED_BYTES: Final = 256 * 1024
OVERSIZED_BYTES: Final = 16 * MIB
HEAD_BYTES: Final = 15_000
PIPELINED: Final = 8
PIPELINED_BODY_BYTES: Final = MIB // 2

LIMITS: Final = {
    "max_header_bytes": 16_384,
    "max_body_bytes": BODY_BYTES,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}

TIMES: Final = {"timeout_ms": 60_000, "slo_ms": 20_000, "anonymous": True}


def configuration() -> bytes:
    """Return an operator's configuration with long timeouts and large bodies."""
    routes = [
        route("/look/", "idempotent", **TIMES),
        route("/draft/", "streaming", gap_slo_ms=20_000, **TIMES),
    ]
    return orjson.dumps(manifest(routes=routes, limits=LIMITS, tenants=[]))


def head(target: str, *lines: str, method: str = "POST") -> bytes:
    """Return the head of a request."""
    first = (
        f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Request-Id: r{os.urandom(6).hex()}\r\nX-Deadline-Ms: 60000\r\n"
    )
    return (first + "".join(f"{line}\r\n" for line in lines) + "\r\n").encode()


def _announced(
    size: int, left_out: int, piece_bytes: int, target: str = "/look/slow"
) -> Iterator[bytes]:
    """Yield a request that announces its size and leaves out its last bytes."""
    yield head(target, f"Content-Length: {size}")
    left = size - left_out
    while left > 0:
        yield bytes(min(left, piece_bytes))
        left -= piece_bytes


def _chunked(size: int, *, is_whole: bool) -> Iterator[bytes]:
    """Yield a request in large chunks."""
    yield head("/look/slow", "Transfer-Encoding: chunked")
    chunk = b"%x\r\n" % LARGE_CHUNK_BYTES + bytes(LARGE_CHUNK_BYTES) + b"\r\n"
    for _ in range(size // LARGE_CHUNK_BYTES):
        yield chunk
    if is_whole:
        yield b"0\r\n\r\n"


def _tiny_chunked(size: int, *, is_whole: bool) -> Iterator[bytes]:
    """Yield a request in chunks of 2 bytes."""
    yield head("/look/tiny", "Transfer-Encoding: chunked")
    count = 1024
    for _ in range(size // (2 * count)):
        yield TINY_CHUNK * count
    if is_whole:
        yield b"0\r\n\r\n"


def _endless_head() -> Iterator[bytes]:
    """Yield a head that grows to nearly its limit and never ends."""
    yield head("/look/x")[:-2]
    for _ in range(HEAD_BYTES // 50):
        yield b"X-Filler: " + b"x" * 38 + b"\r\n"


def _many_headers() -> Iterator[bytes]:
    """Yield a head of very many small headers, and a body without its last byte."""
    lines = ["a:"] * (HEAD_BYTES // 4)
    yield head("/look/x", "Content-Length: 100", *lines)
    yield bytes(99)


def _pipelined() -> Iterator[bytes]:
    """Yield several requests with bodies, without waiting for responses."""
    for _ in range(PIPELINED):
        yield from _announced(PIPELINED_BODY_BYTES, 0, PIECE_BYTES)


def _frame() -> Iterator[bytes]:
    """Yield a frame of a link between gateways without its last byte."""
    yield struct.pack("!I", FRAME_BYTES)
    for _ in range(FRAME_BYTES // PIECE_BYTES - 1):
        yield bytes(PIECE_BYTES)
    yield bytes(PIECE_BYTES - 1)


LINK_PORT: Final = INTERNAL_PORTS[0] + LINK_PORT_OFFSET
FORWARDING_PORT: Final = INTERNAL_PORTS[0] + FORWARDING_PORT_OFFSET

CROWDS: Final[dict[str, Crowd]] = {
    "announced bodies, whole": Crowd(30, lambda: _announced(BODY_BYTES, 0, BODY_BYTES)),
    "announced bodies in pieces, whole": Crowd(
        30, lambda: _announced(BODY_BYTES, 0, PIECE_BYTES)
    ),
    "announced bodies without their last byte": Crowd(
        30, lambda: _announced(BODY_BYTES, 1, PIECE_BYTES)
    ),
    "chunked bodies in large chunks, whole": Crowd(
        30, lambda: _chunked(BODY_BYTES, is_whole=True)
    ),
    "chunked bodies in large chunks without their end": Crowd(
        30, lambda: _chunked(BODY_BYTES, is_whole=False)
    ),
    "chunked bodies in tiny chunks without their end": Crowd(
        12, lambda: _tiny_chunked(TINY_CHUNKED_BYTES, is_whole=False)
    ),
    "announced bodies far above the limit": Crowd(
        30, lambda: _announced(OVERSIZED_BYTES, 0, LARGE_CHUNK_BYTES)
    ),
    "unannounced bodies far above the limit": Crowd(
        30, lambda: _chunked(OVERSIZED_BYTES, is_whole=False)
    ),
    "heads that never end": Crowd(150, _endless_head),
    "heads of many headers": Crowd(150, _many_headers),
    "nothing": Crowd(400, lambda: iter(())),
    "requests whose responses they never read": Crowd(
        40, lambda: iter((head("/look/big", method="GET"),)), reads=False
    ),
    "requests whose streams they never read": Crowd(
        40, lambda: iter((head("/draft/x", "Content-Length: 0"),)), reads=False
    ),
    "pipelined requests": Crowd(30, _pipelined, reads=False),
    "calls of 6 MiB to the control listener without their last byte": Crowd(
        24,
        lambda: _announced(CONTROL_BODY_BYTES, 1, PIECE_BYTES, "/v1/config"),
        CONTROL_PORT,
    ),
    "frames to the links without their last byte": Crowd(16, _frame, LINK_PORT),
    "forwarded requests without their last byte": Crowd(
        30, lambda: _announced(BODY_BYTES, 1, PIECE_BYTES), FORWARDING_PORT
    ),
}


@dataclass
class CrowdWorld:
    """Three gateways, of which the first is loaded, and an engine."""

    folder: Path
    """Folder of the gateways' files."""
    memory_mb: int = MEMORY_MB
    """Memory of each host in its settings."""
    max_fds: int = MAX_FDS
    """Descriptor limit of each host in its settings."""
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False)
    )

    def start(self) -> None:
        """Start the processes; return once requests are served."""
        self.programs = make_programs(self.folder, 3, 0)
        self.gateway = self.programs[0]
        for program in self.programs:
            program.limits = {"memory_mb": self.memory_mb, "max_fds": self.max_fds}
            program.start()
        ips = [program.ip for program in self.programs]
        self.engine = UploadEngine(f"{ips[0].rpartition('.')[0]}.100", ips)
        self.engine.start()
        wait_for(self._accepts, "a configuration is accepted")
        wait_for(self.is_served, "a request is served")
        self.loaded = LoadedProcess(self.gateway, self.gateway.ip, CALLERS_PORT)

    def close(self) -> None:
        """Stop the processes and the engine."""
        for program in self.programs:
            program.kill()
        self.engine.stop()

    def _accepts(self) -> bool:
        url = f"http://{self.gateway.ip}:{CONTROL_PORT}/v1/config"
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return self.http.request("PUT", url, body=configuration()).status == 200
        return False

    def is_served(self) -> bool:
        """Send one ordinary request; return whether it gets the engine's response."""
        url = f"http://{self.gateway.ip}:{CALLERS_PORT}/look/ordinary"
        headers = {
            "Host": HOST,
            "X-Request-Id": f"r{os.urandom(6).hex()}",
            "X-Deadline-Ms": "10000",
            "Connection": "close",
        }
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = self.http.request(
                "POST", url, body=b"word", headers=headers, timeout=10.0
            )
            self.last_answer = (answer.status, answer.data)
            return self.last_answer == (200, b"oo")
        return False

    def send_single(self) -> tuple[int, int]:
        """Send one large request in tiny chunks; return status and peak memory."""
        status = self.send(*_tiny_chunked(BODY_BYTES, is_whole=True))
        return status, self.loaded.memory("VmHWM")

    def send(self, *parts: bytes) -> int:
        """Send the parts of one request; return the status of the response."""
        sock = socket.create_connection((self.gateway.ip, CALLERS_PORT), timeout=300)
        with sock:
            for part in parts:
                sock.sendall(part)
            response = sock.recv(65_536)
        return int(response.split()[1])
