"""Callers of the soak test, each with one connection that it reopens when closed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from support.gateway_programs import CALLERS_PORT
from support.gateway_world import HOST, KEY, PROMPT_HEADERS, read_response

if TYPE_CHECKING:
    from random import Random

    from soak.history import History
    from soak.proxy import Proxy

CALLER_TIMEOUT_S = 1.5
"""Time in seconds from a request to the deadline that its caller sends with it."""

RESPONSE_SLACK_S = 0.6
"""Time in seconds past the deadline for which a caller waits for the response."""

THINK_TIME_S = (0.02, 0.2)
"""Minimum and maximum time in seconds between two requests of a caller."""

ROUTE_WEIGHTS = {"/buy/": 4, "/look/": 2, "/notes/": 3, "/draft/": 1}
"""Weight of each route in the random choice."""


class Caller:
    """Simulated caller that sends random requests, one after the other.

    The requests go through the proxies in front of the gateways.

    Args:
        number: Number of the caller, part of its request ids.
        caller_proxies: Proxies in front of all gateways.
        history: Records requests and responses.
        random: Chooses routes, gateways and times.
    """

    def __init__(
        self, number: int, caller_proxies: list[Proxy], history: History, random: Random
    ) -> None:
        self.number = number
        """Number of the caller, part of its request ids."""
        self.caller_proxies = caller_proxies
        """Proxies in front of all gateways."""
        self.history = history
        """Records requests and responses."""
        self.random = random
        """Chooses routes, gateways and times."""
        self.request_count = 0
        """Number of requests sent."""
        self.proxy_index = 0
        """Index of the proxy that the caller is connected to."""
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        """Streams of the connection; None while the caller is disconnected."""

    async def run(self) -> None:
        """Send one request after the other."""
        while True:
            await asyncio.sleep(self.random.uniform(*THINK_TIME_S))
            try:
                if self.connection is None:
                    await self._connect()
                await self._send_request()
            except (OSError, asyncio.IncompleteReadError, ValueError):
                # The request stays in the history without a response.
                self._disconnect()

    async def _connect(self) -> None:
        self.proxy_index = self.random.randrange(len(self.caller_proxies))
        ip, _, port = self.caller_proxies[self.proxy_index].listen.rpartition(":")
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            self.connection = await asyncio.open_connection(ip, int(port))

    async def _send_request(self) -> None:
        assert self.connection is not None
        reader, writer = self.connection
        (route,) = self.random.choices(
            list(ROUTE_WEIGHTS), list(ROUTE_WEIGHTS.values())
        )
        self.request_count += 1
        request_id = f"c{self.number}-{self.request_count}"
        path = f"{route}{request_id}"
        self.history.paths[request_id] = path
        self.history.statuses[request_id] = 0
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(CALLER_TIMEOUT_S * 1000)),
            "Authorization": f"Bearer {KEY}",
            "Content-Length": "0",
        }
        if route in ("/notes/", "/draft/"):
            headers |= PROMPT_HEADERS
        lines = [f"{'GET' if route == '/look/' else 'POST'} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        async with asyncio.timeout(CALLER_TIMEOUT_S + RESPONSE_SLACK_S):
            answer = await read_response(reader)
        self.history.on_response(
            request_id,
            answer.status,
            answer.body,
            is_whole=answer.is_whole,
            is_proven="x-server-stamp" in answer.headers,
        )
        if not answer.is_whole:
            self.history.incomplete_responses[request_id] = self.caller_proxies[
                self.proxy_index
            ].listen
        closes = answer.headers.get("connection", "").lower() == "close"
        if not answer.is_whole or closes:
            self._disconnect()

    def _disconnect(self) -> None:
        if self.connection is not None:
            self.connection[1].transport.abort()
        self.connection = None


def caller_address(ip: str) -> str:
    """Return the address and port of a gateway's listener for callers."""
    return f"{ip}:{CALLERS_PORT}"
