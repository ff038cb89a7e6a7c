"""Measures what responses without a length or chunks cost, by number of gateways.

Gateways, each a relay of its own, share one engine. Each of them gets some responses
without a length, one after the other, and as many with one. Printed are, per response:
calls to and connections at the engine, processor time, and the time from the engine's
last byte to the end at the caller.

    PYTHONPATH=src:tests python bench/unframed_responses.py --gateways 9
"""

from __future__ import annotations

import asyncio
import statistics
import time

import click
from loguru import logger

from support.gateway_world import KEY, PROMPT_HEADERS, STAMP, World

EVENTS = "".join(f"id: {n}\ndata: word{n}\n\n" for n in range(1, 4))
EVENT_PAUSE_S = 0.05
CALL_BODY = b'{"runs":[]}'

ACCOUNT = {"name": "choir", "api_keys": [KEY], "rate_per_s": 0}
"""Client account without a limit."""

MAX_GATEWAYS = 200
CONCURRENCY = 9
"""Number of requests at a time, so that one process can serve them."""


class Engine:
    """Engine that writes each response in two parts, and counts.

    Args:
        states_start: Whether its reports state its start.
    """

    def __init__(self, *, states_start: bool) -> None:
        self.id = "i-1"
        self.address = ""
        self.call_body = b'{"runs":[],"born":1}' if states_start else CALL_BODY
        self.calls = 0
        self.connections = 0
        self.ended_s: dict[str, float] = {}

    async def start(self) -> None:
        """Listen on a free port on loopback, once for all gateways."""
        if self.address:
            return
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.strip().split("\r\n")
                fields = dict(line.lower().split(": ", 1) for line in lines)
                await reader.readexactly(int(fields.get("content-length", "0")))
                if first.startswith("GET"):
                    self.calls += 1
                    length = f"Content-Length: {len(self.call_body)}\r\n"
                    head = f"HTTP/1.1 200 X\r\n{length}\r\n"
                    writer.write(head.encode() + self.call_body)
                    continue
                has_length = "/length" in first
                delimiter = (
                    f"Content-Length: {len(EVENTS)}"
                    if has_length
                    else "Connection: close"
                )
                request_id = fields["x-request-id"]
                lines = ["HTTP/1.1 200 X", f"X-Request-Id: {request_id}", STAMP]
                writer.write("\r\n".join([*lines, delimiter, "", ""]).encode())
                middle = len(EVENTS) // 3
                writer.write(EVENTS[:middle].encode())
                await asyncio.sleep(EVENT_PAUSE_S)
                writer.write(EVENTS[middle:].encode())
                self.ended_s[request_id] = time.monotonic()
                if not has_length:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


class Costs:
    """Costs of the responses of one path.

    Args:
        engine: The engine that writes them.
        path: Path of the requests.
    """

    def __init__(self, engine: Engine, path: str) -> None:
        self.engine = engine
        self.path = path
        self.calls = engine.calls
        self.connections = engine.connections
        self.cpu_s = time.process_time()
        self.waits_s: list[float] = []
        self.lost_count = 0
        self.slots = asyncio.Semaphore(CONCURRENCY)

    async def ask(self, world: World, number: int, rounds: int) -> None:
        """Send requests to one gateway, one after the other."""
        await self.slots.acquire()
        await world.start()
        self.slots.release()
        headers = PROMPT_HEADERS if self.path.startswith("/draft/") else {}
        for turn in range(rounds):
            id = f"{number}-{turn}{self.path}".replace("/", ".")
            async with self.slots:
                world.announce(self.engine, slots=4 * MAX_GATEWAYS)
                response = await world.send_request(
                    self.path, headers={**headers, "X-Request-Id": id}
                )
            if response.status == 200 and response.is_whole:
                self.waits_s.append(time.monotonic() - self.engine.ended_s[id])
            else:
                self.lost_count += 1

    def describe(self) -> str:
        """Return the costs per response."""
        count = len(self.waits_s) + self.lost_count
        calls = (self.engine.calls - self.calls) / count
        connections = (self.engine.connections - self.connections) / count
        cpu_ms = 1e3 * (time.process_time() - self.cpu_s) / count
        wait_ms = 1e3 * statistics.median(self.waits_s or [0])
        return (
            f"{self.path}: {calls:.2f} calls, {connections:.2f} connections,"
            f" {cpu_ms:.2f} ms of CPU, ends {wait_ms:.0f} ms later (median),"
            f" {self.lost_count} of {count} lost"
        )


async def measure(gateways: int, rounds: int, *, states_start: bool) -> None:
    """Print the costs of responses at a number of gateways."""
    for path in ("/look/length", "/look/close", "/draft/length", "/draft/close"):
        engine = Engine(states_start=states_start)
        worlds = [World(engine, tenants=[ACCOUNT]) for _ in range(gateways)]
        costs = Costs(engine, path)
        asking = (costs.ask(world, n, rounds) for n, world in enumerate(worlds))
        await asyncio.gather(*asking)
        click.echo(f"{gateways} gateways, {costs.describe()}")


@click.command()
@click.option("--gateways", default=9, help="Number of gateways.")
@click.option("--rounds", default=3, help="Number of responses of each kind.")
@click.option("--states-start", is_flag=True, help="Reports state the engine's start.")
def main(gateways: int, rounds: int, *, states_start: bool) -> None:
    """Measure one number of gateways."""
    logger.remove()
    asyncio.run(measure(gateways, rounds, states_start=states_start))


if __name__ == "__main__":
    main()
