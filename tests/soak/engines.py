"""Model engines of the soak test, which run as processes and announce themselves."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import orjson

from soak import engine_program
from soak.backends import ANNOUNCE_INTERVAL_S, CALL_TIMEOUT_S, call, call_control
from support.processes import ChildProcess

if TYPE_CHECKING:
    from random import Random

    from support.gateway_programs import GatewayProgram

SERVICE = "models"
"""Name of the service of the engines."""

ENGINE_COUNT = 4
"""Number of engines; one or two of them may be gone at a time."""

PORT = 8230
"""Port of all engines, each of which has an address of its own."""

RESTART_DELAY_S = 1.0
"""Time in seconds after which an engine that has ended is started again."""

START_TIMEOUT_S = 20.0
"""Timeout of the start of an engine in seconds; long enough for a busy machine."""

LEAVING_MS = (1200, 2500)
"""Minimum and maximum time in milliseconds from the first report that an engine leaves
to its end."""


class ModelEngine(ChildProcess):
    """One model engine, which is a process of its own.

    Args:
        number: Number of the engine, part of its id.
        ip: Loopback IP address.
        folder: Folder of its files.
        random: Chooses seeds, times and the gateways that get announcements.
    """

    def __init__(self, number: int, ip: str, folder: Path, random: Random) -> None:
        super().__init__()
        self.number = number
        """Number of the engine, part of its id."""
        self.address = f"{ip}:{PORT}"
        """IP address and port."""
        self.folder = folder
        """Folder of its files."""
        self.random = random
        """Chooses seeds, times and the gateways that get announcements."""
        self.start_count = 0
        """Number of starts."""
        self.id = ""
        """Id of the engine since its last start; empty before the first one."""
        self.standby: subprocess.Popen[bytes] | None = None
        """Process of the next start, which waits to serve; None before the first."""
        self.listening: socket.socket | None = None
        """Socket that listens on even while no process serves; None without one."""
        if number % 2:
            self.listening = socket.create_server((ip, PORT))
        self.sequence = 0
        """Number of the last announcement."""
        self.read_bytes = 0
        """Number of bytes of the file of steps that were read."""
        self.ends_s: dict[str, float] = {}
        """Monotonic time in seconds of each end of the process, by the name of the
        start."""
        self.is_leaving = False
        """Whether it announces that it leaves."""
        self.is_faulted = False
        """Whether it is about to end, or has ended and is not started again yet."""

    @property
    def steps_path(self) -> Path:
        """Path of the file with the steps of its streams."""
        return self.folder / f"engine-{self.number}.steps"

    def name_of(self, start_number: int) -> str:
        """Return the name of a start."""
        return f"e-{self.number}-{start_number}"

    async def start(self, *, keeps_id: bool = False) -> None:
        """Start the process and wait until it listens."""
        self.popen = self.standby or self._spawn()
        self.start_count += 1
        name = self.name_of(self.start_count)
        self.sequence, self.is_leaving = 0, False
        self.id = self.id if keeps_id else name
        assert self.popen.stdin is not None
        self.popen.stdin.write(f"{self.id}\n".encode())
        self.popen.stdin.close()
        started_path = Path(f"{self.steps_path}.{name}")
        async with asyncio.timeout(START_TIMEOUT_S):
            while not started_path.exists():
                await asyncio.sleep(0.01)
        self.standby = self._spawn()

    def _spawn(self) -> subprocess.Popen[bytes]:
        """Start the process of the next start, which waits for its id."""
        descriptor = -1 if self.listening is None else self.listening.fileno()
        with (self.folder / f"engine-{self.number}.log").open("ab") as log:
            return subprocess.Popen(
                [
                    sys.executable,
                    engine_program.__file__,
                    self.name_of(self.start_count + 1),
                    self.address,
                    str(self.random.random()),
                    str(self.steps_path),
                    str(descriptor),
                ],
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
                stdin=subprocess.PIPE,
                stdout=log,
                stderr=log,
                pass_fds=[] if descriptor < 0 else [descriptor],
            )

    def kill(self) -> None:
        """Kill the process and the one that waits to follow it."""
        super().kill()
        if self.standby is not None:
            self.standby.kill()
            self.standby.wait()
        if self.listening is not None:
            self.listening.close()

    async def announce(self, program: GatewayProgram) -> bool:
        """Announce the engine to a gateway; return whether it acknowledged."""
        self.sequence += 1
        announcement = {
            "service": SERVICE,
            "address": self.address,
            "zone": "z1",
            "slots": 16,
            "version": "v1",
            "state": "draining" if self.is_leaving else "ready",
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.start_count,
            "spot": True,
        }
        path = f"/v1/instances/{self.id}"
        status, _ = await call_control(program, "PUT", path, orjson.dumps(announcement))
        return status == 200

    async def announce_periodically(self, programs: list[GatewayProgram]) -> None:
        """Announce the engine to randomly chosen gateways while it runs."""
        while True:
            if self.alive():
                await self.announce(self.random.choice(programs))
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def leave(self, programs: list[GatewayProgram]) -> None:
        """Let the engine leave as a reclaimed one does, and start it again later."""
        if self.is_faulted:
            return
        self.is_faulted = True
        time_ms = self.random.randint(*LEAVING_MS)
        ip, _, port = self.address.rpartition(":")
        path = f"{engine_program.LEAVE_PATH}{time_ms}"
        await call(ip, int(port), "POST", path, b"", CALL_TIMEOUT_S)
        self.is_leaving = True
        for _ in range(3):
            if await self.announce(self.random.choice(programs)):
                break
        while self.alive():
            await asyncio.sleep(0.02)
        if self.random.random() < 0.5:
            path = f"/v1/instances/{self.id}"
            await call_control(self.random.choice(programs), "DELETE", path)
        await self._start_again()

    async def end(self, number: signal.Signals) -> None:
        """End the engine without notice, and start it again later.

        Args:
            number: SIGKILL, after which the kernel closes its connections, or SIGTERM,
                on which it closes its streams in order.
        """
        if self.is_faulted:
            return
        self.is_faulted = True
        if self.popen is not None:
            self.popen.send_signal(number)
        while self.alive():
            await asyncio.sleep(0.02)
        await self._start_again()

    async def crash(self, down_s: float, *, keeps_id: bool) -> None:
        """Kill the engine, and start it again after a time in seconds."""
        if self.is_faulted:
            return
        self.is_faulted = True
        if self.popen is not None:
            self.popen.send_signal(signal.SIGKILL)
            self.popen.wait()
        await self._start_again(down_s, keeps_id=keeps_id)

    async def _start_again(
        self, delay_s: float = RESTART_DELAY_S, *, keeps_id: bool = False
    ) -> None:
        self.ends_s[self.name_of(self.start_count)] = time.monotonic()
        await asyncio.sleep(delay_s)
        await self.start(keeps_id=keeps_id)
        self.is_faulted = False

    def read_steps(self) -> list[dict[str, object]]:
        """Return the steps of streams since the last call."""
        if not self.steps_path.exists():
            return []
        with self.steps_path.open("rb") as file:
            file.seek(self.read_bytes)
            whole, newline, _ = file.read().rpartition(b"\n")
        self.read_bytes += len(whole + newline)
        return [orjson.loads(line) for line in whole.splitlines()]
