"""Measures the processor time of a request and of an event of a stream.

Caller, gateway and backend server share one process, so that the figures are upper
bounds of the gateway's part. Prints one line of JSON.
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
"""Plain requests of one round."""

EVENTS = (200, 2_200)
"""Events of a short and of a long stream; their difference is that of events."""

ROUNDS = 7
"""Rounds of which the middle one counts."""

UNLIMITED = {
    "name": "choir",
    "api_keys": [KEY],
    "unit": "token_count",
    "plain_tokens": 10,
    "rate_per_s": 1e9,
    "burst": 1e9,
}
"""A client account that meets no limit."""


async def serve(call: ReceivedRequest) -> None:
    """Answer a plain request, or stream as many events as the path says."""
    if not call.target.startswith("/draft/"):
        await call.answer(200, "x" * 800)
        return
    await call.begin_stream()
    for number in range(1, int(call.target.rpartition("/")[2]) + 1):
        await call.event(number)
    await call.end_stream()


async def spent_s(world: World, path: str, times: int = 1) -> float:
    """Return the processor time of requests one after the other."""
    headers = PROMPT_HEADERS if path.startswith("/draft/") else {}
    started_s = time.process_time()
    for _ in range(times):
        answer = await world.ask(path, headers=headers)
        if answer.status != 200:
            raise RuntimeError(f"{path}: status {answer.status}")
    return time.process_time() - started_s


async def measure() -> dict[str, float]:
    """Return the processor time of a request and of an event in milliseconds."""
    requests, events = [], []
    short, long = EVENTS
    for _ in range(ROUNDS):
        world = World(ScriptedBackend("i-1", [serve]), tenants=[UNLIMITED])
        await world.start()
        requests.append(await spent_s(world, "/buy/1", REQUESTS) / REQUESTS)
        more_s = await spent_s(world, f"/draft/{long}")
        more_s -= await spent_s(world, f"/draft/{short}")
        events.append(more_s / (long - short))
    return {
        "request_ms": round(median(requests) * 1000, 3),
        "event_ms": round(median(events) * 1000, 4),
    }


if __name__ == "__main__":
    logger.remove()
    print(json.dumps(asyncio.run(measure())))
