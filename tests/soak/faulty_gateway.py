"""Runs one gateway whose clock, disk and link listener take faults from outside.

The real program runs; only what it asks of the system is changed: the wall clock
and fdatasync as a file says, and its link listener binds beside the address that
others know, where a proxy listens.
"""

from __future__ import annotations

import json
import os
import sys
import time
from pathlib import Path

LINK_SHIFT = 50
"""Distance of the bound link port from the one that others know."""

FAULTS_VARIABLE = "SOAK_FAULTS"
"""Names the file with the faults in force: clock_ms and disk_stall_s."""

LOOK_S = 0.05
"""Time between two looks at the file."""


class Faults:
    """Faults in force, read from a file now and then."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.looked_s = 0.0
        self.told: dict[str, float] = {}

    def get(self, name: str) -> float:
        """Return one figure; 0 when it is not told."""
        now_s = time.monotonic()
        if now_s - self.looked_s > LOOK_S:
            self.looked_s = now_s
            if self.path.exists():
                self.told = json.loads(self.path.read_text(encoding="utf-8"))
        return self.told.get(name, 0.0)


def main() -> int:
    """Put the faults in place and run the gateway."""
    faults = Faults(Path(os.environ[FAULTS_VARIABLE]))
    true_time_ns, true_fdatasync = time.time_ns, os.fdatasync

    def fdatasync(descriptor: int) -> None:
        time.sleep(faults.get("disk_stall_s"))
        true_fdatasync(descriptor)

    time.time_ns = lambda: true_time_ns() + int(faults.get("clock_ms")) * 1_000_000
    os.fdatasync = fdatasync
    from tanagerturn.gateway.links import Links
    from tanagerturn.platform.main import main as run_gateway

    listen = Links.listen

    async def listen_beside(self: Links, address: str) -> None:
        ip, _, port = address.rpartition(":")
        await listen(self, f"{ip}:{int(port) + LINK_SHIFT}")

    Links.listen = listen_beside
    return run_gateway()


if __name__ == "__main__":
    sys.exit(main())
