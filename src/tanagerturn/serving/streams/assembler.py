"""Puts the tokens of one stream together: in order, each once."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Final

from tanagerturn.serving.streams.chunks import Chunk, Dropped, LossCause, Resume

AHEAD_LIMIT: Final = 64
"""Chunks kept that came before their turn."""


class OutOfOrderError(Exception):
    """The attempt can't be followed any further; the stream has to be resumed."""


class StreamAssembler:
    """Tokens of one request over all its attempts.

    Args:
        request_id: The request.
        attempt: Number of its first attempt.
    """

    def __init__(self, request_id: str, attempt: int = 1) -> None:
        self.request_id = request_id
        """The request."""
        self.attempt = attempt
        """Attempt whose chunks are taken."""
        self.delivered = 0
        """Tokens given to the caller."""
        self.texts: list[str] = []
        """Their text, for the next attempt."""
        self.ahead: dict[int, Chunk] = {}
        """Chunks of this attempt before their turn, by offset."""
        self.dropped = Dropped()
        """Chunks that were not delivered."""
        self.cause: LossCause | None = None
        """Why the attempt before this one ended; None for the first."""
        self.recomputed: Counter[LossCause] = Counter()
        """Tokens computed again, by cause."""

    def __repr__(self) -> str:
        return (
            f"StreamAssembler({self.request_id!r}, attempt={self.attempt}, "
            f"delivered={self.delivered})"
        )

    @property
    def text(self) -> str:
        """Return the text given to the caller."""
        return "".join(self.texts)

    def is_present(self, chunk: Chunk) -> bool:
        """Tell whether a chunk belongs to this request's present attempt."""
        return (chunk.request_id, chunk.attempt) == (self.request_id, self.attempt)

    def accept(self, chunk: Chunk) -> list[Chunk]:
        """Take a chunk and return those to deliver now, in order.

        Raises:
            OutOfOrderError: The chunk overlaps what was delivered, or too many
                chunks wait for a missing one.
        """
        if chunk.request_id != self.request_id:
            self._drop(other_request=self.dropped.other_request + 1)
            return []
        if chunk.attempt != self.attempt:
            self._drop(late=self.dropped.late + 1)
            return []
        if chunk.offset + chunk.tokens <= self.delivered and chunk.tokens:
            self._drop(repeated=self.dropped.repeated + 1)
            return []
        if chunk.offset < self.delivered:
            raise OutOfOrderError(f"{chunk.offset} overlaps {self.delivered}")
        if chunk.offset > self.delivered:
            self._keep(chunk)
            return []
        return self._deliver(chunk)

    def resume(self, cause: LossCause, kv_handle: str = "") -> Resume:
        """Start the next attempt after the last delivered token.

        Args:
            cause: Why the present attempt ended.
            kv_handle: Imported KV cache that the next engine may use.
        """
        self.attempt += 1
        self.ahead.clear()
        self.cause = cause
        return Resume(self.attempt, self.delivered, self.text, kv_handle)

    def count_recomputed(self, tokens: int) -> None:
        """Count what the engine says it computed again in this attempt."""
        if self.cause is not None:
            self.recomputed[self.cause] += tokens

    def _deliver(self, chunk: Chunk) -> list[Chunk]:
        ready = []
        following: Chunk | None = chunk
        while following is not None:
            ready.append(following)
            self.delivered += following.tokens
            self.texts.append(following.text)
            following = self.ahead.pop(self.delivered, None)
        return ready

    def _keep(self, chunk: Chunk) -> None:
        if len(self.ahead) >= AHEAD_LIMIT:
            raise OutOfOrderError(f"tokens after {self.delivered} are missing")
        self.ahead[chunk.offset] = chunk

    def _drop(self, **counts: int) -> None:
        self.dropped = replace(self.dropped, **counts)
