"""Backend servers whose answers end early, with blocking sockets in a thread."""

from __future__ import annotations

import fcntl
import itertools
import socket
import struct
import termios
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from support.gateway_world import CALL_PATHS, STAMP
from tanagerturn.gateway.callers.response_end import RESET_ON_CLOSE

if TYPE_CHECKING:
    from collections.abc import Callable

EVENT: Final = b"id: 1\ndata: word\n\n"

BODIES: Final = {
    "head": b"",
    "event": EVENT,
    "part": EVENT + b"id: 2\ndata: " + b"x" * 400,
}
"""What is sent of the body of an answer, by the name of the part; of the last one, the
second event is cut."""

RECEIVE_BUFFER_BYTES: Final = 16_384

DELIVERY_S: Final = 1.0
"""Longest time in seconds for written bytes to reach the gateway."""


@dataclass(frozen=True)
class EarlyEnd:
    """What an engine does with a request."""

    read_share: float
    """Share of the request's body that is read before the answer; 0 to 1."""
    sent: str
    """What is sent before the end: `nothing`, or a key of `BODIES`."""
    is_reset: bool = True
    """Whether the connection is reset at the end; else it is closed, in order if the
    request was read."""
    pause_s: float = 0.0
    """Time in seconds between what is sent and the end."""
    is_half_closed: bool = False
    """Whether the engine closes its side in order before the pause."""
    reads_on: bool = False
    """Whether the engine reads the rest of the body before the end."""
    status_line: str = "HTTP/1.1 200 OK"
    """First line of the answer."""
    framing: str = ""
    """Header line that delimits the answer; empty for its connection's end."""


class EarlyEngine:
    """A backend server that ends each answer early.

    Args:
        id: Id of the backend server.
    """

    def __init__(self, id: str) -> None:
        self.id = id
        self.address = ""
        self.end = EarlyEnd(0.0, "nothing")
        self.request_count = 0
        self.on_part_sent: Callable[[], None] = lambda: None
        """Called in the engine's thread once what it sends was delivered."""
        self.lock = threading.Lock()
        """Held while a request is served; they are served one after the other."""

    async def start(self) -> None:
        """Listen on a free port on loopback."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        # Connections inherit it; without a bound, the kernel acknowledges up to some MB
        # that the engine has not read.
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._serve_all, daemon=True).start()

    def stop(self) -> None:
        """Stop to listen, which ends the thread."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _serve_all(self) -> None:
        for _ in itertools.count():
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.settimeout(5.0)
            thread = threading.Thread(target=self._serve, args=(sock,), daemon=True)
            thread.start()

    def _serve(self, sock: socket.socket) -> None:
        """Answer the calls of a connection, and then one request."""
        try:
            while data := _read_head(sock):
                if data.split(b" ")[1].decode() not in CALL_PATHS:
                    with self.lock:
                        self._end_early(sock, data)
                    return
                sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}")
        except OSError:
            pass
        finally:
            sock.close()

    def _end_early(self, sock: socket.socket, data: bytes) -> None:
        self.request_count += 1
        head, _, body = data.partition(b"\r\n\r\n")
        headers = {}
        for line in head.decode("latin-1").split("\r\n")[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        end = self.end
        size = int(headers.get("content-length", "0"))
        due = int(size * end.read_share)
        _read(sock, due - len(body))
        lines = [
            end.status_line,
            f"X-Request-Id: {headers.get('x-request-id', '')}",
            STAMP,
            "Content-Type: text/event-stream",
            *([end.framing] if end.framing else []),
        ]
        answer = ("\r\n".join(lines) + "\r\n\r\n").encode()
        if end.sent in BODIES:
            sock.sendall(answer + BODIES[end.sent])
        _wait_for_delivery(sock)
        if end.is_half_closed:
            sock.shutdown(socket.SHUT_WR)
        time.sleep(end.pause_s)
        if end.reads_on:
            _read(sock, size - max(due, len(body)))
        self.on_part_sent()
        if end.is_reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def _read_head(sock: socket.socket) -> bytes:
    """Return what has been received with the end of a head; empty at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = sock.recv(1024)
        if not received:
            return b""
        data += received
    return data


def _read(sock: socket.socket, size: int) -> None:
    while size > 0:
        received = sock.recv(min(size, 65_536))
        if not received:
            return
        size -= len(received)


def _wait_for_delivery(sock: socket.socket) -> None:
    end_s = time.monotonic() + DELIVERY_S
    while time.monotonic() < end_s:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        if not struct.unpack("i", queued)[0]:
            return
        time.sleep(0.001)
