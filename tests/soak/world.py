"""The processes, backend servers and callers of one run, and fault injection."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import orjson

from soak import faulty_gateway
from soak.backends import CALL_TIMEOUT_S, SoakBackend, call, call_control
from soak.callers import MODEL_DEMAND, Caller, caller_address
from soak.engines import ENGINE_COUNT, SERVICE, ModelEngine
from soak.history import History
from soak.injectors import INJECTORS
from soak.proxy import Proxy
from support.gateway_programs import (
    INTERNAL_PORTS,
    READINESS_PORT,
    ROOT,
    make_programs,
)
from support.gateway_world import manifest, route
from support.host_disks import SYNC_S, make_data_folder

if TYPE_CHECKING:
    from soak.schedule import ScheduledFault

DISK_COUNT, DISKLESS_COUNT, BACKEND_COUNT, CALLER_COUNT = 3, 3, 4, 16

MODEL_CALLER_COUNT = 24
"""Number of callers of the model engines; an engine runs some streams at most times."""

START_TIMEOUT_S = 30.0
"""Timeout in seconds for the start of all gateways; long enough for a busy machine."""

RESTART_DELAY_S = 1.0
"""Time in seconds after which a killed gateway is restarted."""

STOP_TIMEOUT_S = 10.0
"""Timeout of a graceful stop in seconds: a grace period of 8 s and the exit of the
process."""

CONFIGURE_TIMEOUT_S = 8.0
"""Time in seconds for which an operator retries one configuration during faults."""

LINK_PORT = INTERNAL_PORTS[0]


class World:
    """Gateways, backend servers, callers and proxies of one run.

    Args:
        seed: Seed of all random choices.
        disk_count: Number of gateways with a disk.
        diskless_count: Number of gateways without one.
    """

    def __init__(
        self,
        seed: int,
        disk_count: int = DISK_COUNT,
        diskless_count: int = DISKLESS_COUNT,
    ) -> None:
        self.seed = seed
        """Seed of all random choices."""
        self.random = Random(seed)
        """Source of all random choices but those of the schedule."""
        self.folder = make_data_folder(f"soak-{seed}-")
        """Folder with the settings, logs and data of the gateways."""
        self.programs = make_programs(self.folder, disk_count, diskless_count)
        """Gateway processes."""
        self.history = History()
        """Observations of the run."""
        self.backends = [
            SoakBackend(f"i-{n}", self.history, Random(seed * 100 + n))
            for n in range(BACKEND_COUNT)
        ]
        """Backend servers."""
        engine_ip = self.programs[0].ip.rpartition(".")[0]
        self.engines = [
            ModelEngine(
                n, f"{engine_ip}.{100 + n}", self.folder, Random(f"{seed} engine {n}")
            )
            for n in range(ENGINE_COUNT)
        ]
        """Model engine processes."""
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
        self.faults: dict[str, dict[str, float]] = {}
        """Injected faults of each gateway process, by its name."""
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
            program.sync_s = SYNC_S
            self._start_program(program)
        for backend in self.backends:
            await backend.start()
            self._start_task(backend.announce_periodically(self.programs))
        await asyncio.gather(*(engine.start() for engine in self.engines))
        for engine in self.engines:
            self._start_task(engine.announce_periodically(self.programs))
        await self.wait_until(self._is_configured, "a configuration is accepted")
        await self.wait_until(self.all_ready, "all gateways are ready")
        for number in range(CALLER_COUNT):
            caller = Caller(
                number, self.caller_proxies, self.history, Random(self.random.random())
            )
            self._start_task(caller.run())
        for number in range(MODEL_CALLER_COUNT):
            random = Random(f"{self.seed} caller {number}")
            caller = Caller(
                number, self.caller_proxies, self.history, random, MODEL_DEMAND
            )
            self._start_task(caller.run())
        self._start_task(self._watch_processes())

    def _start_program(self, program, *, is_first_start: bool = True) -> None:
        os.environ[faulty_gateway.FAULTS_VARIABLE] = str(self._faults_path(program))
        program.start(is_first_start=is_first_start)
        proxy = self.caller_proxy(program)
        proxy.is_earlier_build = program.source not in (None, ROOT / "src")
        self.stopped_gateways.discard(program.name)

    def caller_proxy(self, program) -> Proxy:
        """Return the proxy in front of a gateway's listener for callers."""
        return self.caller_proxies[self.programs.index(program)]

    def _faults_path(self, program) -> Path:
        return self.folder / f"{program.name}.faults"

    def write_faults(self, program, **changes: float) -> None:
        """Change the injected faults of a gateway process; the others go on."""
        faults = self.faults.setdefault(program.name, {})
        faults.update(changes)
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
                self._start_task(INJECTORS[scheduled.fault](self, scheduled))
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

    async def restart(self, program, while_stopped=None) -> None:
        """Kill a gateway unless it is stopped, and restart it."""
        if program.name in self.stopped_gateways:
            return
        self.stopped_gateways.add(program.name)
        with self.caller_proxy(program).disturbed():
            program.kill()
            if while_stopped is not None:
                while_stopped()
            await asyncio.sleep(RESTART_DELAY_S)
            self._start_program(program, is_first_start=False)

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

    def read_engine_steps(self) -> None:
        """Add the steps of the streams of model engines to the history."""
        history = self.history
        for engine in self.engines:
            history.on_engine_steps(engine.read_steps())
            history.engine_ends_s |= engine.ends_s

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
        for engine in self.engines:
            engine.kill()
        self.read_engine_steps()
        self._read_forwarded_requests()

    def _read_forwarded_requests(self) -> None:
        """Add to the history which requests went through which other gateways."""
        proxies = {p.name: self.caller_proxy(p) for p in self.programs}
        for program in self.programs:
            for line in program.events("forwarded"):
                self.history.on_forwarded(
                    str(line["request"]), proxies[str(line["peer"])].disturbed_s
                )


def soak_manifest(version: int) -> dict[str, object]:
    """Return a configuration without effective rate limits and with one more route."""
    document = manifest(version=version)
    document["tenants"][0] |= {"rate_per_s": 1_000_000, "burst": 1_000_000}
    stream = {
        "gap_slo_ms": 300,
        "slo_ms": 1000,
        "timeout_ms": 4000,
        "max_attempts": 3,
        "service": SERVICE,
    }
    document["routes"] += [
        route(f"/version/{version}/", "idempotent"),
        route("/sing/", "streaming", stream_resume=True, **stream),
        route("/solo/", "streaming", **stream),
    ]
    document["services"].append({"name": SERVICE, "health_path": "/healthz"})
    return document


async def is_ready(program) -> bool:
    """Return whether a gateway reports that it is ready."""
    status, _ = await call(
        program.ip, READINESS_PORT, "GET", "/v1/readyz", b"", CALL_TIMEOUT_S
    )
    return status == 200
