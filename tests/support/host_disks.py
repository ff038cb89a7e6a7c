"""Disks of simulated hosts: each host has its own, whose syncs take a stated time.

All folders of tests that run at the same time share the machine's disk, whose syncs
then take up to seconds. Hosts of a deployment do not share a disk, and bounds in time
of a test hold for hosts with a disk of their own.
"""

from __future__ import annotations

import os
import shutil
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Final

SyncRange = tuple[float, float]
"""Shortest and longest time in seconds of a sync."""

SYNC_S: Final[SyncRange] = (0.01, 0.03)
"""Syncs of a disk that works as usual."""

SLOW_SYNC_S: Final[SyncRange] = (0.05, 0.15)
"""Syncs of a slow disk."""

SYNC_VARIABLE: Final = "HOST_DISK_SYNC_S"
"""Environment variable of a child process whose syncs are simulated: the shortest and
the longest time in seconds, separated by a comma."""

HOOK_FOLDER: Final = Path(__file__).with_name("sync_hook")
"""Folder with the module that child processes import at their start."""

REAL_FSYNC, REAL_FDATASYNC = os.fsync, os.fdatasync

MEMORY_FOLDER: Final = Path("/dev/shm")
MIN_FREE_BYTES: Final = 1 << 30
"""Free space that must be left in `MEMORY_FOLDER`, or the machine's disk is used."""


def make_data_folder(prefix: str = "hosts-") -> Path:
    """Create a folder for the data of hosts, in memory if there is room."""
    has_room = (
        os.access(MEMORY_FOLDER, os.W_OK)
        and shutil.disk_usage(MEMORY_FOLDER).free >= MIN_FREE_BYTES
    )
    parent = MEMORY_FOLDER if has_room else None
    return Path(tempfile.mkdtemp(prefix=prefix, dir=parent))


def simulate_syncs(sync_s: SyncRange) -> None:
    """Replace all syncs of this process by waits until `stop_simulating`.

    A wait blocks the calling thread, as a sync does, and no other one.
    """
    random = Random()

    def wait(descriptor: int) -> None:
        os.fstat(descriptor)
        time.sleep(random.uniform(*sync_s))

    os.fsync = os.fdatasync = wait


def stop_simulating() -> None:
    """Let all syncs of this process be those of the operating system."""
    os.fsync, os.fdatasync = REAL_FSYNC, REAL_FDATASYNC


def child_environment(sync_s: SyncRange, import_path: str) -> dict[str, str]:
    """Return the environment variables of a child process with simulated syncs.

    Args:
        sync_s: Shortest and longest time in seconds of a sync.
        import_path: Import path of the child process.
    """
    return {
        SYNC_VARIABLE: ",".join(map(str, sync_s)),
        "PYTHONPATH": os.pathsep.join((str(HOOK_FOLDER), import_path)),
    }


def simulate_syncs_of_environment() -> None:
    """Simulate the syncs that `child_environment` asks for in this child process."""
    shortest, longest = os.environ[SYNC_VARIABLE].split(",")
    simulate_syncs((float(shortest), float(longest)))
