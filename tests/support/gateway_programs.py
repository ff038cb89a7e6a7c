"""Gateways as processes, each with its own loopback address."""

from __future__ import annotations

import os
import random
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import orjson
import urllib3

from support.host_disks import child_environment
from support.processes import ChildProcess
from tanagerturn import platform
from tanagerturn.platform.settings import SETTINGS_VARIABLE

if TYPE_CHECKING:
    from collections.abc import Sequence

    from support.host_disks import SyncRange

ROOT = Path(__file__).parents[2]
SCRIPT = Path(platform.__file__).with_name("run.py")
CALLERS_PORT = 8221
READINESS_PORT = 8224
CONTROL_PORT = 8229
INTERNAL_PORTS = (7600, 7615)

STOP_TIMEOUT_S = 20.0
"""Timeout of a graceful stop in seconds: `grace_s` and a margin for a busy machine."""


@dataclass
class GatewayProgram(ChildProcess):
    """One gateway process."""

    name: str
    """Name of the host."""
    ip: str
    """Loopback IP address."""
    folder: Path
    """Folder with the settings file, log and data."""
    seeds: Sequence[str]
    """IP addresses of the seeds."""
    has_disk: bool = True
    """Whether the host has a disk, so that the gateway is a state group member."""
    script: Path = SCRIPT
    """Python script that the process runs."""
    source: Path | None = None
    """Import path of the build that the process runs; None for that of the tests."""
    contracts: str = ""
    """Optional behaviour that the settings ask for; empty for none."""
    starts: int = 0
    """Number of starts of the process."""
    limits: dict[str, int] = field(default_factory=dict)
    """Further `limits.*` fields of the settings file and their values."""
    bounds: dict[str, int] = field(default_factory=dict)
    """Further `bounds.*` fields of the settings file and their values."""
    sync_s: SyncRange | None = None
    """Shortest and longest time in seconds of a sync; None for the machine's disk."""

    @property
    def settings_path(self) -> Path:
        """Path of the settings file."""
        return self.folder / f"{self.name}.settings"

    def write_settings(self, *, is_first_start: bool = True) -> None:
        """Write the settings file."""
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
            f"bootstrap={str(is_first_start).lower()}",
            "fault_tolerance.machines=1",
        ]
        lines += [f"limits.{name}={value}" for name, value in self.limits.items()]
        lines += [f"bounds.{name}={value}" for name, value in self.bounds.items()]
        if self.has_disk:
            lines += [f"data_dir={self.folder / self.name}", "limits.disk_mb=64"]
        if self.contracts:
            lines.append(f"contracts={self.contracts}")
        self.settings_path.write_text("\n".join(lines), encoding="utf-8")

    def start(self, *, is_first_start: bool = True) -> None:
        """Start the process with its log beside the settings file."""
        self.write_settings(is_first_start=is_first_start)
        self.starts += 1
        environment = {**os.environ, SETTINGS_VARIABLE: str(self.settings_path)}
        if self.source is not None:
            environment["PYTHONPATH"] = str(self.source)
        if self.sync_s is not None:
            import_path = environment.get("PYTHONPATH", "")
            environment |= child_environment(self.sync_s, import_path)
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, str(self.script)],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def log_path(self) -> Path:
        """Path of the log file."""
        return self.folder / f"{self.name}.log"

    def events(self, name: str) -> list[dict[str, object]]:
        """Return the log records of the event with this name."""
        found = []
        for line in self.log_path.read_bytes().splitlines():
            if line.startswith(b"{") and line.endswith(b"}"):
                record = orjson.loads(line)
                if record.get("event") == name:
                    found.append(record)
        return found

    def is_ready(self, http: urllib3.PoolManager) -> bool:
        """Return whether the readiness endpoint accepts callers."""
        url = f"http://{self.ip}:{READINESS_PORT}/v1/readyz"
        try:
            return http.request("GET", url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)


def extract_build(commit: str, folder: Path) -> Path:
    """Extract the source of a commit below a folder; return its import path."""
    archive = subprocess.run(
        ["git", "-C", str(ROOT), "archive", commit, "src"],
        check=True,
        capture_output=True,
    )
    target = folder / "earlier-build"
    target.mkdir()
    subprocess.run(["tar", "-x", "-C", str(target)], input=archive.stdout, check=True)
    return target / "src"


def make_programs(folder: Path, with_disk: int, diskless: int) -> list[GatewayProgram]:
    """Return gateways h1, h2, ..., of which the first ones have a disk."""
    subnet = f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"
    seeds = [f"{subnet}.{number}" for number in (1, 2, 3)]
    return [
        GatewayProgram(f"h{n}", f"{subnet}.{n}", folder, seeds, n <= with_disk)
        for n in range(1, with_disk + diskless + 1)
    ]
