"""Callers with blocking sockets that record how a streamed response ends."""

from __future__ import annotations

import socket
import threading
import time
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

READ_BYTES: Final = 65_536
SLOW_READ_BYTES: Final = 16_384
RECEIVE_BUFFER_BYTES: Final = 16_384
TIMEOUT_S: Final = 20.0
"""Longest time in seconds that a caller waits for the next bytes."""


class End(Enum):
    """How the connection of a response ended."""

    ORDERLY = "in order"
    RESET = "with a reset"
    SILENCE = "in silence"


@dataclass
class ReadStream:
    """A streamed response as received by a caller."""

    head: bytes
    body: bytes
    """Body as received; with its chunk sizes if it is chunked."""
    end: End

    @property
    def is_complete(self) -> bool:
        """Whether the caller takes the response for complete."""
        if b"chunked" in self.head.lower():
            return self.body.endswith(b"0\r\n\r\n")
        return self.end is End.ORDERLY

    @property
    def event_count(self) -> int:
        """Number of whole events."""
        return self.body.count(b"\n\n")


def open_stream(
    address: tuple[str, int], version: str, target: str, headers: Sequence[str] = ()
) -> socket.socket:
    """Send a request for a stream, and return its connection."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.settimeout(TIMEOUT_S)
    sock.connect(address)
    lines = [f"POST {target} HTTP/{version}", "Content-Length: 0", *headers]
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
    return sock


def read_until(sock: socket.socket, mark: bytes) -> bytes:
    """Read until the received bytes contain a mark, and return them."""
    data = b""
    while mark not in data:
        part = sock.recv(READ_BYTES)
        assert part, data
        data += part
    return data


def read_rest(
    sock: socket.socket, received: bytes = b"", *, pause_s: float = 0.0
) -> ReadStream:
    """Read a response to the end of its connection, and close it.

    Args:
        sock: Connection that carries the response.
        received: What was read of the response before.
        pause_s: Pause in seconds after each read of 16 KiB; 0 to read at once.
    """
    data = bytearray(received)
    end = End.ORDERLY
    with sock:
        try:
            while part := sock.recv(SLOW_READ_BYTES if pause_s else READ_BYTES):
                data += part
                time.sleep(pause_s)
        except ConnectionResetError:
            end = End.RESET
        except TimeoutError:
            end = End.SILENCE
    head, _, body = bytes(data).partition(b"\r\n\r\n")
    return ReadStream(head, body, end)


class StreamCallers:
    """Callers in threads that each read one stream."""

    def __init__(self) -> None:
        self.streams: list[ReadStream] = []
        self.threads: list[threading.Thread] = []

    def start(
        self,
        count: int,
        address: tuple[str, int],
        version: str,
        *,
        pause_s: float = 0.0,
    ) -> None:
        """Start callers that read to the end of their connections."""

        def read() -> None:
            sock = open_stream(address, version, "/", ["Host: a"])
            self.streams.append(read_rest(sock, pause_s=pause_s))

        self.threads = [threading.Thread(target=read) for _ in range(count)]
        for thread in self.threads:
            thread.start()

    @property
    def are_done(self) -> bool:
        """Whether all callers have read their streams."""
        return not any(thread.is_alive() for thread in self.threads)

    def join(self) -> list[ReadStream]:
        """Wait for all callers, and return their streams."""
        for thread in self.threads:
            thread.join(TIMEOUT_S)
        return self.streams
