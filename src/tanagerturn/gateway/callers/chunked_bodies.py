"""Decodes chunked request bodies at a cost that small chunks don't raise; no I/O."""

from __future__ import annotations

import re
from enum import Enum
from typing import Final

CHUNK_HEAD: Final = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
"""Line with the size of a chunk, which extensions may follow."""

MAX_LINE_BYTES: Final = 4096
"""Maximum size of the line with a chunk's size."""


class InvalidChunks(Exception):
    """Raised when a body is not chunked as HTTP requires.

    Args:
        reason: The violation.
    """


class BodyTooLarge(Exception):
    """Raised when a body exceeds its limit."""


class _Part(Enum):
    HEAD = "head of a chunk"
    DATA = "data of a chunk"
    END = "line end after the data"
    TRAILERS = "trailers"
    DONE = "after the body"


class ChunkedDecoder:
    """Appends the data of chunks to one buffer.

    Args:
        body: Buffer that the data is appended to.
        limit_bytes: Maximum size of the body in bytes.
        trailers_limit_bytes: Maximum size of the trailers in bytes.
    """

    def __init__(
        self, body: bytearray, limit_bytes: int, trailers_limit_bytes: int
    ) -> None:
        self.body = body
        """Buffer that the data is appended to."""
        self.limit_bytes = limit_bytes
        """Maximum size of the body in bytes."""
        self.trailers_left = trailers_limit_bytes
        """Number of bytes that the trailers may still take."""
        self.rest = b""
        """Bytes that are not decoded yet; after the body, those that follow it."""
        self.data_left = 0
        """Number of bytes that are missing of the present chunk."""
        self._part = _Part.HEAD

    @property
    def is_done(self) -> bool:
        """Whether the whole body was decoded."""
        return self._part is _Part.DONE

    def feed(self, data: bytes) -> None:
        """Decode further bytes.

        Raises:
            BodyTooLarge: The body exceeds its limit.
            InvalidChunks: The bytes are not a chunked body.
        """
        data = self.rest + data if self.rest else data
        position, end = 0, len(data)
        while position < end:
            if self._part is _Part.HEAD:
                at = self._read_chunks(data, position)
            elif self._part is _Part.DATA:
                at = min(end, position + self.data_left)
                self.body += data[position:at]
                self.data_left -= at - position
                if not self.data_left:
                    self._part = _Part.END
            elif self._part is _Part.END:
                at = _skip_line_end(data, position)
                if at > position:
                    self._part = _Part.HEAD
            elif self._part is _Part.TRAILERS:
                at = self._skip_trailer(data, position)
            else:
                break
            if at == position:
                break
            position = at
        self.rest = data[position:]

    def _read_chunks(self, data: bytes, position: int) -> int:
        """Append whole chunks, and the beginning of one; return where to go on."""
        match, body, end = CHUNK_HEAD.match, self.body, len(data)
        while found := match(data, position):
            size, start = int(found[1], 16), found.end()
            if not size:
                self._part = _Part.TRAILERS
                return start
            if len(body) + size > self.limit_bytes:
                raise BodyTooLarge
            after = start + size
            if after + 2 > end:
                self._part, self.data_left = _Part.DATA, size
                return start
            if data[after : after + 2] != b"\r\n":
                raise InvalidChunks("no line end after the data of a chunk")
            body += data[start:after]
            position = after + 2
        line_end = data.find(b"\n", position)
        if line_end >= 0 or end - position > MAX_LINE_BYTES:
            raise InvalidChunks("malformed size of a chunk")
        return position

    def _skip_trailer(self, data: bytes, position: int) -> int:
        line_end = data.find(b"\r\n", position)
        used = (line_end + 2 if line_end >= 0 else len(data)) - position
        if used > self.trailers_left:
            raise InvalidChunks("the trailers exceed the limit of the head")
        if line_end < 0:
            return position
        self.trailers_left -= used
        if line_end == position:
            self._part = _Part.DONE
        return line_end + 2


def _skip_line_end(data: bytes, position: int) -> int:
    found = data[position : position + 2]
    if not b"\r\n".startswith(found):
        raise InvalidChunks("no line end after the data of a chunk")
    return position + 2 if len(found) == 2 else position
