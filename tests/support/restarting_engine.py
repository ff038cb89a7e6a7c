"""An engine whose process crashes and whose address is served again at once."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import orjson

from support.gateway_world import CALL_PATHS, STAMP, ScriptedBackend

if TYPE_CHECKING:
    from support.gateway_world import ReceivedRequest

EVENT_COUNT = 30
"""Number of events of a whole stream."""

EVENT_S = 0.03
"""Time in seconds between two events."""

BODY_PARTS = 14
"""Number of parts of a whole plain body."""

PART = b"x" * 60
"""One part of a plain body."""

PART_S = 0.005
"""Time in seconds between two parts of a plain body."""

NO_LISTING = "no listing"
"""Mode of reports that list no requests."""


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: word{number}\n\n".encode()


@dataclass
class RestartingEngine:
    """Engine that writes events and bodies slowly and can crash meanwhile.

    The path of a request is `/ROUTE/FRAMING/...`; routes `buy` and `look` get a plain
    body and others a stream.
    """

    id: str
    states_start: bool = False
    """Whether reports state the start."""
    listing: str = "runs"
    """Whether reports list the requests, or `NO_LISTING`."""
    keep_alive_s: int = 0
    """Announced idle timeout in seconds, after which connections are closed; 0 for
    none."""
    silent_s: float = 0.0
    """Time in seconds for which calls are not answered."""
    pause_s: float = 0.0
    """Pause in seconds that the next call asks for; 0 for none."""
    closes_calls: bool = False
    """Whether each call ends its connection, as at an engine that leaves."""
    answers_as: str = ""
    """Id of the present start; that of the first one unless a later start has its
    own."""
    holds_calls: bool = False
    """Whether connections with a call stay in the kernel, whose listener outlives a
    crash."""
    busy_writers: set[asyncio.StreamWriter] = field(default_factory=set)
    """Connections with a response in progress."""
    start_number: int = 1
    """Number of the start; also what the start states as its time."""
    runs: dict[str, int] = field(default_factory=dict)
    """Events made by each request that runs."""
    call_count: int = 0
    """Number of calls for a report or the health."""
    request_count: int = 0
    """Number of requests."""

    def __post_init__(self) -> None:
        self.answers_as = self.id
        self.backend = ScriptedBackend(self.id, [self.handle], scripts_calls=True)

    async def restart(self, down_s: float, new_id: str) -> None:
        """Crash, and serve again after a time in seconds under an id."""
        self.crash()
        self.backend.is_down = down_s > 0
        self.answers_as = new_id
        await asyncio.sleep(down_s)
        self.backend.is_down = False

    def crash(self) -> None:
        """Close all connections in order; the address is served by a new start."""
        self.backend.crash()
        self.runs.clear()
        self.start_number += 1

    async def handle(self, call: ReceivedRequest) -> None:
        """Handle one request."""
        if call.target in CALL_PATHS:
            while self.holds_calls:
                self.backend.writers.discard(call.writer)
                await asyncio.sleep(0.01)
            await self.answer_call(call)
            return
        if call.target == "/v1/kv-move":
            # The order finds the process that follows the one that ran the stream.
            self.backend.writers.discard(call.writer)
            self.crash()
            await call.answer(404, "{}", stamp=False)
            return
        if call.headers.get("x-expect-instance", self.answers_as) != self.answers_as:
            await call.answer(421, "", "X-Not-Executed: 1", stamp=False)
            return
        self.request_count += 1
        _, route, framing, *_ = call.target.split("/")
        plain = route in ("buy", "look")
        first = int(call.headers.get("last-event-id", "0")) + 1
        parts = (
            [PART] * BODY_PARTS
            if plain
            else [event(number) for number in range(first, EVENT_COUNT + 1)]
        )
        await self.write(call, framing, parts, PART_S if plain else EVENT_S, first)

    async def answer_call(self, call: ReceivedRequest) -> None:
        """Answer a call for a report or the health."""
        self.call_count += 1
        if self.silent_s:
            await asyncio.sleep(self.silent_s)
        report: dict[str, object] = {"state": "ready"}
        if self.listing != NO_LISTING:
            report["runs"] = [[id, 100, made, 5] for id, made in self.runs.items()]
        if self.states_start:
            report["born"] = self.start_number
        lines = []
        if self.keep_alive_s:
            lines.append(f"Keep-Alive: timeout={self.keep_alive_s}")
        if self.closes_calls:
            lines.append("Connection: close")
        status = 200
        if self.pause_s:
            status = 503
            lines.append(f"Retry-After: {self.pause_s}")
            self.pause_s = 0.0
        body = orjson.dumps(report).decode()
        await call.answer(status, body, *lines, stamp=False)
        if self.closes_calls:
            call.writer.close()

    async def write(
        self,
        call: ReceivedRequest,
        framing: str,
        parts: list[bytes],
        interval_s: float,
        first: int,
    ) -> None:
        """Write a response part by part."""
        run_id = call.headers["x-request-id"]
        size = sum(map(len, parts))
        lines = {
            "close": "Connection: close",
            "chunked": "Transfer-Encoding: chunked",
            "length": f"Content-Length: {size}",
        }
        self.busy_writers.add(call.writer)
        head = ["HTTP/1.1 200 X", f"X-Request-Id: {run_id}", STAMP, lines[framing]]
        await call.send("\r\n".join([*head, "", ""]))
        for number, part in enumerate(parts, first):
            if call.writer in self.backend.crashed_writers:
                return
            self.runs[run_id] = number
            data = b"%x\r\n%s\r\n" % (len(part), part) if framing == "chunked" else part
            await call.send(data)
            await asyncio.sleep(interval_s)
        self.runs.pop(run_id, None)
        if framing == "chunked":
            await call.send("0\r\n\r\n")
        elif framing == "close":
            call.writer.close()
