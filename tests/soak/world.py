"""The processes, backend servers and callers of one run, and fault injection."""

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
from soak.backends import CALL_TIMEOUT_S, SoakBackend, call, call_control
from soak.callers import Caller, caller_address
from soak.history import History
from soak.proxy import Proxy, ProxyFault
from soak.schedule import Fault, ScheduledFault
from support.gateway_programs import INTERNAL_PORTS, READINESS_PORT, make_programs
from support.gateway_world import manifest, route

DISK_COUNT, DISKLESS_COUNT, BACKEND_COUNT, CALLER_COUNT = 3, 3, 4, 16

START_TIMEOUT_S = 30.0
"""Timeout in seconds for the start of all gateways; long enough for a busy machine."""

RESTART_DELAY_S = 1.0
"""Time in seconds after which a killed gateway is restarted."""

STOP_TIMEOUT_S = 10.0
"""Timeout of a graceful stop in seconds: a grace period of 8 s and the exit of the
process."""

CONFIGURE_TIMEOUT_S = 8.0
"""Time in seconds for which an operator retries one configuration during faults."""

MAX_CLOCK_ERROR_MS = 4_000
"""Maximum error of a wall clock in milliseconds, ahead or behind."""

SYNC_DELAY_S = 0.3
"""Delay in seconds of each sync of a stalled disk."""

LINK_PORT = INTERNAL_PORTS[0]


class World:
    """Gateways, backend servers, callers and proxies of one run.

    Args:
        seed: Seed of all random choices.
        disk_count: Number of gateways with a disk.
    """

    def __init__(self, seed: int, disk_count: int = DISK_COUNT) -> None:
        self.random = Random(seed)
        """Source of all random choices but those of the schedule."""
        self.folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        """Folder with the settings, logs and data of the gateways."""
        self.programs = make_programs(self.folder, disk_count, DISKLESS_COUNT)
        """Gateway processes."""
        self.history = History()
        """Observations of the run."""
        self.backends = [
            SoakBackend(f"i-{n}", self.history, Random(seed * 100 + n))
            for n in range(BACKEND_COUNT)
        ]
        """Backend servers."""
        self.caller_proxies = [
            Proxy(caller_address(p.ip), caller_address(p.ip)) for p in self.programs
        ]
        """Proxies in front of the gateways' listeners for callers."""
        self.link_proxies = [
            Proxy(
                f"{p.ip}:{LINK_PORT}",
                f"{p.ip}:{LINK_PORT + faulty_gateway.LINK_PORT_OFFSET}",
            )
            for p in self.programs
        ]
        """Proxies in front of the gateways' listeners for links."""
        self.version = 0
        """Latest configuration version that was sent."""
        self.stopped_gateways: set[str] = set()
        """Names of gateways that the run has stopped."""
        self.tasks: set[asyncio.Task[None]] = set()
        """Tasks of callers, announcements and faults."""

    async def start(self) -> None:
        """Start proxies, gateways, backend servers and callers.

        The callers start once all gateways are ready.
        """
        for number, proxy in enumerate(self.caller_proxies):
            ip = self.programs[number].ip
            proxy.listen = f"{ip}:0"
            await proxy.start()
        for proxy in self.link_proxies:
            await proxy.start()
        for program in self.programs:
            program.script = Path(faulty_gateway.__file__)
            self._start_program(program)
        for backend in self.backends:
            await backend.start()
            self._start_task(backend.announce_periodically(self.programs))
        await self.wait_until(self._is_configured, "a configuration is accepted")
        await self.wait_until(self.all_ready, "all gateways are ready")
        for number in range(CALLER_COUNT):
            caller = Caller(
                number, self.caller_proxies, self.history, Random(self.random.random())
            )
            self._start_task(caller.run())
        self._start_task(self._watch_processes())

    def _start_program(self, program, *, is_first_start: bool = True) -> None:
        os.environ[faulty_gateway.FAULTS_VARIABLE] = str(self._faults_path(program))
        program.start(is_first_start=is_first_start)
        self.stopped_gateways.discard(program.name)

    def _faults_path(self, program) -> Path:
        return self.folder / f"{program.name}.faults"

    def _write_faults(self, program, **faults: float) -> None:
        path = self._faults_path(program)
        written = path.with_suffix(".new")
        written.write_text(json.dumps(faults), encoding="utf-8")
        written.replace(path)

    def _start_task(self, coroutine) -> asyncio.Task[None]:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        return task

    async def wait_until(
        self, condition, what: str, timeout_s: float = START_TIMEOUT_S
    ) -> bool:
        """Wait until a condition holds; record a violation on timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                while not await condition():
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.history.violations.append(
                f"timed out after {timeout_s} s waiting until {what}"
            )
            return False
        return True

    async def _is_configured(self) -> bool:
        return await self.configure(self.programs[0], timeout_s=1.0)

    async def all_ready(self) -> bool:
        """Return whether all gateways report that they are ready."""
        ready = await asyncio.gather(*(is_ready(p) for p in self.programs))
        return all(ready)

    async def configure(self, program, timeout_s: float = CONFIGURE_TIMEOUT_S) -> bool:
        """Send the next configuration to a gateway, with retries like an operator.

        Returns:
            Whether the gateway acknowledged it within `timeout_s` seconds.
        """
        self.version += 1
        version = self.version
        document = orjson.dumps(soak_manifest(version))
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while (left_s := end_s - loop.time()) > 0:
            status, _ = await call_control(
                program, "PUT", "/v1/config", document, left_s
            )
            if status == 200:
                self.history.on_acknowledged(version)
                return True
            if status == 400:
                self.history.violations.append(
                    f"valid configuration version {version} got status 400"
                )
                return False
            await asyncio.sleep(0.2)
        return False

    async def read(self, program) -> int | None:
        """Return the version in force as read at a gateway; None if not confirmed."""
        acknowledged_version = self.history.acknowledged_version
        status, body = await call_control(program, "GET", "/v1/config")
        if status != 200:
            return None
        version = orjson.loads(body)["version"]
        self.history.on_read(program.name, version, acknowledged_version)
        return version

    async def inject(self, schedule: list[ScheduledFault]) -> None:
        """Inject the scheduled faults and wait until all are over."""
        started_s = asyncio.get_running_loop().time()
        injections = []
        for scheduled in schedule:
            elapsed_s = asyncio.get_running_loop().time() - started_s
            await asyncio.sleep(max(0.0, scheduled.at_s - elapsed_s))
            injections.append(
                self._start_task(self.injectors[scheduled.fault](self, scheduled))
            )
            self._start_task(self._read_at_random_gateway())
        await asyncio.gather(*injections)

    async def _read_at_random_gateway(self) -> None:
        await self.read(self.random.choice(self.programs))

    async def _watch_processes(self) -> None:
        """Record a violation for each gateway that exits unexpectedly."""
        while True:
            for program in self.programs:
                if program.name not in self.stopped_gateways and not program.alive():
                    code = program.popen.returncode
                    self.history.violations.append(
                        f"{program.name} exited unexpectedly with code {code}"
                    )
                    self.stopped_gateways.add(program.name)
            await asyncio.sleep(0.1)

    def _gateway(self, scheduled: ScheduledFault):
        return self.programs[scheduled.target_number % len(self.programs)]

    async def restart(self, program, while_stopped=None) -> None:
        """Kill a gateway unless it is stopped, and restart it."""
        if program.name in self.stopped_gateways:
            return
        self.stopped_gateways.add(program.name)
        program.kill()
        if while_stopped is not None:
            while_stopped()
        await asyncio.sleep(RESTART_DELAY_S)
        self._start_program(program, is_first_start=False)

    async def _kill(self, scheduled: ScheduledFault) -> None:
        await self.restart(self._gateway(scheduled))

    async def _kill_all(self, scheduled: ScheduledFault) -> None:
        await asyncio.gather(*(self.restart(p) for p in self.programs))

    async def _lose_disk(self, scheduled: ScheduledFault) -> None:
        program = self.programs[scheduled.target_number % DISK_COUNT]
        data = self.folder / program.name
        if scheduled.target_number & 64:
            await self.restart(program, partial(shutil.rmtree, data))
        else:
            await self.restart(program, partial(flip_byte, data, self.random))

    async def _tear_log(self, scheduled: ScheduledFault) -> None:
        program = self.programs[scheduled.target_number % DISK_COUNT]
        data = self.folder / program.name
        await self.restart(program, partial(append_torn_write, data, self.random))

    async def _stop(self, scheduled: ScheduledFault) -> None:
        await self.stop(self._gateway(scheduled))

    async def stop(self, program) -> None:
        """Stop a gateway gracefully unless it is stopped, and restart it."""
        if program.name in self.stopped_gateways:
            return
        self.stopped_gateways.add(program.name)
        program.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                while program.alive():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.history.violations.append(
                f"{program.name} did not exit within {STOP_TIMEOUT_S} s of SIGTERM"
            )
            program.kill()
        code = program.popen.returncode
        # A process that does not listen yet may exit with any code.
        was_starting = len(program.events("started")) < program.starts
        if code not in (0, -signal.SIGKILL) and not was_starting:
            self.history.violations.append(
                f"{program.name} exited with code {code} after SIGTERM"
            )
        self._start_program(program, is_first_start=False)

    async def _reload(self, scheduled: ScheduledFault) -> None:
        program = self._gateway(scheduled)
        ips = [each.ip for each in self.programs]
        program.seeds = self.random.sample(ips, 3)
        program.write_settings(is_first_start=False)
        if program.name not in self.stopped_gateways:
            program.signal(signal.SIGHUP)

    async def _pause(self, scheduled: ScheduledFault) -> None:
        program = self._gateway(scheduled)
        if program.name in self.stopped_gateways:
            return
        process = program.popen
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(scheduled.length_s)
        # The gateway may have been killed and restarted as another process meanwhile.
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def _clock(self, scheduled: ScheduledFault) -> None:
        clock_error_ms = self.random.randint(-MAX_CLOCK_ERROR_MS, MAX_CLOCK_ERROR_MS)
        await self._fault_for(scheduled, clock_ms=clock_error_ms)

    async def _disk_stall(self, scheduled: ScheduledFault) -> None:
        await self._fault_for(scheduled, disk_stall_s=SYNC_DELAY_S)

    async def _fault_for(self, scheduled: ScheduledFault, **faults: float) -> None:
        program = self._gateway(scheduled)
        self._write_faults(program, **faults)
        await asyncio.sleep(scheduled.length_s)
        self._write_faults(program)

    async def _apply_proxy_fault(self, proxy: Proxy, scheduled: ScheduledFault) -> None:
        proxy_faults = [each for each in ProxyFault if each is not ProxyFault.NONE]
        proxy.fault = proxy_faults[scheduled.target_number // 64 % len(proxy_faults)]
        await asyncio.sleep(scheduled.length_s)
        proxy.fault = ProxyFault.NONE

    async def _fault_links(self, scheduled: ScheduledFault) -> None:
        await self._apply_proxy_fault(
            self.link_proxies[scheduled.target_number % len(self.link_proxies)],
            scheduled,
        )

    async def _fault_caller_connections(self, scheduled: ScheduledFault) -> None:
        await self._apply_proxy_fault(
            self.caller_proxies[scheduled.target_number % len(self.caller_proxies)],
            scheduled,
        )

    async def _fault_backend_connections(self, scheduled: ScheduledFault) -> None:
        await self._apply_proxy_fault(
            self.backends[scheduled.target_number % BACKEND_COUNT].proxy, scheduled
        )

    async def _reset(self, scheduled: ScheduledFault) -> None:
        proxies = [
            *self.link_proxies,
            *self.caller_proxies,
            *(b.proxy for b in self.backends),
        ]
        proxies[scheduled.target_number % len(proxies)].reset()

    async def _leave(self, scheduled: ScheduledFault) -> None:
        backend = self.backends[scheduled.target_number % BACKEND_COUNT]
        backend.is_leaving = True
        await asyncio.sleep(scheduled.length_s)
        backend.is_leaving = False

    async def _replace(self, scheduled: ScheduledFault) -> None:
        self.backends[scheduled.target_number % BACKEND_COUNT].replace()

    async def _configure(self, scheduled: ScheduledFault) -> None:
        await self.configure(self._gateway(scheduled))

    injectors = {
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
    }

    async def close(self) -> None:
        """Stop all tasks, proxies and gateways of the run."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for proxy in [
            *self.caller_proxies,
            *self.link_proxies,
            *(b.proxy for b in self.backends),
        ]:
            proxy.close()
        for program in self.programs:
            if program.alive():
                program.signal(signal.SIGCONT)
            program.kill()


def soak_manifest(version: int) -> dict[str, object]:
    """Return a configuration without effective rate limits and with one more route."""
    document = manifest(version=version)
    document["tenants"][0] |= {"rate_per_s": 1_000_000, "burst": 1_000_000}
    document["routes"].append(route(f"/version/{version}/", "idempotent"))
    return document


async def is_ready(program) -> bool:
    """Return whether a gateway reports that it is ready."""
    status, _ = await call(
        program.ip, READINESS_PORT, "GET", "/v1/readyz", b"", CALL_TIMEOUT_S
    )
    return status == 200


def log_files(data: Path) -> list[Path]:
    """Return the files of a member's replicated log, oldest first."""
    return sorted(path for path in data.rglob("log-*") if path.stat().st_size)


def append_torn_write(data: Path, random: Random) -> None:
    """Append random bytes to the newest log file, as after a crash within a write."""
    for path in log_files(data)[-1:]:
        with path.open("ab") as file:
            file.write(random.randbytes(random.randint(1, 200)))


def flip_byte(data: Path, random: Random) -> None:
    """Corrupt one byte of the newest log file of a member."""
    for path in log_files(data)[-1:]:
        content = bytearray(path.read_bytes())
        content[random.randrange(len(content))] ^= 0x20
        path.write_bytes(content)
