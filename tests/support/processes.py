"""Starts the programs as separate processes on the loopback address."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import orjson
import urllib3

from tanagerturn.deploy import (
    DeploymentPlan,
    control_section,
    entry_section,
    free_port,
    process_yaml,
    state_section,
)

if TYPE_CHECKING:
    from pathlib import Path

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0


@dataclass(kw_only=True)
class ChildProcess:
    """A child process of a test."""

    popen: subprocess.Popen[bytes] | None = None
    """Handle of the process; None until it is started."""

    def alive(self) -> bool:
        """Return whether the process is running."""
        return self.popen is not None and self.popen.poll() is None

    def kill(self) -> None:
        """Kill the process with SIGKILL if it is running."""
        if self.alive():
            self.popen.kill()
            self.popen.wait(STOP_TIMEOUT_S)


@dataclass
class Program(ChildProcess):
    """A process that runs one of the programs with a generated settings file."""

    name: str
    """Id of the process in its settings."""
    module: str
    """Module whose `main` is called."""
    path: Path
    """Path of the settings file."""
    operations: str
    """IP address and port of the operations listener."""
    callers: str = ""
    """IP address and port of the listener for callers; empty for other roles than
    entry."""
    announcements: str = ""
    """IP address and port of the announcement listener; empty for other roles than
    entry."""

    @property
    def log_path(self) -> Path:
        """Path of the file with the output of all its starts."""
        return self.path.with_suffix(".log")

    def start(self) -> None:
        """Start the process; append its output to a .log file beside the settings."""
        log = self.log_path.open("ab")
        command = [sys.executable, "-c", f"from {self.module} import main; main()"]
        self.popen = subprocess.Popen(
            [*command, "--settings", str(self.path)], stdout=log, stderr=log
        )
        log.close()

    def stop(self) -> int:
        """Send SIGTERM, wait for the process to stop and return its exit code."""
        self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_S)


@dataclass
class Cluster:
    """The processes of one deployment."""

    plan: DeploymentPlan
    """Number of processes of each role, and their settings."""
    states: list[Program] = field(default_factory=list)
    """State processes."""
    controls: list[Program] = field(default_factory=list)
    """Control processes."""
    entries: list[Program] = field(default_factory=list)
    """Entry processes."""
    addresses: list[str] = field(default_factory=list)
    """IP address and port of each state member."""
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False)
    )
    """HTTP client for the operations listeners."""

    @property
    def programs(self) -> list[Program]:
        """Return the state, control and entry processes."""
        return [*self.states, *self.controls, *self.entries]

    @property
    def log_paths(self) -> list[Path]:
        """Return the log files of all processes, which exist once they started."""
        return [program.log_path for program in self.programs]

    def dump(self, program: Program) -> dict:
        """Return the state dump of a process, decoded from JSON."""
        response = self.http.request("GET", f"http://{program.operations}/dump")
        return orjson.loads(response.data)

    def ready(self, program: Program) -> bool:
        """Return whether a process is ready; False if it does not respond."""
        try:
            response = self.http.request("GET", f"http://{program.operations}/ready")
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    def close(self) -> None:
        """Kill the processes that are still running."""
        for program in self.programs:
            program.kill()


def make_cluster(plan: DeploymentPlan) -> Cluster:
    """Write the settings files of a plan's processes; does not start them."""
    cluster = Cluster(plan)
    cluster.addresses = [f"127.0.0.1:{free_port()}" for _ in range(plan.state_members)]
    for index in range(plan.state_members):
        section = state_section(plan, f"state-{index + 1}", cluster.addresses[index])
        cluster.states.append(_program(cluster, "state", index, section))
    for index in range(plan.controls):
        cluster.controls.append(
            _program(cluster, "control", index, control_section(plan))
        )
    for index in range(plan.entries):
        callers, announcements = free_port(), free_port()
        section = entry_section(plan, callers, announcements)
        program = _program(cluster, "entry", index, section)
        program.callers = f"127.0.0.1:{callers}"
        program.announcements = f"127.0.0.1:{announcements}"
        cluster.entries.append(program)
    return cluster


def wait_for(condition, what: str, timeout_s: float = START_TIMEOUT_S) -> None:
    """Wait until a condition holds; fail if it does not within `timeout_s`."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, f"timed out waiting for {what}"
        time.sleep(0.05)


def _program(cluster: Cluster, role: str, index: int, section: str) -> Program:
    plan = cluster.plan
    name = f"{role}-{index + 1}"
    port = free_port()
    text = process_yaml(plan, cluster.addresses, name, index, section, port)
    plan.data_folder.mkdir(parents=True, exist_ok=True)
    path = plan.data_folder / f"{name}.yaml"
    path.write_text(text, encoding="utf-8")
    return Program(name, f"tanagerturn.{role}.main", path, f"127.0.0.1:{port}")
