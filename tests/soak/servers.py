"""Backend servers of the soak: they run everything and write down what they ran."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import orjson

from soak.ledger import EVENTS
from soak.proxy import Proxy
from support.gateway_programs import CONTROL_PORT
from support.gateway_world import Call, Engine, read_answer

if TYPE_CHECKING:
    from random import Random

    from soak.ledger import Ledger
    from support.gateway_programs import GatewayProgram

BEAT_S = 0.5
"""Time between two announcements, half of what gateways expect."""

CALL_TIMEOUT_S = 1.0
"""Longest time of a call to a gateway's control listener."""

WORK_S = 0.015
"""Time of one plain request, and between two events of a stream."""

SILENCE_S = 5.0
"""Time without an answer; longer than any caller waits."""

RESET_SHARE, FAIL_SHARE, REFUSE_SHARE, SILENT_SHARE = 0.01, 0.01, 0.01, 0.002
"""Shares of requests that a backend server breaks off, fails, rejects and never
answers; a few of each in a run of half a minute."""


class Server:
    """One backend server behind a proxy, which announces itself.

    Args:
        id: Its id.
        ledger: Where it writes what it ran.
        random: Decides what it fails.
    """

    def __init__(self, id: str, ledger: Ledger, random: Random) -> None:
        self.id = id
        """Its id; another one after it was replaced."""
        self.ledger = ledger
        """Where it writes what it ran."""
        self.random = random
        """Decides what it fails."""
        self.engine = Engine(id, [self.serve])
        """Its listener."""
        self.born = 1
        """Number of its start."""
        self.sequence = 0
        """Number of its last announcement."""
        self.is_leaving = False
        """It tells that it leaves."""
        self.forbidden_from_s: float | None = None
        """Loop time from which it must get no requests."""
        self.proxy: Proxy

    async def start(self) -> None:
        """Listen, behind a proxy."""
        await self.engine.start()
        self.proxy = Proxy("127.0.0.1:0", self.engine.address)
        await self.proxy.start()

    def replace(self) -> None:
        """Let another backend server take the address."""
        self.born += 1
        self.id = f"{self.engine.id}-{self.born}"
        self.sequence = 0

    async def serve(self, call: Call) -> None:
        """Run one request."""
        attempt = call.headers["x-request-id"]
        if call.headers.get("x-expect-instance") != self.id:
            await call.answer(421, "", "X-Not-Executed: 1", stamp=False)
            return
        now_s = asyncio.get_running_loop().time()
        if self.forbidden_from_s is not None and now_s > self.forbidden_from_s:
            late_s = now_s - self.forbidden_from_s
            self.ledger.faults.append(
                f"{attempt}: reached {self.id} {late_s:.2f} s after it had left"
            )
        chance = self.random.random()
        if chance < REFUSE_SHARE:
            await call.answer(503, "", "X-Not-Executed: 1")
            return
        self.ledger.on_run(self.id, attempt, call.target)
        chance -= REFUSE_SHARE
        if chance < SILENT_SHARE:
            self.ledger.broken_off.add(attempt)
            await asyncio.sleep(SILENCE_S)
        elif chance < SILENT_SHARE + FAIL_SHARE:
            await call.answer(500, "broken")
        elif call.target.startswith(("/notes/", "/draft/")):
            await self._stream(call, attempt)
        else:
            await asyncio.sleep(WORK_S)
            if chance < SILENT_SHARE + FAIL_SHARE + RESET_SHARE:
                self._reset(call, attempt)
                return
            await call.answer(200, f"{attempt}:{call.target}")

    async def _stream(self, call: Call, attempt: str) -> None:
        await call.begin_stream()
        first = int(call.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            if self.random.random() < RESET_SHARE:
                await call.event(number, f"{attempt}/", cut=True)
                self._reset(call, attempt)
                return
            await call.event(number, f"{attempt}/")
            await asyncio.sleep(WORK_S)
        await call.end_stream()

    def _reset(self, call: Call, attempt: str) -> None:
        self.ledger.broken_off.add(attempt)
        call.reset()

    async def announce(self, program: GatewayProgram) -> bool:
        """Tell one gateway what it is; return whether that was acknowledged."""
        self.sequence += 1
        told = {
            "service": "desk",
            "address": self.proxy.listen,
            "zone": "z1",
            "slots": 16,
            "state": "draining" if self.is_leaving else "ready",
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.is_leaving:
            told["leaves_ms"] = 4000
        path = f"/v1/instances/{self.id}"
        status, _ = await call_control(program, "PUT", path, orjson.dumps(told))
        return status == 200

    async def beat(self, programs: list[GatewayProgram]) -> None:
        """Announce it to one gateway after the other."""
        while True:
            await self.announce(self.random.choice(programs))
            await asyncio.sleep(BEAT_S)


async def call_control(
    program: GatewayProgram,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = CALL_TIMEOUT_S,
) -> tuple[int, bytes]:
    """Call a gateway's control listener; status 0 when it does not answer."""
    return await call(program.ip, CONTROL_PORT, method, path, body, timeout_s)


async def call(
    ip: str, port: int, method: str, path: str, body: bytes, timeout_s: float
) -> tuple[int, bytes]:
    """Make one call on a connection of its own; status 0 without an answer."""
    head = f"{method} {path} HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(head.encode() + body)
                answer = await read_answer(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return 0, b""
    return answer.status, answer.body
