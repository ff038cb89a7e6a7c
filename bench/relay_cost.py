"""Measures the CPU time of a request and of an event of a stream at a gateway.

Caller, gateway and backend server share one process, so that the values are upper
bounds of the gateway's CPU time. Prints one line of JSON.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from loguru import logger

from support.gateway_world import (
    KEY,
    PROMPT_HEADERS,
    ReceivedRequest,
    ScriptedBackend,
    World,
)

REQUESTS = 300
"""Plain requests in one round."""

STREAM_EVENTS = (200, 2_200)
"""Events of a short and of a long stream.

The cost of an event is the difference of the streams' CPU times, which excludes the
cost of a request.
"""

ROUNDS = 7
"""Rounds, of which the median is reported."""

UNLIMITED = {
    "name": "choir",
    "api_keys": [KEY],
    "unit": "token_count",
    "plain_tokens": 10,
    "rate_per_s": 1e9,
    "burst": 1e9,
}
"""A client account whose limits are not reached."""


async def respond(call: ReceivedRequest) -> None:
    """Respond to a plain request, or stream the number of events in the path."""
    if not call.target.startswith("/draft/"):
        await call.answer(200, "x" * 800)
        return
    await call.begin_stream()
    for number in range(1, int(call.target.rpartition("/")[2]) + 1):
        await call.event(number)
    await call.end_stream()


async def measure_cpu_s(world: World, path: str, times: int = 1) -> float:
    """Return the CPU time of sequential requests in seconds.

    Args:
        world: Gateway and backend server.
        path: Path of the requests.
        times: Number of requests.
    """
    headers = PROMPT_HEADERS if path.startswith("/draft/") else {}
    started_s = time.process_time()
    for _ in range(times):
        response = await world.send_request(path, headers=headers)
        if response.status != 200:
            raise RuntimeError(f"{path}: expected status 200, got {response.status}")
    return time.process_time() - started_s


async def measure() -> dict[str, float]:
    """Return the CPU time of a request and of an event in milliseconds."""
    requests, events = [], []
    short, long = STREAM_EVENTS
    for _ in range(ROUNDS):
        world = World(ScriptedBackend("i-1", [respond]), tenants=[UNLIMITED])
        await world.start()
        requests.append(await measure_cpu_s(world, "/buy/1", REQUESTS) / REQUESTS)
        stream_cpu_s = await measure_cpu_s(world, f"/draft/{long}")
        stream_cpu_s -= await measure_cpu_s(world, f"/draft/{short}")
        events.append(stream_cpu_s / (long - short))
    return {
        "request_ms": round(median(requests) * 1000, 3),
        "event_ms": round(median(events) * 1000, 4),
    }


if __name__ == "__main__":
    logger.remove()
    print(json.dumps(asyncio.run(measure())))
