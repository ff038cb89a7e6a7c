"""Assembles the token stream of one request in order and without duplicates."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Final

from tanagerturn.serving.streams.chunks import Chunk, Dropped, LossCause, Resume

MAX_BUFFERED_CHUNKS: Final = 64
"""Maximum number of chunks that arrived out of order and are buffered."""


class OutOfOrderError(Exception):
    """The chunks of the attempt can't be assembled; the stream must be resumed."""


class StreamAssembler:
    """Assembles the tokens of one request over all its attempts.

    Args:
        request_id: Id of the request.
        attempt: Number of the first attempt, from 1.
    """

    def __init__(self, request_id: str, attempt: int = 1) -> None:
        self.request_id = request_id
        """Id of the request."""
        self.attempt = attempt
        """Number of the current attempt; chunks of other attempts are discarded."""
        self.delivered = 0
        """Number of tokens delivered to the caller."""
        self.texts: list[str] = []
        """Texts of the delivered chunks, with which the next attempt continues."""
        self.out_of_order: dict[int, Chunk] = {}
        """Buffered out-of-order chunks of the current attempt, by offset in tokens."""
        self.dropped = Dropped()
        """Number of discarded chunks, by cause."""
        self.cause: LossCause | None = None
        """Why the previous attempt ended; None in the first attempt."""
        self.recomputed: Counter[LossCause] = Counter()
        """Number of tokens that engines recomputed, by cause of the resume."""

    def __repr__(self) -> str:
        return (
            f"StreamAssembler({self.request_id!r}, attempt={self.attempt}, "
            f"delivered={self.delivered})"
        )

    @property
    def text(self) -> str:
        """Return the text delivered to the caller."""
        return "".join(self.texts)

    def is_current(self, chunk: Chunk) -> bool:
        """Return whether a chunk belongs to the current attempt of this request."""
        return (chunk.request_id, chunk.attempt) == (self.request_id, self.attempt)

    def accept(self, chunk: Chunk) -> list[Chunk]:
        """Process a chunk and return the chunks to deliver now, in order.

        Args:
            chunk: The chunk; it is discarded if it belongs to another request or
                attempt, or if its tokens were delivered before.

        Raises:
            OutOfOrderError: The chunk overlaps the delivered tokens, or too many later
                chunks are buffered while tokens are missing.
        """
        if chunk.request_id != self.request_id:
            self._count_dropped(other_request=self.dropped.other_request + 1)
            return []
        if chunk.attempt != self.attempt:
            self._count_dropped(late=self.dropped.late + 1)
            return []
        if chunk.offset + chunk.tokens <= self.delivered and chunk.tokens:
            self._count_dropped(repeated=self.dropped.repeated + 1)
            return []
        if chunk.offset < self.delivered:
            raise OutOfOrderError(
                f"chunk at offset {chunk.offset} overlaps {self.delivered} delivered"
                " tokens"
            )
        if chunk.offset > self.delivered:
            self._buffer(chunk)
            return []
        return self._deliver(chunk)

    def resume(self, cause: LossCause, kv_handle: str = "") -> Resume:
        """Start the next attempt after the last delivered token.

        Args:
            cause: Why the current attempt ended.
            kv_handle: Handle of an imported KV cache that the next engine may use;
                empty for none.
        """
        self.attempt += 1
        self.out_of_order.clear()
        self.cause = cause
        return Resume(self.attempt, self.delivered, self.text, kv_handle)

    def count_recomputed(self, tokens: int) -> None:
        """Count tokens that the engine reports as recomputed in the current attempt.

        Args:
            tokens: Number of recomputed tokens.
        """
        if self.cause is not None:
            self.recomputed[self.cause] += tokens

    def _deliver(self, chunk: Chunk) -> list[Chunk]:
        ready = []
        next_chunk: Chunk | None = chunk
        while next_chunk is not None:
            ready.append(next_chunk)
            self.delivered += next_chunk.tokens
            self.texts.append(next_chunk.text)
            next_chunk = self.out_of_order.pop(self.delivered, None)
        return ready

    def _buffer(self, chunk: Chunk) -> None:
        if len(self.out_of_order) >= MAX_BUFFERED_CHUNKS:
            raise OutOfOrderError(
                f"tokens from offset {self.delivered} are missing, "
                f"and {MAX_BUFFERED_CHUNKS} later chunks are buffered"
            )
        self.out_of_order[chunk.offset] = chunk

    def _count_dropped(self, **counts: int) -> None:
        self.dropped = replace(self.dropped, **counts)
