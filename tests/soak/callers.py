"""Callers of the soak test, each with one connection that it reopens when closed."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak.history import MODEL_EVENTS
from support.gateway_programs import CALLERS_PORT
from support.gateway_world import (
    HOST,
    KEY,
    PROMPT_HEADERS,
    CallerResponse,
    read_response,
)

if TYPE_CHECKING:
    from random import Random

    from soak.history import History
    from soak.proxy import Proxy

CONNECT_TIMEOUT_S = 1.5
"""Timeout of opening a connection in seconds."""

RESPONSE_SLACK_S = 0.6
"""Time in seconds past the deadline for which a caller waits for the response."""

THINK_TIME_S = (0.02, 0.2)
"""Minimum and maximum time in seconds between two requests of a caller."""

READ_BYTES = 65_536

OLD_CALLER_INTERVAL = 4
"""One caller of so many speaks HTTP/1.0, and so gets streams that end with their
connection."""


@dataclass(frozen=True)
class Demand:
    """What a caller asks for."""

    weights: dict[str, int]
    """Weight of each route in the random choice."""
    timeout_s: float
    """Time in seconds from a request to the deadline that its caller sends with it."""
    prompt_routes: tuple[str, ...]
    """Routes of generations."""
    max_output_tokens: tuple[int, ...] = (20,)
    """Numbers of output tokens that a caller allows, drawn for each generation."""
    prefix: str = "c"
    """First letter of the request ids; those of HTTP/1.0 contain `old`."""


PLAIN_DEMAND = Demand(
    {"/buy/": 4, "/look/": 2, "/notes/": 3, "/draft/": 1}, 1.5, ("/notes/", "/draft/")
)
"""Requests to the plain backend servers."""

MODEL_DEMAND = Demand(
    {"/sing/": 1, "/solo/": 1},
    4.0,
    ("/sing/", "/solo/"),
    (MODEL_EVENTS, 2 * MODEL_EVENTS),
    "m",
)
"""Requests to the model engines, half of whose streams stop before the caller's limit
of tokens."""


class Caller:
    """Simulated caller that sends random requests, one after the other.

    The requests go through the proxies in front of the gateways.

    Args:
        number: Number of the caller, part of its request ids.
        caller_proxies: Proxies in front of all gateways.
        history: Records requests and responses.
        random: Chooses routes, gateways and times.
        demand: What it asks for.
    """

    def __init__(
        self,
        number: int,
        caller_proxies: list[Proxy],
        history: History,
        random: Random,
        demand: Demand = PLAIN_DEMAND,
    ) -> None:
        self.number = number
        """Number of the caller, part of its request ids."""
        self.caller_proxies = caller_proxies
        """Proxies in front of all gateways."""
        self.history = history
        """Records requests and responses."""
        self.random = random
        """Chooses routes, gateways and times."""
        self.demand = demand
        """What it asks for."""
        self.is_old = number % OLD_CALLER_INTERVAL == OLD_CALLER_INTERVAL - 1
        """Whether it speaks HTTP/1.0."""
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
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self.connection = await asyncio.open_connection(ip, int(port))

    async def _send_request(self) -> None:
        assert self.connection is not None
        reader, writer = self.connection
        demand, proxy = self.demand, self.caller_proxies[self.proxy_index]
        (route,) = self.random.choices(
            list(demand.weights), list(demand.weights.values())
        )
        self.request_count += 1
        name = f"{demand.prefix}{self.number}{'-old' if self.is_old else ''}"
        request_id = f"{name}-{self.request_count}"
        path = f"{route}{request_id}"
        self.history.paths[request_id] = path
        self.history.statuses[request_id] = 0
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(demand.timeout_s * 1000)),
            "Authorization": f"Bearer {KEY}",
            "Content-Length": "0",
        }
        if route in demand.prompt_routes:
            limit = self.random.choice(demand.max_output_tokens)
            headers |= PROMPT_HEADERS | {"X-Token-Usage": f"100,{limit}"}
        version = "HTTP/1.0" if self.is_old else "HTTP/1.1"
        lines = [f"{'GET' if route == '/look/' else 'POST'} {path} {version}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        faults_before, was_earlier = proxy.disturbance_count, proxy.is_earlier_build
        was_sound, sent_s = not proxy.disturbances, time.monotonic()
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        read = read_old_response if self.is_old else read_response

        def note_faults() -> bool:
            is_sound = was_sound and proxy.disturbance_count == faults_before
            self.history.times_s[request_id] = (sent_s, time.monotonic())
            if is_sound:
                self.history.sound_paths.add(request_id)
            return is_sound

        try:
            async with asyncio.timeout(demand.timeout_s + RESPONSE_SLACK_S):
                answer = await read(reader)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            note_faults()
            raise
        is_sound = note_faults()
        is_earlier = was_earlier or proxy.is_earlier_build
        if is_earlier:
            self.history.earlier_builds.add(request_id)
        # The kernel of a killed gateway closes connections in order, which ends a
        # response to HTTP/1.0; so do gateways up to d7c6c10.
        is_end_known = not self.is_old or (is_sound and not is_earlier)
        is_whole = answer.is_whole and is_end_known
        self.history.on_response(
            request_id,
            answer.status,
            answer.body,
            is_whole=is_whole,
            is_proven="x-server-stamp" in answer.headers,
        )
        if not is_whole:
            self.history.incomplete_responses[request_id] = proxy.listen
        closes = answer.headers.get("connection", "").lower() == "close"
        if not is_whole or closes or self.is_old:
            self._disconnect()

    def _disconnect(self) -> None:
        if self.connection is not None:
            self.connection[1].transport.abort()
        self.connection = None


def caller_address(ip: str) -> str:
    """Return the address and port of a gateway's listener for callers."""
    return f"{ip}:{CALLERS_PORT}"


async def read_old_response(reader: asyncio.StreamReader) -> CallerResponse:
    """Read a response to HTTP/1.0, which may end with its connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return CallerResponse(0, {}, b"", False)
    first, *lines = head.strip().split("\r\n")
    fields = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    body = b""
    try:
        while data := await reader.read(READ_BYTES):
            body += data
        is_whole = True
    except ConnectionError:
        is_whole = False
    length = headers.get("content-length")
    if length is not None:
        is_whole = len(body) == int(length)
    return CallerResponse(int(first.split(" ")[1]), headers, body, is_whole)
