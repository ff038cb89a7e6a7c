"""Runs three state members as separate processes for the benchmarks."""

from __future__ import annotations

import shutil
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import orjson
import psutil

from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.remote import connect
from tanagerturn.schema import settings_pb2

if TYPE_CHECKING:
    from tanagerturn.schema import coordination_pb2 as pb

MEMBERS: Final = 3
MEMBER_TIMEOUT_S: Final = 20.0
"""Timeout of the election of a leader and of the stop of a member."""

MEMBER_SCRIPT: Final = Path(__file__).with_name("state_member.py")
"""Script that runs a member."""


class Cluster:
    """Three state members whose settings and data are below one folder.

    Args:
        folder: Folder for settings and data; close removes it.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        """Folder for settings and data."""
        self.ports = free_ports(MEMBERS)
        """gRPC port of each member."""
        self.processes: dict[int, subprocess.Popen[str]] = {}
        """Processes of the running members, by the member's number from 0."""
        self.client = connect(self.addresses())
        """Client that is connected to all members."""

    def addresses(self) -> list[str]:
        """Return the addresses and ports of the members."""
        return [f"127.0.0.1:{port}" for port in self.ports]

    def start(self, number: int) -> None:
        """Start one member."""
        path = self.folder / f"member-{number}.settings"
        path.write_bytes(self.settings(number).SerializeToString())
        self.processes[number] = subprocess.Popen(
            [sys.executable, str(MEMBER_SCRIPT), str(path)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def settings(self, number: int) -> settings_pb2.ProcessSettings:
        """Return the settings of one member."""
        settings = settings_pb2.ProcessSettings(
            id=f"s{number}", cluster="bench", site="bench", availability_zone="a"
        )
        settings.state.grpc.ip = "127.0.0.1"
        settings.state.grpc.port = self.ports[number]
        settings.state.data_folder = str(self.folder / f"member-{number}")
        for other, address in enumerate(self.addresses()):
            settings.state_members.add(
                id=f"s{other}", address=address, availability_zone="a"
            )
        return settings

    def kill(self, number: int) -> None:
        """Kill one member."""
        process = self.processes.pop(number)
        process.kill()
        process.wait()

    def status(self, number: int) -> pb.GroupStatus | None:
        """Return the status of the control group at a member; None if not available."""
        response = self.client.status(self.addresses()[number], 0.5)
        if response.is_error() or not response.ok.groups:
            return None
        return next(g for g in response.ok.groups if g.group == CONTROL_GROUP)

    def leader(self) -> int:
        """Wait for a leader of the control group; return the member's number."""
        deadline_s = time.monotonic() + MEMBER_TIMEOUT_S
        while time.monotonic() < deadline_s:
            for number in self.processes:
                status = self.status(number)
                if status is not None and status.role == "leader":
                    return number
            time.sleep(0.02)
        raise TimeoutError(
            f"timed out after {MEMBER_TIMEOUT_S} s waiting for a leader of "
            "the control group"
        )

    def dump(self, number: int) -> dict[str, Any]:
        """Return the dump of one member."""
        process = self.processes[number]
        assert process.stdin is not None
        assert process.stdout is not None
        process.stdin.write("\n")
        process.stdin.flush()
        line = process.stdout.readline()
        while not line.startswith("{"):
            line = process.stdout.readline()
        return dict(orjson.loads(line))

    def sent_bytes(self, number: int) -> int:
        """Return the bytes that a member has sent to the other members."""
        streams = self.dump(number)["streams"].values()
        return sum(int(stream["sent_bytes"]) for stream in streams)

    def rss_mib(self, number: int) -> float:
        """Return the resident memory of one member in MiB."""
        process = psutil.Process(self.processes[number].pid)
        return float(process.memory_info().rss) / 2**20

    def cpu_s(self, number: int) -> float:
        """Return the CPU time of one member in seconds."""
        times = psutil.Process(self.processes[number].pid).cpu_times()
        return float(times.user + times.system)

    def close(self) -> None:
        """Stop all members and remove their files."""
        self.client.close()
        for process in self.processes.values():
            assert process.stdin is not None
            process.stdin.close()
        for process in self.processes.values():
            process.wait(timeout=MEMBER_TIMEOUT_S)
        shutil.rmtree(self.folder)


def start_cluster() -> Cluster:
    """Start three members in a temporary folder and wait for a leader."""
    cluster = Cluster(Path(tempfile.mkdtemp(prefix="state-bench-")))
    for number in range(MEMBERS):
        cluster.start(number)
    cluster.leader()
    return cluster


def free_ports(count: int) -> list[int]:
    """Return free TCP ports of the loopback interface."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [int(sock.getsockname()[1]) for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports
