"""Callers of the soak: each uses one connection until the other side closes it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from support.gateway_programs import CALLERS_PORT
from support.gateway_world import HOST, KEY, PROMPT_HEADERS, read_answer

if TYPE_CHECKING:
    from random import Random

    from soak.ledger import Ledger
    from soak.proxy import Proxy

PATIENCE_S = 1.5
"""Time after which a caller gives a request up."""

SLACK_S = 0.6
"""Time beyond its patience that a caller leaves for the answer."""

THINK_S = (0.02, 0.2)
"""Least and most time between two requests of a caller."""

ROUTES = {"/buy/": 4, "/look/": 2, "/notes/": 3, "/draft/": 1}
"""Routes and how often each is used, against the others."""


class Caller:
    """One caller.

    Args:
        number: Its number.
        doors: Proxies before all gateways.
        ledger: Where it writes what it sent and got.
        random: Decides what it asks for and where.
    """

    def __init__(
        self, number: int, doors: list[Proxy], ledger: Ledger, random: Random
    ) -> None:
        self.number = number
        """Its number."""
        self.doors = doors
        """Proxies before all gateways."""
        self.ledger = ledger
        """Where it writes what it sent and got."""
        self.random = random
        """Decides what it asks for and where."""
        self.count = 0
        """Requests that it sent."""
        self.door = 0
        """Gateway that it is connected to."""
        self.open: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        """Its connection."""

    async def run(self) -> None:
        """Send one request after the other."""
        while True:
            await asyncio.sleep(self.random.uniform(*THINK_S))
            try:
                if self.open is None:
                    await self._connect()
                await self._ask()
            except (OSError, asyncio.IncompleteReadError, ValueError):
                # What was asked stays without an answer in the ledger.
                self._leave()

    async def _connect(self) -> None:
        self.door = self.random.randrange(len(self.doors))
        ip, _, port = self.doors[self.door].listen.rpartition(":")
        async with asyncio.timeout(PATIENCE_S):
            self.open = await asyncio.open_connection(ip, int(port))

    async def _ask(self) -> None:
        assert self.open is not None
        reader, writer = self.open
        (route,) = self.random.choices(list(ROUTES), list(ROUTES.values()))
        self.count += 1
        attempt = f"c{self.number}-{self.count}"
        path = f"{route}{attempt}"
        self.ledger.paths[attempt] = path
        self.ledger.statuses[attempt] = 0
        headers = {
            "Host": HOST,
            "X-Request-Id": attempt,
            "X-Deadline-Ms": str(int(PATIENCE_S * 1000)),
            "Authorization": f"Bearer {KEY}",
            "Content-Length": "0",
        }
        if route in ("/notes/", "/draft/"):
            headers |= PROMPT_HEADERS
        lines = [f"{'GET' if route == '/look/' else 'POST'} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        async with asyncio.timeout(PATIENCE_S + SLACK_S):
            answer = await read_answer(reader)
        self.ledger.on_answer(
            attempt,
            answer.status,
            answer.body,
            is_whole=answer.is_whole,
            is_proven="x-server-stamp" in answer.headers,
        )
        if not answer.is_whole:
            self.ledger.cut[attempt] = self.doors[self.door].listen
        closes = answer.headers.get("connection", "").lower() == "close"
        if not answer.is_whole or closes:
            self._leave()

    def _leave(self) -> None:
        if self.open is not None:
            self.open[1].transport.abort()
        self.open = None


def make_door(ip: str) -> str:
    """Return the address of a gateway's listener for callers."""
    return f"{ip}:{CALLERS_PORT}"
