"""Gateway processes whose disks can be made full."""

from __future__ import annotations

import json
import os
import time
from pathlib import Path
from typing import TYPE_CHECKING

import orjson
import urllib3

from soak import faulty_gateway
from support.gateway_programs import CONTROL_PORT, make_programs
from support.gateway_world import manifest

if TYPE_CHECKING:
    from soak.faulty_gateway import FullDisk
    from support.gateway_programs import GatewayProgram

CALL_TIMEOUT_S = 2.0
"""Timeout in seconds of one call of an operator."""


class FullDiskPrograms:
    """Gateway processes with an operator that sends configurations to them.

    Args:
        folder: Folder with settings, logs, data and the switches of the disks.
        with_disk: Number of gateways with a disk.
        diskless: Number of gateways without one.
    """

    def __init__(self, folder: Path, with_disk: int, diskless: int) -> None:
        self.folder = folder
        self.programs = make_programs(folder, with_disk, diskless)
        self.http = urllib3.PoolManager(retries=False)
        self.version = 0
        """Latest configuration version that was sent."""
        self.acknowledged_version = 0
        """Latest configuration version that was confirmed."""

    def start(self, program: GatewayProgram, *, is_first_start: bool = True) -> None:
        """Start one process, whose switch stays as it is."""
        program.script = Path(faulty_gateway.__file__)
        switches = {
            faulty_gateway.FAULTS_VARIABLE: str(self._switch(program)),
            faulty_gateway.LINK_OFFSET_VARIABLE: "0",
        }
        os.environ.update(switches)
        try:
            program.start(is_first_start=is_first_start)
        finally:
            for name in switches:
                del os.environ[name]

    def fill(self, program: GatewayProgram, full: FullDisk) -> None:
        """Make the disk of a process full, or give it room."""
        path = self._switch(program)
        written = path.with_suffix(".new")
        written.write_text(json.dumps({"disk_full": full}), encoding="utf-8")
        written.replace(path)

    def put(self, program: GatewayProgram) -> bool:
        """Send the next configuration to a gateway; return whether it is confirmed."""
        self.version += 1
        version = self.version
        body = orjson.dumps(manifest(version=version))
        if self._call(program, "PUT", body)[0] != 200:
            return False
        self.acknowledged_version = version
        return True

    def put_until(self, program: GatewayProgram, timeout_s: float) -> bool:
        """Send configurations until one is confirmed or the time is over."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if self.put(program):
                return True
            time.sleep(0.1)
        return False

    def read(self, program: GatewayProgram) -> int:
        """Return the version that a gateway reads; 0 if it reads none."""
        status, body = self._call(program, "GET")
        return int(orjson.loads(body)["version"]) if status == 200 else 0

    def leader(self) -> GatewayProgram | None:
        """Return the gateway that became the leader last; None before the first."""
        led = [
            (orjson.loads(line)["at"], number)
            for number, program in enumerate(self.programs)
            for line in program.log_path.read_bytes().splitlines()
            if b"Became leader" in line
        ]
        return self.programs[max(led)[1]] if led else None

    def close(self) -> None:
        """Kill all processes."""
        for program in self.programs:
            program.kill()

    def _switch(self, program: GatewayProgram) -> Path:
        return self.folder / f"{program.name}.faults"

    def _call(
        self, program: GatewayProgram, method: str, body: bytes | None = None
    ) -> tuple[int, bytes]:
        url = f"http://{program.ip}:{CONTROL_PORT}/v1/config"
        try:
            answer = self.http.request(method, url, body=body, timeout=CALL_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return 0, b""
        return answer.status, answer.data
