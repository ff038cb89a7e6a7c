"""Backend servers of the soak test, which record the requests that they execute."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import orjson

from soak.history import EVENTS_PER_STREAM
from soak.proxy import Proxy
from support.gateway_programs import CONTROL_PORT
from support.gateway_world import (
    STAMP,
    ReceivedRequest,
    ScriptedBackend,
    read_response,
)

if TYPE_CHECKING:
    from random import Random

    from soak.history import History
    from support.gateway_programs import GatewayProgram

ANNOUNCE_INTERVAL_S = 0.5
"""Interval of announcements in seconds; half of the interval that gateways expect."""

CALL_TIMEOUT_S = 1.0
"""Timeout of a call to a gateway's control listener in seconds."""

SERVICE_TIME_S = 0.015
"""Duration of one plain request, and time between two events of a stream, in
seconds."""

NO_RESPONSE_S = 5.0
"""Time in seconds for which a request gets no response; longer than any caller
waits."""

RESET_PROBABILITY, FAIL_PROBABILITY, REJECT_PROBABILITY, SILENT_PROBABILITY = (
    0.01,
    0.01,
    0.01,
    0.002,
)
"""Probabilities that a backend server resets, fails, rejects and never responds to a
request; a few of each in a run of half a minute."""


BODY_DELIMITERS = ("length", "chunks", "close")
"""How a plain body may be delimited, drawn for each response."""


class SoakBackend:
    """One backend server behind a proxy, which announces itself.

    Args:
        id: Id of the backend server; it changes when the server is replaced.
        history: Records executed requests.
        random: Chooses the requests that fail.
    """

    def __init__(self, id: str, history: History, random: Random) -> None:
        self.id = id
        """Id of the backend server; it changes when the server is replaced."""
        self.history = history
        """Records executed requests."""
        self.random = random
        """Chooses the requests that fail."""
        self.engine = ScriptedBackend(id, [self.serve])
        """HTTP server that runs the requests."""
        self.start_number = 1
        """Number of the process start, which increases when the server is replaced."""
        self.sequence = 0
        """Number of the last announcement."""
        self.is_leaving = False
        """Whether it announces that it leaves."""
        self.is_withdrawn = False
        """Whether it has withdrawn, and announces nothing any more."""
        self.running: set[str] = set()
        """Ids of the requests that it executes."""
        self.forbidden_from_s: float | None = None
        """Event loop time in seconds from which a request is a violation; None while
        requests are allowed."""
        self.proxy: Proxy

    async def start(self) -> None:
        """Start the HTTP server and the proxy in front of it."""
        await self.engine.start()
        self.proxy = Proxy("127.0.0.1:0", self.engine.address)
        await self.proxy.start()

    def replace(self) -> None:
        """Let another backend server take over the address, with a new id."""
        self.start_number += 1
        self.id = f"{self.engine.id}-{self.start_number}"
        self.sequence = 0
        self.is_withdrawn = False

    async def crash(self, down_s: float, *, keeps_id: bool) -> None:
        """Crash, and serve again after a time in seconds as another start."""
        self.history.aborted_by_backend |= self.running
        self.engine.crash()
        self.engine.is_down = True
        await asyncio.sleep(down_s)
        self.engine.is_down = False
        if keeps_id:
            self.start_number += 1
            self.sequence = 0
        else:
            self.replace()

    async def serve(self, call: ReceivedRequest) -> None:
        """Execute one request."""
        request_id = call.headers["x-request-id"]
        if call.headers.get("x-expect-instance") != self.id:
            await call.answer(421, "", "X-Not-Executed: 1", stamp=False)
            return
        now_s = asyncio.get_running_loop().time()
        if self.forbidden_from_s is not None and now_s > self.forbidden_from_s:
            late_s = now_s - self.forbidden_from_s
            self.history.violations.append(
                f"{request_id}: sent to {self.id} {late_s:.2f} s after its drain time"
            )
        draw = self.random.random()
        if draw < REJECT_PROBABILITY:
            await call.answer(503, "", "X-Not-Executed: 1")
            return
        self.history.on_execution(self.id, request_id, call.target)
        self.running.add(request_id)
        try:
            await self._execute(call, request_id, draw - REJECT_PROBABILITY)
        finally:
            self.running.discard(request_id)

    async def _execute(
        self, call: ReceivedRequest, request_id: str, draw: float
    ) -> None:
        if draw < SILENT_PROBABILITY:
            self.history.aborted_by_backend.add(request_id)
            await asyncio.sleep(NO_RESPONSE_S)
        elif draw < SILENT_PROBABILITY + FAIL_PROBABILITY:
            await call.answer(500, "broken")
        elif call.target.startswith(("/notes/", "/draft/")):
            await self._stream(call, request_id)
        else:
            await asyncio.sleep(SERVICE_TIME_S)
            if draw < SILENT_PROBABILITY + FAIL_PROBABILITY + RESET_PROBABILITY:
                self._reset(call, request_id)
                return
            await self._send_body(call, f"{request_id}:{call.target}")

    async def _send_body(self, call: ReceivedRequest, body: str) -> None:
        """Send a plain body in two parts, with a pause between them."""
        delimiter = self.random.choice(BODY_DELIMITERS)
        line = {
            "length": f"Content-Length: {len(body)}\r\n",
            "chunks": "Transfer-Encoding: chunked\r\n",
            "close": "Connection: close\r\n",
        }[delimiter]
        own = f"X-Request-Id: {call.headers['x-request-id']}\r\n{STAMP}\r\n"
        await call.send(f"HTTP/1.1 200 X\r\n{own}{line}\r\n")
        middle = len(body) // 2
        for part in (body[:middle], body[middle:]):
            is_chunk = delimiter == "chunks"
            await call.send(f"{len(part):x}\r\n{part}\r\n" if is_chunk else part)
            await asyncio.sleep(SERVICE_TIME_S)
        if delimiter == "chunks":
            await call.send("0\r\n\r\n")
        if delimiter == "close":
            call.writer.close()

    async def _stream(self, call: ReceivedRequest, request_id: str) -> None:
        await call.begin_stream()
        first = int(call.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS_PER_STREAM + 1):
            if self.random.random() < RESET_PROBABILITY:
                await call.event(number, f"{request_id}/", cut=True)
                self._reset(call, request_id)
                return
            await call.event(number, f"{request_id}/")
            await asyncio.sleep(SERVICE_TIME_S)
        await call.end_stream()

    def _reset(self, call: ReceivedRequest, request_id: str) -> None:
        self.history.aborted_by_backend.add(request_id)
        call.reset()

    async def announce(self, program: GatewayProgram) -> bool:
        """Announce the backend server to a gateway; return whether it acknowledged."""
        self.sequence += 1
        announcement = {
            "service": "desk",
            "address": self.proxy.listen,
            "zone": "z1",
            "slots": 16,
            "version": "v1",
            "state": "draining" if self.is_leaving else "ready",
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.start_number,
        }
        if self.is_leaving:
            announcement["leaves_ms"] = 4000
        path = f"/v1/instances/{self.id}"
        status, _ = await call_control(program, "PUT", path, orjson.dumps(announcement))
        return status == 200

    async def withdraw(self, program: GatewayProgram) -> bool:
        """Withdraw at a gateway; return whether it acknowledged."""
        self.is_withdrawn = True
        body = orjson.dumps({"born": self.start_number})
        path = f"/v1/instances/{self.id}"
        status, _ = await call_control(program, "DELETE", path, body)
        return status == 200

    async def announce_periodically(self, programs: list[GatewayProgram]) -> None:
        """Announce the backend server to randomly chosen gateways."""
        while True:
            if not self.is_withdrawn:
                await self.announce(self.random.choice(programs))
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def call_control(
    program: GatewayProgram,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = CALL_TIMEOUT_S,
) -> tuple[int, bytes]:
    """Call a gateway's control listener; status 0 without a response."""
    return await call(program.ip, CONTROL_PORT, method, path, body, timeout_s)


async def call(
    ip: str, port: int, method: str, path: str, body: bytes, timeout_s: float
) -> tuple[int, bytes]:
    """Make one HTTP call on a new connection; status 0 without a response."""
    head = f"{method} {path} HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(head.encode() + body)
                answer = await read_response(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return 0, b""
    return answer.status, answer.body
