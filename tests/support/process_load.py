"""Loads a process with concurrent callers, and measures what it takes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from support.processes import ChildProcess

MIB: Final = 1024 * 1024

REST_FACTOR: Final = 1.5
"""Peak memory without the budget as a multiple of the memory at rest."""

SETTLE_S: Final = 60.0
"""Time in seconds after which a load ends although the process is still busy."""

SETTLE_WINDOW_S: Final = 1.0

BUSY_SHARE: Final = 0.3
"""A process that uses less than this share of a core over `SETTLE_WINDOW_S` has
processed what it was sent; idle programs take a few percent."""


@dataclass(frozen=True)
class Crowd:
    """Callers of one kind."""

    callers: int
    """Number of concurrent callers."""
    parts: Callable[[], Iterator[bytes]]
    """Returns what one caller sends."""
    port: int = 0
    """Port that they connect to; 0 for that of ordinary callers."""
    reads: bool = True
    """Whether the callers read the responses."""


class _Caller(asyncio.Protocol):
    """A caller that discards what it receives, or never reads."""

    def __init__(self, *, reads: bool) -> None:
        self.reads = reads
        self.can_write = asyncio.Event()
        self.can_write.set()
        self.is_closed = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        if not self.reads:
            transport.pause_reading()

    def pause_writing(self) -> None:
        self.can_write.clear()

    def resume_writing(self) -> None:
        self.can_write.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        self.can_write.set()


class LoadedProcess:
    """A process under load.

    Args:
        program: The process, which serves ordinary requests.
        ip: IP address of its listeners.
        port: Port for callers.
    """

    def __init__(self, program: ChildProcess, ip: str, port: int) -> None:
        self.program = program
        self.ip = ip
        self.port = port
        # The first seconds after the start take memory that is not the callers'.
        self.max_fds = 0
        self.settle()
        self.rest_bytes = self.memory("VmRSS")
        self.rest_fds = self.open_fds()
        self.max_fds = self.rest_fds
        # Resets the peak.
        with contextlib.suppress(OSError):
            self._proc("clear_refs").write_text("5", encoding="ascii")

    def _proc(self, name: str) -> Path:
        return Path(f"/proc/{self.program.popen.pid}/{name}")

    def memory(self, what: str) -> int:
        """Return a figure of the loaded process in bytes, such as `VmHWM`."""
        for line in self._proc("status").read_text(encoding="ascii").splitlines():
            if line.startswith(f"{what}:"):
                return int(line.split()[1]) * 1024
        raise KeyError(what)

    def open_fds(self) -> int:
        """Return the number of open descriptors of the loaded process."""
        return sum(1 for _ in self._proc("fd").iterdir())

    def processor_s(self) -> float:
        """Return the processor time of the loaded process in seconds."""
        fields = self._proc("stat").read_text(encoding="ascii").rpartition(")")[2]
        ticks = sum(int(each) for each in fields.split()[11:13])
        return ticks / os.sysconf("SC_CLK_TCK")

    def settle(self) -> None:
        """Wait until the process has processed what it was sent."""
        end_s = time.monotonic() + SETTLE_S
        while time.monotonic() < end_s and self.program.alive():
            before_s = self.processor_s()
            time.sleep(SETTLE_WINDOW_S)
            self.max_fds = max(self.max_fds, self.open_fds())
            if self.processor_s() - before_s < BUSY_SHARE * SETTLE_WINDOW_S:
                return

    def load(self, crowd: Crowd) -> None:
        """Let a crowd send what it has, stay open and then disconnect."""
        asyncio.run(self._load(crowd))

    async def _load(self, crowd: Crowd) -> None:
        loop = asyncio.get_running_loop()
        callers = [_Caller(reads=crowd.reads) for _ in range(crowd.callers)]

        async def call(caller: _Caller) -> None:
            sock = socket.socket()
            sock.setblocking(False)
            if not crowd.reads:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            try:
                await loop.sock_connect(sock, (self.ip, crowd.port or self.port))
                await loop.create_connection(lambda: caller, sock=sock)
            except OSError:
                sock.close()
                caller.is_closed = True
                return
            for part in crowd.parts():
                await caller.can_write.wait()
                if caller.is_closed:
                    return
                caller.transport.write(part)
                await asyncio.sleep(0)

        tasks = [asyncio.create_task(call(caller)) for caller in callers]
        await self._watch()
        for task in tasks:
            task.cancel()
        for caller in callers:
            if hasattr(caller, "transport") and not caller.is_closed:
                caller.transport.abort()
        await asyncio.sleep(0.1)

    async def _watch(self) -> None:
        """Return once the process has processed what the callers could send."""
        end_s = time.monotonic() + SETTLE_S
        last_s, checked_s = self.processor_s(), time.monotonic()
        while time.monotonic() < end_s and self.program.alive():
            await asyncio.sleep(0.05)
            self.max_fds = max(self.max_fds, self.open_fds())
            passed_s = time.monotonic() - checked_s
            if passed_s < SETTLE_WINDOW_S:
                continue
            used_s = self.processor_s() - last_s
            last_s, checked_s = self.processor_s(), time.monotonic()
            if used_s < BUSY_SHARE * passed_s:
                return

    def check_bounds(self, budget_bytes: int, max_fds: int) -> None:
        """Fail unless the process lives and has stayed within its bounds."""
        assert self.program.alive(), "the process has exited"
        print(self.summary())
        bound_bytes = REST_FACTOR * self.rest_bytes + budget_bytes
        assert self.memory("VmHWM") <= bound_bytes, self.summary()
        assert self.max_fds <= max_fds, self.summary()

    def summary(self) -> str:
        """Return the measured figures."""
        return (
            f"rest {self.rest_bytes / MIB:.1f} MB, {self.rest_fds} descriptors; peak"
            f" {self.memory('VmHWM') / MIB:.1f} MB, {self.max_fds} descriptors; after"
            f" {self.memory('VmRSS') / MIB:.1f} MB"
        )
