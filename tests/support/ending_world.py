"""Gateways in front of engines whose streams end in different ways."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import time
from itertools import count
from pathlib import Path
from typing import TYPE_CHECKING

import orjson
import urllib3

from support.ending_engine import EndingEngine
from support.gateway_programs import CALLERS_PORT, CONTROL_PORT, make_programs
from support.gateway_world import (
    HOST,
    KEY,
    PROMPT_HEADERS,
    World,
    manifest,
    read_response,
    route,
)
from support.processes import wait_for
from tanagerturn.clocks import boot_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from support.gateway_programs import GatewayProgram
    from support.gateway_world import CallerResponse

LEAVES_MS = 900
"""Time in milliseconds that a leaving engine states; its streams are moved at once."""

TIMEOUT_MS = 8000
"""Timeout of the routes in milliseconds; a late answer to a move fits in."""

ANNOUNCE_INTERVAL_S = 0.5
"""Time in seconds between two announcements of an engine to a gateway process."""

BEGIN_TIMEOUT_S = 10.0
"""Time limit in seconds within which all responses have begun."""

RETRY_ALLOWANCE = 300
"""Retries that a service may get in a window; all streams of a scenario may be
resumed."""

SLOTS = 200
"""Slots of each engine; all streams of a scenario fit."""

RESUMABLE = "/notes/"
NOT_RESUMABLE = "/draft/"


def ending_manifest() -> dict[str, object]:
    """Return a manifest with a stream route that may be resumed, and others."""
    common = {"timeout_ms": TIMEOUT_MS, "slo_ms": 2000, "anonymous": True}
    streaming = {**common, "gap_slo_ms": 2000}
    routes = [
        route("/buy/", "non_idempotent", **common),
        route("/look/", "idempotent", max_attempts=2, **common),
        route(NOT_RESUMABLE, "streaming", **streaming),
        route(RESUMABLE, "streaming", max_attempts=2, stream_resume=True, **streaming),
    ]
    return manifest(routes=routes)


class EndingWorld:
    """One gateway, a relay of this process or a process of its own, and two engines.

    Only the first engine is known until `leave` or `announce_second`.

    Args:
        first_address: IP address and port of a first engine that is another process;
            empty for one of this process.
    """

    def __init__(self, first_address: str = "") -> None:
        self.first_address = first_address
        """IP address and port of a first engine that is another process; empty for one
        of this process."""
        self.engines = [EndingEngine("i-1"), EndingEngine("i-2", is_sound=True)]
        """The engines; moves go from the first to the second."""
        self.address = ("127.0.0.1", 0)
        """IP address and port for callers."""
        self.prompt = dict(PROMPT_HEADERS)
        """Headers that describe the generations."""
        self.numbers = count(1)
        """Numbers of the requests."""

    async def start(self) -> None:
        """Start the gateway and the engines."""
        self.world = World(*(e.backend for e in self.engines), **ending_manifest())
        await self.world.start()
        first, second = (engine.backend for engine in self.engines)
        self.world.state.fleet.view.forget(second.id)
        first.address = self.first_address or first.address
        self.world.announce(first, slots=SLOTS)
        self.address = ("127.0.0.1", self.world.port)

    async def wait_for_responses(self, number: int) -> None:
        """Wait until the gateway has got data of this many responses."""
        async with asyncio.timeout(BEGIN_TIMEOUT_S):
            while self.begun_count() < number:
                await asyncio.sleep(0.01)

    def begun_count(self) -> int:
        """Return the number of requests whose response has begun."""
        running = self.world.relay.sender.running
        streams = (RESUMABLE.strip("/"), NOT_RESUMABLE.strip("/"))
        return sum(
            run.progress.event_count > 0
            if run.route.name in streams
            else run.framing is not None
            for run in running
        )

    def announce_second(self) -> None:
        """Announce the second engine."""
        self.world.announce(self.engines[1].backend, slots=SLOTS)

    def announce_leaving(self) -> None:
        """Announce that the first engine leaves, without a move."""
        first = self.engines[0].backend
        self.world.announce(first, slots=SLOTS, leaving=True, leaving_in_ms=LEAVES_MS)

    async def leave(self) -> None:
        """Announce the second engine and that the first one leaves; begin moves."""
        self.announce_second()
        self.announce_leaving()
        self.world.relay.start_migrations(boot_s())

    async def close(self) -> None:
        """Stop what was started."""

    async def ask(
        self,
        path: str,
        method: str = "POST",
    ) -> CallerResponse:
        """Send one request and read its response.

        Args:
            path: Path of the request.
            method: HTTP method.
        """
        reader, writer = await asyncio.open_connection(*self.address)
        sent = {
            "Host": HOST,
            "X-Request-Id": f"r{next(self.numbers)}",
            "X-Deadline-Ms": str(TIMEOUT_MS),
            "Authorization": f"Bearer {KEY}",
            "Content-Length": "0",
            "Connection": "close",
            **self.prompt,
        }
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in sent.items() if value]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        try:
            return await read_response(reader)
        finally:
            writer.close()


class ProcessWorld(EndingWorld):
    """The same with gateway processes, of which one gets the requests.

    Args:
        closers: Takes what stops the processes.
        log_paths: Takes the paths of their logs.
    """

    def __init__(
        self, closers: list[Callable[[], object]], log_paths: list[Path]
    ) -> None:
        super().__init__()
        self.closers = closers
        """Takes what stops the processes."""
        self.log_paths = log_paths
        """Takes the paths of their logs."""
        self.states: dict[str, dict[str, object]] = {}
        """What each announced engine states of itself."""
        self.sequences = count(1)
        """Numbers of the announcements."""
        self.announcing: asyncio.Task[None] | None = None
        """Task that repeats the announcements."""
        self.http = urllib3.PoolManager(retries=False)
        """HTTP client."""

    async def start(self) -> None:
        """Start the gateway processes and the engines."""
        program = await asyncio.to_thread(self.start_programs)
        self.address = (program.ip, CALLERS_PORT)
        for engine in self.engines:
            await engine.backend.start()
        self.born_ms = int(time.time() * 1000)
        self.program = program
        self.states[self.engines[0].backend.id] = {"state": "ready"}
        await asyncio.to_thread(self.announce_all)
        self.announcing = asyncio.create_task(self.keep_announcing())

    def start_programs(self) -> GatewayProgram:
        """Start the gateway processes; return the one that gets the requests."""
        folder = Path(tempfile.mkdtemp())
        self.closers.append(lambda: shutil.rmtree(folder, ignore_errors=True))
        programs = make_programs(folder, 3, 0)
        for program in programs:
            program.bounds = {"retry_allowance": RETRY_ALLOWANCE}
            program.start()
            self.closers.append(program.kill)
            self.log_paths.append(program.log_path)
        document = orjson.dumps(ending_manifest())
        last = programs[-1]

        def accepts() -> bool:
            url = f"http://{last.ip}:{CONTROL_PORT}/v1/config"
            try:
                answer = self.http.request("PUT", url, body=document, timeout=2.0)
            except urllib3.exceptions.HTTPError:
                return False
            return answer.status == 200

        wait_for(accepts, "a configuration is accepted")
        wait_for(lambda: last.is_ready(self.http), "the gateway is ready")
        return last

    def begun_count(self) -> int:
        """Return the number of streams that the first engine has begun.

        The gateway itself moves no stream before it has an event of it.
        """
        return len(self.engines[0].runs)

    async def leave(self) -> None:
        """Announce the second engine, and then that the first one leaves."""
        first, second = (engine.backend for engine in self.engines)
        self.states[second.id] = {"state": "ready"}
        await asyncio.to_thread(self.announce_all)
        self.states[first.id] = {"state": "draining", "leaves_ms": LEAVES_MS}
        await asyncio.to_thread(self.announce_all)

    async def keep_announcing(self) -> None:
        """Repeat the announcements until the end."""
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
            await asyncio.to_thread(self.announce_all)

    def announce_all(self) -> None:
        """Announce each engine that has a state."""
        for engine in self.engines:
            stated = self.states.get(engine.backend.id)
            if stated is None:
                continue
            body = {
                "service": "desk",
                "address": engine.backend.address,
                "zone": "zh3",
                "version": "v1",
                "slots": SLOTS,
                "warmup_left_ms": 0,
                "sequence": next(self.sequences),
                "born": self.born_ms,
                **stated,
            }
            url = f"http://{self.program.ip}:{CONTROL_PORT}/v1/instances/"
            answer = self.http.request(
                "PUT", url + engine.backend.id, body=orjson.dumps(body), timeout=2.0
            )
            assert answer.status == 200, (answer.status, answer.data)

    async def close(self) -> None:
        """Stop the announcements."""
        if self.announcing is not None:
            self.announcing.cancel()
