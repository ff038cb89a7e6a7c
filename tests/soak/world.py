"""All processes, backend servers and callers of one run, and the faults in them."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import tempfile
from functools import partial
from pathlib import Path
from random import Random

import orjson

from soak import faulty_gateway
from soak.callers import Caller, make_door
from soak.ledger import Ledger
from soak.plan import Fault, Step
from soak.proxy import Proxy, ProxyFault
from soak.servers import CALL_TIMEOUT_S, Server, call, call_control
from support.gateway_programs import INTERNAL_PORTS, READINESS_PORT, make_programs
from support.gateway_world import manifest, route

DISKS, PLAIN, SERVERS, CALLERS = 3, 3, 4, 16

START_S = 30.0
"""Longest time until all gateways are ready on a busy machine."""

BACK_S = 1.0
"""Time after which a killed gateway is started again."""

STOP_S = 10.0
"""Longest time of a planned stop: a grace of 8 s and the end of the process."""

ACKNOWLEDGED_S = 8.0
"""Longest time for which an operator tries one configuration while faults last."""

OFF_MS = 4_000
"""Largest error of a wall clock."""

STALL_S = 0.3
"""Time by which each sync of a stalled disk is late."""

LINK_PORT = INTERNAL_PORTS[0]


class World:
    """Everything of one run.

    Args:
        seed: Seed of all that is drawn.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        """Draws all but the plan."""
        self.folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        """Settings, logs and data of the gateways."""
        self.programs = make_programs(self.folder, DISKS, PLAIN)
        """The gateways."""
        self.ledger = Ledger()
        """What was seen."""
        self.servers = [
            Server(f"i-{n}", self.ledger, Random(seed * 100 + n))
            for n in range(SERVERS)
        ]
        """Backend servers."""
        self.doors = [Proxy(make_door(p.ip), make_door(p.ip)) for p in self.programs]
        """Proxies before the gateways' listeners for callers."""
        self.links = [
            Proxy(
                f"{p.ip}:{LINK_PORT}",
                f"{p.ip}:{LINK_PORT + faulty_gateway.LINK_SHIFT}",
            )
            for p in self.programs
        ]
        """Proxies before the gateways' listeners for links."""
        self.version = 0
        """Newest configuration that was sent."""
        self.is_down: set[str] = set()
        """Gateways that the run has stopped."""
        self.tasks: set[asyncio.Task[None]] = set()
        """Callers, announcements and faults."""

    async def start(self) -> None:
        """Start everything and wait until all gateways are ready."""
        for number, door in enumerate(self.doors):
            ip = self.programs[number].ip
            door.listen = f"{ip}:0"
            await door.start()
        for link in self.links:
            await link.start()
        for program in self.programs:
            program.script = Path(faulty_gateway.__file__)
            self._start_program(program)
        for server in self.servers:
            await server.start()
            self._keep(server.beat(self.programs))
        await self.until(self._is_configured, "a configuration is accepted")
        await self.until(self.all_ready, "all gateways are ready")
        for number in range(CALLERS):
            caller = Caller(
                number, self.doors, self.ledger, Random(self.random.random())
            )
            self._keep(caller.run())
        self._keep(self._watch())

    def _start_program(self, program, *, is_first_start: bool = True) -> None:
        os.environ[faulty_gateway.FAULTS_VARIABLE] = str(self._faults_path(program))
        program.start(is_first_start=is_first_start)
        self.is_down.discard(program.name)

    def _faults_path(self, program) -> Path:
        return self.folder / f"{program.name}.faults"

    def _tell_faults(self, program, **faults: float) -> None:
        path = self._faults_path(program)
        written = path.with_suffix(".new")
        written.write_text(json.dumps(faults), encoding="utf-8")
        written.replace(path)

    def _keep(self, coroutine) -> asyncio.Task[None]:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        return task

    async def until(self, condition, what: str, timeout_s: float = START_S) -> bool:
        """Wait for a condition; note it when it does not come true."""
        try:
            async with asyncio.timeout(timeout_s):
                while not await condition():
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.ledger.faults.append(f"not within {timeout_s} s: {what}")
            return False
        return True

    async def _is_configured(self) -> bool:
        return await self.configure(self.programs[0], timeout_s=1.0)

    async def all_ready(self) -> bool:
        """Tell whether all gateways say that callers may be sent to them."""
        ready = await asyncio.gather(*(is_ready(p) for p in self.programs))
        return all(ready)

    async def configure(self, program, timeout_s: float = ACKNOWLEDGED_S) -> bool:
        """Send the next configuration, as an operator who tries again."""
        self.version += 1
        version = self.version
        document = orjson.dumps(make_manifest(version))
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while (left_s := end_s - loop.time()) > 0:
            status, _ = await call_control(
                program, "PUT", "/v1/config", document, left_s
            )
            if status == 200:
                self.ledger.on_acknowledged(version)
                return True
            if status == 400:
                self.ledger.faults.append(f"valid version {version} got 400")
                return False
            await asyncio.sleep(0.2)
        return False

    async def read(self, program) -> int | None:
        """Read the configuration at one gateway; None when it does not tell."""
        least = self.ledger.acknowledged
        status, body = await call_control(program, "GET", "/v1/config")
        if status != 200:
            return None
        version = orjson.loads(body)["version"]
        self.ledger.on_read(program.name, version, least)
        return version

    async def play(self, steps: list[Step]) -> None:
        """Play faults, which overlap, and wait until all of them are over."""
        started_s = asyncio.get_running_loop().time()
        playing = []
        for step in steps:
            passed_s = asyncio.get_running_loop().time() - started_s
            await asyncio.sleep(max(0.0, step.at_s - passed_s))
            playing.append(self._keep(self.faults[step.fault](self, step)))
            self._keep(self._read_somewhere())
        await asyncio.gather(*playing)

    async def _read_somewhere(self) -> None:
        await self.read(self.random.choice(self.programs))

    async def _watch(self) -> None:
        """Note gateways that end by themselves."""
        while True:
            for program in self.programs:
                if program.name not in self.is_down and not program.alive():
                    code = program.popen.returncode
                    self.ledger.faults.append(f"{program.name} ended with {code}")
                    self.is_down.add(program.name)
            await asyncio.sleep(0.1)

    def _gateway(self, step: Step):
        return self.programs[step.where % len(self.programs)]

    async def _restart(self, program, at_rest=None) -> None:
        """Kill a gateway, unless it is down, and start it again."""
        if program.name in self.is_down:
            return
        self.is_down.add(program.name)
        program.kill()
        if at_rest is not None:
            at_rest()
        await asyncio.sleep(BACK_S)
        self._start_program(program, is_first_start=False)

    async def _kill(self, step: Step) -> None:
        await self._restart(self._gateway(step))

    async def _kill_all(self, step: Step) -> None:
        await asyncio.gather(*(self._restart(p) for p in self.programs))

    async def _lose_disk(self, step: Step) -> None:
        program = self.programs[step.where % DISKS]
        data = self.folder / program.name
        if step.where & 64:
            await self._restart(program, partial(shutil.rmtree, data))
        else:
            await self._restart(program, partial(flip_byte, data, self.random))

    async def _tear_log(self, step: Step) -> None:
        program = self.programs[step.where % DISKS]
        data = self.folder / program.name
        await self._restart(program, partial(append_torn, data, self.random))

    async def _stop(self, step: Step) -> None:
        program = self._gateway(step)
        if program.name in self.is_down:
            return
        self.is_down.add(program.name)
        program.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_S):
                while program.alive():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.ledger.faults.append(f"{program.name} did not stop in {STOP_S} s")
            program.kill()
        code = program.popen.returncode
        # A process that does not listen yet has nothing to end in order.
        was_young = len(program.events("started")) < program.starts
        if code not in (0, -signal.SIGKILL) and not was_young:
            self.ledger.faults.append(f"{program.name} stopped with {code}")
        self._start_program(program, is_first_start=False)

    async def _reload(self, step: Step) -> None:
        program = self._gateway(step)
        ips = [each.ip for each in self.programs]
        program.seeds = self.random.sample(ips, 3)
        program.write_settings(is_first_start=False)
        if program.name not in self.is_down:
            program.signal(signal.SIGHUP)

    async def _pause(self, step: Step) -> None:
        program = self._gateway(step)
        if program.name in self.is_down:
            return
        process = program.popen
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(step.length_s)
        # It may have been killed meanwhile; its next start is another process.
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def _clock(self, step: Step) -> None:
        off_ms = self.random.randint(-OFF_MS, OFF_MS)
        await self._fault_for(step, clock_ms=off_ms)

    async def _disk_stall(self, step: Step) -> None:
        await self._fault_for(step, disk_stall_s=STALL_S)

    async def _fault_for(self, step: Step, **faults: float) -> None:
        program = self._gateway(step)
        self._tell_faults(program, **faults)
        await asyncio.sleep(step.length_s)
        self._tell_faults(program)

    async def _harm(self, proxy: Proxy, step: Step) -> None:
        proxy_faults = [each for each in ProxyFault if each is not ProxyFault.NONE]
        proxy.fault = proxy_faults[step.where // 64 % len(proxy_faults)]
        await asyncio.sleep(step.length_s)
        proxy.fault = ProxyFault.NONE

    async def _harm_link(self, step: Step) -> None:
        await self._harm(self.links[step.where % len(self.links)], step)

    async def _harm_callers(self, step: Step) -> None:
        await self._harm(self.doors[step.where % len(self.doors)], step)

    async def _harm_server(self, step: Step) -> None:
        await self._harm(self.servers[step.where % SERVERS].proxy, step)

    async def _reset(self, step: Step) -> None:
        proxies = [*self.links, *self.doors, *(s.proxy for s in self.servers)]
        proxies[step.where % len(proxies)].reset()

    async def _leave(self, step: Step) -> None:
        server = self.servers[step.where % SERVERS]
        server.is_leaving = True
        await asyncio.sleep(step.length_s)
        server.is_leaving = False

    async def _replace(self, step: Step) -> None:
        self.servers[step.where % SERVERS].replace()

    async def _configure(self, step: Step) -> None:
        await self.configure(self._gateway(step))

    faults = {
        Fault.KILL: _kill,
        Fault.KILL_ALL: _kill_all,
        Fault.LOSE_DISK: _lose_disk,
        Fault.TEAR_LOG: _tear_log,
        Fault.STOP: _stop,
        Fault.RELOAD: _reload,
        Fault.PAUSE: _pause,
        Fault.CLOCK: _clock,
        Fault.DISK_STALL: _disk_stall,
        Fault.LINK: _harm_link,
        Fault.CALLERS: _harm_callers,
        Fault.ENGINE: _harm_server,
        Fault.RESET: _reset,
        Fault.LEAVE: _leave,
        Fault.REPLACE: _replace,
        Fault.CONFIGURE: _configure,
    }

    async def close(self) -> None:
        """End everything that this run has started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for proxy in [*self.doors, *self.links, *(s.proxy for s in self.servers)]:
            proxy.close()
        for program in self.programs:
            if program.alive():
                program.signal(signal.SIGCONT)
            program.kill()


def make_manifest(version: int) -> dict[str, object]:
    """Return a configuration in which callers meet no limit, with one more route."""
    document = manifest(version=version)
    document["tenants"][0] |= {"rate_per_s": 1_000_000, "burst": 1_000_000}
    document["routes"].append(route(f"/version/{version}/", "idempotent"))
    return document


async def is_ready(program) -> bool:
    """Tell whether a gateway says that callers may be sent to it."""
    status, _ = await call(
        program.ip, READINESS_PORT, "GET", "/v1/readyz", b"", CALL_TIMEOUT_S
    )
    return status == 200


def log_files(data: Path) -> list[Path]:
    """Return the files of a member's log, oldest first."""
    return sorted(path for path in data.rglob("log-*") if path.stat().st_size)


def append_torn(data: Path, random: Random) -> None:
    """Leave a part of a write that was not synced at the end of a log."""
    for path in log_files(data)[-1:]:
        with path.open("ab") as file:
            file.write(random.randbytes(random.randint(1, 200)))


def flip_byte(data: Path, random: Random) -> None:
    """Damage a byte of a log."""
    for path in log_files(data)[-1:]:
        content = bytearray(path.read_bytes())
        content[random.randrange(len(content))] ^= 0x20
        path.write_bytes(content)
