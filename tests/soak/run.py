"""One run of the soak: faults, then a calm stretch in which all must be well."""

from __future__ import annotations

import asyncio
import shutil
import signal
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak.plan import draw_plan
from soak.world import STOP_S, World

if TYPE_CHECKING:
    from pathlib import Path

RECOVER_S = 15.0
"""Longest time from the last fault until everything is served and agreed again."""

IN_FORCE_S = 2.5
"""Time within which an acknowledged configuration is in force everywhere."""

DRAIN_S = 2.0
"""Time after which a backend server that has told one gateway gets no requests."""

CALM_S = 4.0
"""Length of each stretch without faults in which requests are counted."""

SERVED_SHARE = 0.9
"""Part of the requests of a calm stretch that is served: backend servers fail one
in thirty by themselves."""


@dataclass
class Outcome:
    """How a run ended."""

    seed: int
    """Its seed."""
    faults: list[str]
    """What broke a promise."""
    summary: str
    """Counts."""
    folder: Path
    """Logs and data; removed when nothing broke."""


def run_soak(seed: int, length_s: float) -> Outcome:
    """Play one seed and return how it ended."""
    return asyncio.run(_run(seed, length_s))


async def _run(seed: int, length_s: float) -> Outcome:
    world = World(seed)
    try:
        await world.start()
        await world.play(draw_plan(seed, length_s))
        await _recover(world)
        await _serve_calmly(world)
        await _drain_one(world)
        await _stop_one(world)
    finally:
        await world.close()
    faults = world.ledger.check_end()
    if not faults:
        shutil.rmtree(world.folder)
    return Outcome(seed, faults, world.ledger.summary(), world.folder)


async def _recover(world: World) -> None:
    """Wait until all gateways are ready and agree on the newest configuration."""

    async def agrees() -> bool:
        versions = await asyncio.gather(*(world.read(p) for p in world.programs))
        newest = world.ledger.acknowledged
        ready = await world.all_ready()
        return ready and all(v is not None and v >= newest for v in versions)

    await world.until(agrees, "all gateways agree after the faults", RECOVER_S)
    if not await world.configure(world.programs[-1]):
        world.ledger.faults.append("a configuration was not acknowledged when calm")
    await asyncio.sleep(IN_FORCE_S)
    for program in world.programs:
        if await world.read(program) is None:
            world.ledger.faults.append(f"{program.name} does not tell what is in force")


async def _serve_calmly(world: World) -> None:
    statuses = await _statuses_of(world, asyncio.sleep(CALM_S))
    served = statuses[200] / max(1, statuses.total())
    if served < SERVED_SHARE:
        world.ledger.faults.append(f"served {served:.0%} when calm: {statuses}")


async def _statuses_of(world: World, stretch) -> Counter[int]:
    """Return the statuses of the requests that were sent and ended in a stretch."""
    before = set(world.ledger.paths)
    await stretch
    sent = set(world.ledger.paths) - before
    # Some are still on their way; they count when they have ended.
    await asyncio.sleep(1.0)
    return Counter(world.ledger.statuses[attempt] for attempt in sent)


async def _drain_one(world: World) -> None:
    """A backend server that tells one gateway that it leaves gets nothing more."""
    server = world.servers[0]
    server.is_leaving = True
    if not await server.announce(world.programs[-1]):
        world.ledger.faults.append("an announcement was not acknowledged when calm")
        return
    server.forbidden_from_s = asyncio.get_running_loop().time() + DRAIN_S
    await asyncio.sleep(DRAIN_S + 1.0)
    server.forbidden_from_s = None
    server.is_leaving = False
    await server.announce(world.programs[-1])


async def _stop_one(world: World) -> None:
    """A planned stop cuts no request that the gateway has taken."""
    program, door = world.programs[0], world.doors[0]
    broken = set(world.ledger.cut)
    world.is_down.add(program.name)
    program.signal(signal.SIGTERM)
    async with asyncio.timeout(STOP_S):
        while program.alive():
            await asyncio.sleep(0.05)
    ledger = world.ledger
    # What a backend server broke off is not the stop's.
    for attempt in set(ledger.cut) - broken - ledger.broken_off:
        if ledger.cut[attempt] == door.listen and attempt in ledger.runs:
            ledger.faults.append(f"{attempt}: cut by a planned stop")
