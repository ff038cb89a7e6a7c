"""Gateways as real processes, each at an address of its own on loopback."""

from __future__ import annotations

import os
import random
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import orjson
import urllib3

from support.processes import ChildProcess
from tanagerturn import platform
from tanagerturn.platform.settings import SETTINGS_VARIABLE

if TYPE_CHECKING:
    from collections.abc import Sequence

SCRIPT = Path(platform.__file__).with_name("run.py")
CALLERS_PORT = 8221
READINESS_PORT = 8224
CONTROL_PORT = 8229
INTERNAL_PORTS = (7600, 7615)

STOP_S = 20.0
"""Longest time of a planned stop: `grace_s` and a margin for a busy machine."""


@dataclass
class GatewayProgram(ChildProcess):
    """One gateway process."""

    name: str
    """Name of the host."""
    ip: str
    """Address on loopback."""
    folder: Path
    """Folder of its settings file, log and data."""
    seeds: Sequence[str]
    """Addresses of the seeds."""
    has_disk: bool = True
    """Whether it is a member of the state group."""
    script: Path = SCRIPT
    """Script that is run."""
    starts: int = 0
    """How often it was started."""

    @property
    def settings_path(self) -> Path:
        """Return the path of its settings file."""
        return self.folder / f"{self.name}.settings"

    def write_settings(self, *, first: bool = True) -> None:
        """Write its settings file."""
        seeds = ",".join(f"{ip}:{CONTROL_PORT}" for ip in self.seeds)
        first_port, last_port = INTERNAL_PORTS
        lines = [
            f"node_name={self.name}",
            f"zone=z{self.name}",
            "region=r",
            f"ip={self.ip}",
            f"listen.front={self.ip}:{CALLERS_PORT}",
            f"listen.ready={self.ip}:{READINESS_PORT}",
            f"listen.control={self.ip}:{CONTROL_PORT}",
            f"internal_ports={first_port},{last_port}",
            f"seeds={seeds}",
            f"bootstrap={str(first).lower()}",
            "fault_tolerance.machines=1",
        ]
        if self.has_disk:
            lines += [f"data_dir={self.folder / self.name}", "limits.disk_mb=64"]
        self.settings_path.write_text("\n".join(lines), encoding="utf-8")

    def start(self, *, first: bool = True) -> None:
        """Start the process; its log goes beside its settings file."""
        self.write_settings(first=first)
        self.starts += 1
        environment = {**os.environ, SETTINGS_VARIABLE: str(self.settings_path)}
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, str(self.script)],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def log_path(self) -> Path:
        """Return the path of its log."""
        return self.folder / f"{self.name}.log"

    def events(self, name: str) -> list[dict[str, object]]:
        """Return the log lines of an event."""
        found = []
        for line in self.log_path.read_bytes().splitlines():
            if line.startswith(b"{") and line.endswith(b"}"):
                record = orjson.loads(line)
                if record.get("event") == name:
                    found.append(record)
        return found

    def is_ready(self, http: urllib3.PoolManager) -> bool:
        """Tell whether it says that callers may be sent to it."""
        url = f"http://{self.ip}:{READINESS_PORT}/v1/readyz"
        try:
            return http.request("GET", url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        self.popen.send_signal(number)


def make_programs(folder: Path, disks: int, plain: int) -> list[GatewayProgram]:
    """Return gateways h1, h2, ... of which the first ones have a disk."""
    net = f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"
    seeds = [f"{net}.{number}" for number in (1, 2, 3)]
    return [
        GatewayProgram(f"h{n}", f"{net}.{n}", folder, seeds, n <= disks)
        for n in range(1, disks + plain + 1)
    ]
