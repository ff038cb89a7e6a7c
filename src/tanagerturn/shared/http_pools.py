"""HTTP connections that refuse responses whose head is cut off or has no status.

`http.client` takes the end of a connection for the end of the head: a server that stops
in the middle of its head would seem to have sent a whole, empty response. It also
accepts statuses that are none, and the end of the connection as that of a body.
"""

from __future__ import annotations

import http.client
from typing import TYPE_CHECKING, Any, Final, cast

import urllib3
from urllib3.connection import HTTPConnection

if TYPE_CHECKING:
    from io import BufferedIOBase

    from urllib3.response import BaseHTTPResponse

STATUSES: Final = range(200, 600)
"""Statuses of final responses (RFC 9110, section 15)."""


class CutHeadError(http.client.HTTPException):
    """The connection ended before the empty line that ends a response's head."""


class InvalidStatusError(http.client.HTTPException):
    """The status of a response is none of a final response."""


class _HeadLines:
    """Reads the lines of a head, each of which has to be complete."""

    def __init__(self, file: BufferedIOBase) -> None:
        self.file = file
        self.has_line = False

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line; raise `CutHeadError` at the end of the connection."""
        line = self.file.readline(limit)
        # Without any line, http.client reports that the server has disconnected.
        is_cut = not line.endswith(b"\n") and len(line) != limit
        if is_cut and (line or self.has_line):
            raise CutHeadError("the connection ended within the response's head")
        self.has_line = True
        return line

    def close(self) -> None:
        """Close the connection's file."""
        self.file.close()


class WholeHeadResponse(http.client.HTTPResponse):
    """Response whose head has to be complete, with the status of a final response."""

    fp: Any

    def begin(self) -> None:
        """Read the head of the response.

        Raises:
            CutHeadError: The connection ended within the head.
            InvalidStatusError: The status is none of a final response.
        """
        file = self.fp
        lines = self.fp = _HeadLines(file)
        try:
            super().begin()
        finally:
            if self.fp is lines:
                self.fp = file
        if self.status not in STATUSES:
            raise InvalidStatusError(f"{self.status} is no status of a response")


class WholeHeadConnection(HTTPConnection):
    """Connection whose responses need complete heads."""

    response_class = cast("Any", WholeHeadResponse)


class WholeHeadPool(urllib3.HTTPConnectionPool):
    """Pool of such connections to one server."""

    ConnectionCls = WholeHeadConnection


def make_pools(num_pools: int, maxsize: int = 1) -> urllib3.PoolManager:
    """Return pools of connections without retries, for HTTP URLs.

    Args:
        num_pools: Maximum number of servers with open connections.
        maxsize: Maximum number of idle connections that are kept to one server.
    """
    pools = urllib3.PoolManager(num_pools=num_pools, maxsize=maxsize, retries=False)
    pools.pool_classes_by_scheme = {
        **pools.pool_classes_by_scheme,
        "http": WholeHeadPool,
    }
    return pools


def is_delimited(response: BaseHTTPResponse) -> bool:
    """Return whether a length or chunks end the body of a response.

    Else the end of its connection does, which is the same for a process that was
    killed in the middle of the body.

    Args:
        response: Response with its head read.
    """
    length = response.headers.get("Content-Length")
    is_empty = response.status in (204, 304)
    return response.chunked or is_empty or (length is not None and length.isdigit())
