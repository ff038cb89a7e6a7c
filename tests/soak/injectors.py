"""Injection of each kind of fault."""

from __future__ import annotations

import asyncio
import shutil
import signal
from functools import partial
from typing import TYPE_CHECKING

from soak.disks import append_torn_write, fill_disks, flip_byte
from soak.engines import ENGINE_COUNT, ModelEngine
from soak.proxy import Proxy, ProxyFault
from soak.schedule import Fault, ScheduledFault

if TYPE_CHECKING:
    from soak.backends import SoakBackend
    from soak.world import World
    from support.gateway_programs import GatewayProgram

MAX_CLOCK_ERROR_MS = 4_000
"""Maximum error of a wall clock in milliseconds, ahead or behind."""

SYNC_DELAY_S = 0.3
"""Delay in seconds of each sync of a stalled disk."""


def _gateway(world: World, scheduled: ScheduledFault):
    return world.programs[scheduled.target_number % len(world.programs)]


async def _kill(world: World, scheduled: ScheduledFault) -> None:
    await world.restart(_gateway(world, scheduled))


def _with_disk(world: World, scheduled: ScheduledFault) -> GatewayProgram:
    programs = [program for program in world.programs if program.has_disk]
    return programs[scheduled.target_number % len(programs)]


def _backend(world: World, scheduled: ScheduledFault) -> SoakBackend:
    return world.backends[scheduled.target_number % len(world.backends)]


async def _kill_all(world: World, scheduled: ScheduledFault) -> None:
    await asyncio.gather(*(world.restart(p) for p in world.programs))


async def _lose_disk(world: World, scheduled: ScheduledFault) -> None:
    program = _with_disk(world, scheduled)
    data = world.folder / program.name
    if scheduled.target_number & 64:
        await world.restart(program, partial(shutil.rmtree, data))
    else:
        await world.restart(program, partial(flip_byte, data, world.random))


async def _tear_log(world: World, scheduled: ScheduledFault) -> None:
    program = _with_disk(world, scheduled)
    data = world.folder / program.name
    await world.restart(program, partial(append_torn_write, data, world.random))


async def _stop(world: World, scheduled: ScheduledFault) -> None:
    await world.stop(_gateway(world, scheduled))


async def _reload(world: World, scheduled: ScheduledFault) -> None:
    program = _gateway(world, scheduled)
    ips = [each.ip for each in world.programs]
    program.seeds = world.random.sample(ips, 3)
    program.write_settings(is_first_start=False)
    if program.name not in world.stopped_gateways:
        program.signal(signal.SIGHUP)


async def _pause(world: World, scheduled: ScheduledFault) -> None:
    program = _gateway(world, scheduled)
    if program.name in world.stopped_gateways:
        return
    process = program.popen
    with world.caller_proxy(program).disturbed():
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(scheduled.length_s)
        # The gateway may have been killed and started again meanwhile.
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)


async def _clock(world: World, scheduled: ScheduledFault) -> None:
    clock_error_ms = world.random.randint(-MAX_CLOCK_ERROR_MS, MAX_CLOCK_ERROR_MS)
    await _fault_for(world, scheduled, clock_ms=clock_error_ms)


async def _disk_stall(world: World, scheduled: ScheduledFault) -> None:
    await _fault_for(world, scheduled, disk_stall_s=SYNC_DELAY_S)


async def _lose_datagrams(world: World, scheduled: ScheduledFault) -> None:
    await _fault_for(world, scheduled, datagrams_lost=1)


async def _fault_for(world: World, scheduled: ScheduledFault, **faults: float) -> None:
    program = _gateway(world, scheduled)
    world.write_faults(program, **faults)
    await asyncio.sleep(scheduled.length_s)
    world.write_faults(program, **dict.fromkeys(faults, 0))


async def _apply_proxy_fault(proxy: Proxy, scheduled: ScheduledFault) -> None:
    proxy_faults = [each for each in ProxyFault if each is not ProxyFault.NONE]
    with proxy.disturbed():
        number = scheduled.target_number // 64 % len(proxy_faults)
        proxy.fault = proxy_faults[number]
        await asyncio.sleep(scheduled.length_s)
        proxy.fault = ProxyFault.NONE


async def _fault_links(world: World, scheduled: ScheduledFault) -> None:
    await _apply_proxy_fault(
        world.link_proxies[scheduled.target_number % len(world.link_proxies)],
        scheduled,
    )


async def _fault_caller_connections(world: World, scheduled: ScheduledFault) -> None:
    await _apply_proxy_fault(
        world.caller_proxies[scheduled.target_number % len(world.caller_proxies)],
        scheduled,
    )


async def _fault_backend_connections(world: World, scheduled: ScheduledFault) -> None:
    await _apply_proxy_fault(_backend(world, scheduled).proxy, scheduled)


async def _reset(world: World, scheduled: ScheduledFault) -> None:
    proxies = [
        *world.link_proxies,
        *world.caller_proxies,
        *(b.proxy for b in world.backends),
    ]
    proxy = proxies[scheduled.target_number % len(proxies)]
    # To callers, a gateway's own close in order has to be told from a fault.
    if scheduled.target_number & 64 and proxy not in world.caller_proxies:
        proxy.close_connections()
    else:
        proxy.reset()


async def _leave(world: World, scheduled: ScheduledFault) -> None:
    backend = _backend(world, scheduled)
    backend.is_leaving = True
    await asyncio.sleep(scheduled.length_s)
    backend.is_leaving = False


async def _replace(world: World, scheduled: ScheduledFault) -> None:
    _backend(world, scheduled).replace()


async def _configure(world: World, scheduled: ScheduledFault) -> None:
    await world.configure(_gateway(world, scheduled))


async def _engine_leaves(world: World, scheduled: ScheduledFault) -> None:
    await _engine(world, scheduled).leave(world.programs)


async def _engines_leave(world: World, scheduled: ScheduledFault) -> None:
    number = scheduled.target_number
    pair = [world.engines[(number + n) % ENGINE_COUNT] for n in range(2)]
    await asyncio.gather(*(engine.leave(world.programs) for engine in pair))


async def _engine_kill(world: World, scheduled: ScheduledFault) -> None:
    await _engine(world, scheduled).end(signal.SIGKILL)


async def _engine_stop(world: World, scheduled: ScheduledFault) -> None:
    await _engine(world, scheduled).end(signal.SIGTERM)


async def _engine_crash(world: World, scheduled: ScheduledFault) -> None:
    keeps_id = scheduled.target_number & 64 == 0
    await _engine(world, scheduled).crash(scheduled.length_s, keeps_id=keeps_id)


async def _backend_crash(world: World, scheduled: ScheduledFault) -> None:
    keeps_id = scheduled.target_number & 64 == 0
    await _backend(world, scheduled).crash(scheduled.length_s, keeps_id=keeps_id)


def _engine(world: World, scheduled: ScheduledFault) -> ModelEngine:
    return world.engines[scheduled.target_number % ENGINE_COUNT]


INJECTORS = {
    Fault.KILL: _kill,
    Fault.KILL_ALL: _kill_all,
    Fault.LOSE_DISK: _lose_disk,
    Fault.TEAR_LOG: _tear_log,
    Fault.STOP: _stop,
    Fault.RELOAD: _reload,
    Fault.PAUSE: _pause,
    Fault.CLOCK: _clock,
    Fault.DISK_STALL: _disk_stall,
    Fault.LINK: _fault_links,
    Fault.CALLERS: _fault_caller_connections,
    Fault.ENGINE: _fault_backend_connections,
    Fault.RESET: _reset,
    Fault.LEAVE: _leave,
    Fault.REPLACE: _replace,
    Fault.CONFIGURE: _configure,
    Fault.DATAGRAMS: _lose_datagrams,
    Fault.FULL_DISKS: fill_disks,
    Fault.ENGINE_LEAVES: _engine_leaves,
    Fault.ENGINES_LEAVE: _engines_leave,
    Fault.ENGINE_KILL: _engine_kill,
    Fault.ENGINE_STOP: _engine_stop,
    Fault.ENGINE_CRASH: _engine_crash,
    Fault.BACKEND_CRASH: _backend_crash,
}
