"""Starts the gateways of a small deployment as processes, each on its own loopback IP.

Only the standard library is used. The processes are started with the command of
`deploy/system.toml`, in the repository's root.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).resolve().parents[2]
RUN = "target/tanagerturn/tanagerturn/platform/run.py"

FRONT_PORT = 8221
READY_PORT = 8224
CONTROL_PORT = 8229

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

SETTINGS = """\
node_name={name}
role=gateway
machine_class=edge
serves=edge,control_plane
ip={ip}
zone={zone}
region=veneto
zones.z1=veneto
zones.z2=veneto
zones.z3=veneto
zones.z4=veneto
listen.front={ip}:8221
listen.ready={ip}:8224
listen.control={ip}:8229
internal_ports=7600,7615
seeds={seeds}
bootstrap={bootstrap}
loss_counts={counts}
limits.cpu_share=0.968
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb={disk_mb}
data_dir={data_dir}
discovery=registration
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,leader
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=5000
bounds.strict_revoke=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_allowance=58
bounds.quota_window_s=8
bounds.quota_overage=0.1
bounds.quota_allowance=190000
bounds.fencing_enforced=false
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.report_window_s=5
bounds.usage_tolerance=0.05
bounds.usage_late_s=10
bounds.recover_s=12
bounds.pass_ms=120
bounds.reuse_window_s=10
config_mode=highest
{cloud}"""

CLOUD = """\
cloud.address={address}
cloud.rate_per_s=50.0
cloud.duties=usage_report,autoscale
cloud.duty_per_s=50.0
"""


class Record:
    """The file `record.txt` of a case: one line for each thing sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_s = time.monotonic()
        self.lock = threading.Lock()

    def line(self, text: str) -> None:
        """Write one line with the time in seconds since the start."""
        with self.lock:
            stamp = time.monotonic() - self.started_s
            self.file.write(f"{stamp:8.3f} {text}\n")
            self.file.flush()


class Gateway:
    """One gateway process."""

    def __init__(
        self, deployment: Deployment, number: int, ip: str, *, has_disk: bool
    ) -> None:
        self.deployment = deployment
        self.name = f"edge-{number}"
        self.ip = ip
        self.zone = f"z{(number - 1) % 4 + 1}"
        self.has_disk = has_disk
        self.bootstrap = True
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def folder(self) -> Path:
        """Folder with the settings file, the log and the data folder."""
        return self.deployment.folder / self.name

    def start(self) -> None:
        """Write the settings file and start the process."""
        self.folder.mkdir(parents=True, exist_ok=True)
        data = self.folder / "data"
        data.mkdir(exist_ok=True)
        settings = self.folder / "node.conf"
        cloud = self.deployment.cloud_address
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                seeds=",".join(f"{s}:{CONTROL_PORT}" for s in self.deployment.seeds),
                bootstrap=str(self.bootstrap).lower(),
                counts=str(self.has_disk).lower(),
                disk_mb=64 if self.has_disk else 0,
                data_dir=data,
                cloud=CLOUD.format(address=cloud) if cloud else "",
            ),
            encoding="utf-8",
        )
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": "target/deps",
            "TANAGERTURN_SETTINGS": str(settings),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, RUN], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.deployment.record.line(f"started {self.name} at {self.ip}")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.deployment.record.line(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def control(
        self, method: str, path: str, body: object = None, timeout_s: float = 1.5
    ) -> tuple[int, bytes]:
        """Make one call to the control listener; status 0 stands for no answer."""
        data = None if body is None else json.dumps(body).encode()
        return call(f"{self.ip}:{CONTROL_PORT}", method, path, {}, data, timeout_s)

    def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        return call(f"{self.ip}:{READY_PORT}", "GET", "/v1/readyz")[0] == 200

    def events(self) -> list[dict[str, object]]:
        """Return the records of the process's log."""
        found = []
        for line in (self.folder / "log").read_bytes().splitlines():
            if line.startswith(b"{") and line.endswith(b"}"):
                found.append(json.loads(line))
        return found


class Deployment:
    """Gateways, of which the first four have a disk."""

    def __init__(
        self,
        record: Record,
        count: int = 4,
        disks: int = 4,
        seeds: tuple[int, ...] = (1, 2, 3),
        cloud_address: str = "",
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        subnet = f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"
        self.subnet = subnet
        self.seeds = [f"{subnet}.{number}" for number in seeds]
        self.cloud_address = cloud_address
        self.gateways = [
            Gateway(self, n, f"{subnet}.{n}", has_disk=n <= disks)
            for n in range(1, count + 1)
        ]

    def start(self) -> None:
        """Start all gateways within 0.3 s."""
        for gateway in self.gateways:
            gateway.start()

    def close(self) -> None:
        """Kill all processes and remove the temporary folder."""
        for gateway in self.gateways:
            gateway.kill()
        if os.environ.get("KEEP"):
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    timeout_s: float = 1.5,
) -> tuple[int, bytes]:
    """Make one HTTP call on a new connection; status 0 stands for no answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def accepts(address: str) -> bool:
    """Return whether something listens at an address."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), 0.5).close()
    except OSError:
        return False
    return True


def manifest(version: int, **changes: object) -> dict[str, object]:
    """Return a small valid manifest."""
    base: dict[str, object] = {
        "version": version,
        "routes": [
            {
                "name": "r-desk",
                "host": "site.example",
                "path_prefix": "/desk/",
                "route_type": "non_idempotent",
                "timeout_ms": 1500,
                "slo_ms": 125,
                "priority": 2,
                "service": "desk",
                "max_attempts": 1,
                "anonymous": True,
                "session_affinity": False,
                "stream_resume": False,
            }
        ],
        "services": [
            {
                "name": "desk",
                "health_path": "/healthz",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    return {**base, **changes}


def run_case(main: Callable[[], int]) -> NoReturn:
    """Run a case and exit with its result, or with 2 if it fails by itself."""
    try:
        result = main()
    except Exception:
        traceback.print_exc()
        result = EXIT_NOT_RUN
    sys.exit(result)


def wait_for(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return True
        time.sleep(0.05)
    return False
