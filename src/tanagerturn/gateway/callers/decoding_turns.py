"""Bounds how many chunks of all request bodies are decoded in a turn of the event loop.

A chunk costs about the same whatever its size. Pieces of bodies wait until there is
room in a turn, but for those of few chunks, which cost no more than their bytes. Those
of tiny chunks, which cost far more than their bytes are worth, wait apart, so that they
delay each other and nothing else.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

TINY_CHUNK_BYTES: Final = 16
"""Mean size of chunks in bytes, with their lines, below which they count as tiny."""


FEW_LINES: Final = 16
"""Number of lines up to which a piece does not need room; a chunk has two."""


class PieceKind(Enum):
    """Kinds of pieces of bodies, each of which has room of its own in each turn."""

    USUAL = "usual"
    TINY_CHUNKS = "tiny chunks"


CHUNKS_PER_TURN: Final = {PieceKind.USUAL: 2_000, PieceKind.TINY_CHUNKS: 1_000}
"""Number of chunks after which no further piece of a kind is decoded in a turn; 1,000
take less than 1 ms."""


@dataclass(frozen=True)
class Piece:
    """What decoding a piece of a body costs."""

    kind: PieceKind
    """Kind of the piece."""
    chunk_count: int
    """Number of its chunks, at least 1."""


def needs_room(data: bytes, data_left: int) -> bool:
    """Return whether a piece of a chunked body has to wait for room in a turn.

    Args:
        data: Bytes of the body as received.
        data_left: Number of bytes that are missing of the chunk in which it begins.
    """
    return len(data) > data_left and data.count(b"\n") > FEW_LINES


def measure_piece(data: bytes) -> Piece:
    """Return what decoding a piece of a chunked body costs.

    Args:
        data: Bytes of the body as received. Line ends in the data of chunks count as
            those of chunks.
    """
    chunk_count = data.count(b"\n") // 2 + 1
    is_tiny = chunk_count > 1 and len(data) < TINY_CHUNK_BYTES * chunk_count
    kind = PieceKind.TINY_CHUNKS if is_tiny else PieceKind.USUAL
    return Piece(kind, chunk_count)


@dataclass
class _Lane:
    """Pieces of one kind."""

    left: int
    """Number of chunks for which there is room in the present turn; below 0 after a
    piece that had less room than it took."""
    waiters: deque[tuple[Piece, asyncio.Future[None]]] = field(default_factory=deque)
    """Pieces that wait, the first one first."""


class DecodingTurns:
    """Room for decoding in each turn of the event loop, shared by all connections."""

    def __init__(self) -> None:
        self.lanes = {kind: _Lane(count) for kind, count in CHUNKS_PER_TURN.items()}
        """Pieces of each kind."""
        self.is_turn_due = False
        """Whether room is given again in the next turn."""

    @property
    def waiting_count(self) -> int:
        """Number of pieces that wait for room."""
        return sum(len(lane.waiters) for lane in self.lanes.values())

    async def wait(self, data: bytes) -> None:
        """Wait until a piece of a body may be decoded.

        Args:
            data: The piece as received.
        """
        piece = measure_piece(data)
        lane = self.lanes[piece.kind]
        loop = asyncio.get_running_loop()
        if not self.is_turn_due:
            self.is_turn_due = True
            loop.call_soon(self._begin_turn, loop)
        if lane.left > 0 and not lane.waiters:
            lane.left -= piece.chunk_count
            return
        waiter: asyncio.Future[None] = loop.create_future()
        lane.waiters.append((piece, waiter))
        await waiter

    def _begin_turn(self, loop: asyncio.AbstractEventLoop) -> None:
        """Give room for one turn, first to the pieces that wait."""
        self.is_turn_due = False
        for kind, lane in self.lanes.items():
            lane.left = CHUNKS_PER_TURN[kind]
            while lane.waiters and lane.left > 0:
                piece, waiter = lane.waiters.popleft()
                if not waiter.done():
                    lane.left -= piece.chunk_count
                    waiter.set_result(None)
            self.is_turn_due |= lane.left < CHUNKS_PER_TURN[kind]
        if self.is_turn_due:
            loop.call_soon(self._begin_turn, loop)
