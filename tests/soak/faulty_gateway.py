"""Runs one gateway with injected faults of its clock, disk and link listener.

The real program runs with three functions replaced: a file controls the errors of the
wall clock and the delay of fdatasync, and the link listener binds to another port than
the one that peers know. A proxy listens on the port that peers know.
"""

from __future__ import annotations

import json
import os
import sys
import time
from pathlib import Path

LINK_PORT_OFFSET = 50
"""Offset of the bound link port from the one that peers know."""

FAULTS_VARIABLE = "SOAK_FAULTS"
"""Environment variable with the path of the JSON file of injected faults: clock_ms, the
error of the wall clock, and disk_stall_s, the delay of each fdatasync."""

REREAD_INTERVAL_S = 0.05
"""Interval in seconds at which the file of injected faults is reread."""


class Faults:
    """Injected faults, reread periodically from a file."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.read_at_s = 0.0
        self.values: dict[str, float] = {}

    def get(self, name: str) -> float:
        """Return the value of a fault; 0 when the fault is not injected."""
        now_s = time.monotonic()
        if now_s - self.read_at_s > REREAD_INTERVAL_S:
            self.read_at_s = now_s
            if self.path.exists():
                self.values = json.loads(self.path.read_text(encoding="utf-8"))
        return self.values.get(name, 0.0)


def main() -> int:
    """Inject the faults and run the gateway."""
    faults = Faults(Path(os.environ[FAULTS_VARIABLE]))
    real_time_ns, real_fdatasync = time.time_ns, os.fdatasync

    def fdatasync(descriptor: int) -> None:
        time.sleep(faults.get("disk_stall_s"))
        real_fdatasync(descriptor)

    time.time_ns = lambda: real_time_ns() + int(faults.get("clock_ms")) * 1_000_000
    os.fdatasync = fdatasync
    from tanagerturn.gateway.links import Links
    from tanagerturn.platform.main import main as run_gateway

    listen = Links.listen

    async def listen_behind_proxy(self: Links, address: str) -> None:
        ip, _, port = address.rpartition(":")
        await listen(self, f"{ip}:{int(port) + LINK_PORT_OFFSET}")

    Links.listen = listen_behind_proxy
    return run_gateway()


if __name__ == "__main__":
    sys.exit(main())
