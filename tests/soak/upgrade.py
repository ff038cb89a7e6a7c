"""A run in which all gateways are replaced by another build, one after the other."""

from __future__ import annotations

import asyncio
import shutil
from random import Random
from typing import TYPE_CHECKING

from soak.run import (
    Outcome,
    check_recovery,
    check_served_fraction,
    record_cut_responses,
)
from soak.world import World
from support.gateway_programs import ROOT, extract_build

if TYPE_CHECKING:
    from pathlib import Path

    from support.gateway_programs import GatewayProgram

EARLIER_COMMIT = "d7c6c10"
"""Commit of the build that this one replaces."""

DISKS = 4
"""Number of gateways with a disk: three voters and a spare."""

STOP_PAUSE_S = (0.0, 3.0)
"""Shortest and longest pause in seconds between a start and the next stop."""

LEAVE_PAUSE_S = (0.0, 1.0)
"""Minimum and maximum time in seconds between the return of a model engine and the
departure of the next one."""

EARLIER_BUILD_PAUSE_S = 5.0
"""Pause in seconds after a stop of the earlier build, whose voters are replaced only
once they have been silent."""


def run_upgrade(seed: int, *, to_earlier: bool) -> Outcome:
    """Replace all gateways under traffic and return the result.

    Args:
        seed: Seed of the order, the pauses and the requests.
        to_earlier: Whether the earlier build replaces this one, not the reverse.
    """
    return asyncio.run(_run(seed, to_earlier=to_earlier))


async def _run(seed: int, *, to_earlier: bool) -> Outcome:
    world, random = World(seed, disk_count=DISKS), Random(seed)
    earlier, current = extract_build(EARLIER_COMMIT, world.folder), ROOT / "src"
    before, after = (current, earlier) if to_earlier else (earlier, current)
    for program in world.programs:
        program.source = before
    try:
        await world.start()
        leaving = asyncio.create_task(_let_engines_leave(world, random.random()))
        order = random.sample(world.programs, len(world.programs))
        for number, program in enumerate(order):
            stop = asyncio.create_task(_replace(world, program, after, current))
            if number == len(order) // 2:
                others = [each for each in order if each is not program]
                await asyncio.sleep(random.uniform(0.0, 3.0))
                await world.restart(random.choice(others))
            await world.configure(random.choice(world.programs), timeout_s=4.0)
            await stop
            pause_s = random.uniform(*STOP_PAUSE_S)
            is_earlier = before is earlier
            await asyncio.sleep(EARLIER_BUILD_PAUSE_S if is_earlier else pause_s)
        leaving.cancel()
        await check_recovery(world)
        await check_served_fraction(world)
    finally:
        await world.close()
    violations = world.history.find_violations()
    if not violations:
        shutil.rmtree(world.folder)
    return Outcome(seed, violations, world.history.summary(), world.folder)


async def _let_engines_leave(world: World, seed: float) -> None:
    """Let one model engine after another leave, so that streams are moved."""
    random = Random(seed)
    while True:
        await random.choice(world.engines).leave(world.programs)
        await asyncio.sleep(random.uniform(*LEAVE_PAUSE_S))


async def _replace(
    world: World, program: GatewayProgram, source: Path, current: Path
) -> None:
    """Stop a gateway and start another build in its place.

    A stop of the current build leaves no response incomplete.
    """
    incomplete_before = set(world.history.incomplete_responses)
    stopped = program.source
    program.source = source
    await world.stop(program)
    if stopped == current:
        record_cut_responses(world, program, incomplete_before)
