"""Callers that send bodies in chunks of one size without an end, as a process.

Arguments: the address, the number of callers and the bytes of a chunk.
"""

from __future__ import annotations

import asyncio
import sys

from support.gateway_world import HOST

PART_BYTES = 64 * 1024

HEAD = (
    f"POST /look/13 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: NUMBER\r\n"
    "X-Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def make_chunks(chunk_bytes: int, size_bytes: int) -> bytes:
    """Return chunks that take no more than a number of bytes with their lines."""
    chunk = b"%x\r\n" % chunk_bytes + bytes(chunk_bytes) + b"\r\n"
    return chunk * (size_bytes // len(chunk))


async def call(address: str, number: int, part: bytes) -> None:
    """Send one body until the server closes the connection."""
    ip, _, port = address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(ip, int(port))
        writer.write(HEAD.replace("NUMBER", f"c0{number:06x}").encode())
        while True:
            writer.write(part)
            await writer.drain()
    except OSError:
        pass


async def run(address: str, callers: int, chunk_bytes: int) -> None:
    """Let all callers send at the same time."""
    part = make_chunks(chunk_bytes, PART_BYTES)
    await asyncio.gather(*(call(address, n, part) for n in range(callers)))


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
