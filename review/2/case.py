"""The hosts with a disk are replaced by new ones, one after the other, as planned work."""

from __future__ import annotations

import json
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support.gateways import (  # noqa: E402
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    Deployment,
    Gateway,
    Record,
    manifest,
    run_case,
    wait_for,
)

CORE = 4
"""Number of hosts with a disk, as at the site."""

CATCH_UP_S = 4.0
"""`catch_up_s` of the settings: from then on the successors count."""

GRACE_S = 8.0
"""`grace_s` of the settings."""

RECOVER_S = 12.0
"""`recover_s` of the settings; the manifest is asked for until then, and longer."""

CONTACT_S = 3.0
"""`contact_ms` of the settings."""


def main() -> int:
    """Replace the hosts with a disk and judge whether the manifest can be read."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(record, count=CORE, disks=CORE)
    try:
        return play(deployment, record, trouble=trouble)
    finally:
        deployment.close()


def play(deployment: Deployment, record: Record, *, trouble: bool) -> int:
    """Return whether the confirmed manifest is still there at the end."""
    old = list(deployment.gateways)
    deployment.start()
    first = manifest(1)
    if not wait_for(lambda: old[0].control("PUT", "/v1/config", first)[0] == 200, 20):
        record.line("the first manifest was not confirmed")
        return EXIT_NOT_RUN
    record.line("PUT version 1 at edge-1: 200")
    time.sleep(CONTACT_S)
    new = [
        Gateway(deployment, n, f"{deployment.subnet}.{n}", has_disk=True)
        for n in range(CORE + 1, 2 * CORE + 1)
    ]
    for gateway in new:
        gateway.bootstrap = False
        deployment.gateways.append(gateway)
        gateway.start()
    if not wait_for(lambda: all(gateway.is_ready() for gateway in new), 20):
        record.line("the new hosts did not become ready")
        return EXIT_NOT_RUN
    record.line("all new hosts are ready")
    time.sleep(CATCH_UP_S)
    if read_at(new, record) != 1:
        record.line("the manifest could not be read before the stops")
        return EXIT_NOT_RUN
    if trouble:
        replace(old, record)
    else:
        time.sleep(GRACE_S + 2)
    present = new if trouble else deployment.gateways
    end_s = time.monotonic() + RECOVER_S + CONTACT_S
    version = None
    while time.monotonic() < end_s and version is None:
        status, _ = present[0].control("PUT", "/v1/config", manifest(2), 1.0)
        record.line(f"PUT version 2 at {present[0].name}: {status}")
        version = read_at(present, record)
        time.sleep(0.5)
    if version is None:
        record.line("BROKEN: the confirmed manifest does not come, nor does a change")
        return EXIT_BROKEN
    return EXIT_HELD


def replace(old: list[Gateway], record: Record) -> None:
    """Stop the old hosts for good: each gracefully, after the one before has ended."""
    for gateway in old:
        gateway.signal(signal.SIGTERM)
        assert gateway.process is not None
        code = gateway.process.wait(GRACE_S + 2)
        record.line(f"{gateway.name} has ended with code {code}")


def read_at(gateways: list[Gateway], record: Record) -> int | None:
    """Read the manifest at each gateway; return the newest version that came."""
    versions = []
    for gateway in gateways:
        status, body = gateway.control("GET", "/v1/config", None, 1.0)
        version = json.loads(body)["version"] if status == 200 else None
        record.line(f"GET at {gateway.name}: {status}, version {version}")
        versions += [version] if version is not None else []
    return max(versions, default=None)


if __name__ == "__main__":
    run_case(main)
