"""Starts the real programs as processes of their own, on loopback."""

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
    control_part,
    entry_part,
    free_port,
    process_text,
    state_part,
)

if TYPE_CHECKING:
    from pathlib import Path

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0


@dataclass(kw_only=True)
class ChildProcess:
    """A process that a test starts."""

    popen: subprocess.Popen[bytes] | None = None
    """The process; None before its start."""

    def alive(self) -> bool:
        """Tell whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    def kill(self) -> None:
        """Kill the process at once, if it runs."""
        if self.alive():
            self.popen.kill()
            self.popen.wait(STOP_TIMEOUT_S)


@dataclass
class Program(ChildProcess):
    """One of the programs with a settings file of ours."""

    name: str
    """Name of the process."""
    module: str
    """Module that is run."""
    path: Path
    """Its settings file."""
    operations: str
    """Address of its operations listener."""
    callers: str = ""
    """Address of its callers' listener, for entry processes."""
    announcements: str = ""
    """Address of its announcement listener, for entry processes."""

    def start(self) -> None:
        """Start the process; its log goes beside its settings file."""
        log = self.path.with_suffix(".log").open("ab")
        command = [sys.executable, "-c", f"from {self.module} import main; main()"]
        self.popen = subprocess.Popen(
            [*command, "--settings", str(self.path)], stdout=log, stderr=log
        )
        log.close()

    def stop(self) -> int:
        """Stop the process gracefully and return its exit code."""
        self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_S)


@dataclass
class Cluster:
    """All processes of one deployment."""

    plan: DeploymentPlan
    """Roles and settings."""
    states: list[Program] = field(default_factory=list)
    """State processes."""
    controls: list[Program] = field(default_factory=list)
    """Control processes."""
    entries: list[Program] = field(default_factory=list)
    """Entry processes."""
    addresses: list[str] = field(default_factory=list)
    """Addresses of the state members."""
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False)
    )
    """Calls to operations listeners."""

    @property
    def programs(self) -> list[Program]:
        """Return all processes."""
        return [*self.states, *self.controls, *self.entries]

    def dump(self, program: Program) -> dict:
        """Return the state dump of a process."""
        answer = self.http.request("GET", f"http://{program.operations}/dump")
        return orjson.loads(answer.data)

    def ready(self, program: Program) -> bool:
        """Tell whether a process is ready."""
        try:
            answer = self.http.request("GET", f"http://{program.operations}/ready")
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def close(self) -> None:
        """Kill what still runs."""
        for program in self.programs:
            program.kill()


def make_cluster(plan: DeploymentPlan) -> Cluster:
    """Write the settings files of a plan's processes, without starting them."""
    cluster = Cluster(plan)
    cluster.addresses = [f"127.0.0.1:{free_port()}" for _ in range(plan.state_members)]
    for index in range(plan.state_members):
        part = state_part(plan, f"state-{index + 1}", cluster.addresses[index])
        cluster.states.append(_program(cluster, "state", index, part))
    for index in range(plan.controls):
        cluster.controls.append(_program(cluster, "control", index, control_part(plan)))
    for index in range(plan.entries):
        callers, announcements = free_port(), free_port()
        part = entry_part(plan, callers, announcements)
        program = _program(cluster, "entry", index, part)
        program.callers = f"127.0.0.1:{callers}"
        program.announcements = f"127.0.0.1:{announcements}"
        cluster.entries.append(program)
    return cluster


def wait_for(condition, what: str, timeout_s: float = START_TIMEOUT_S) -> None:
    """Wait until a condition holds; fail when it does not."""
    until_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < until_s, f"{what} did not happen"
        time.sleep(0.05)


def _program(cluster: Cluster, role: str, index: int, part: str) -> Program:
    plan = cluster.plan
    name = f"{role}-{index + 1}"
    port = free_port()
    text = process_text(plan, cluster.addresses, name, index, part, port)
    plan.data_folder.mkdir(parents=True, exist_ok=True)
    path = plan.data_folder / f"{name}.yaml"
    path.write_text(text, encoding="utf-8")
    return Program(name, f"tanagerturn.{role}.main", path, f"127.0.0.1:{port}")
