"""HTTP connections that refuse responses whose head was cut off.

`http.client` takes the end of a connection for the end of the head: a server that stops
in the middle of its head would seem to have sent a whole, empty response.
"""

from __future__ import annotations

import http.client
from typing import TYPE_CHECKING, Any, cast

import urllib3
from urllib3.connection import HTTPConnection

if TYPE_CHECKING:
    from io import BufferedIOBase


class CutHeadError(http.client.HTTPException):
    """The connection ended before the empty line that ends a response's head."""


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
    """Response whose head has to be complete."""

    fp: Any

    def begin(self) -> None:
        """Read the head of the response.

        Raises:
            CutHeadError: The connection ended within the head.
        """
        file = self.fp
        lines = self.fp = _HeadLines(file)
        try:
            super().begin()
        finally:
            if self.fp is lines:
                self.fp = file


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
