"""Runs one gateway with injected faults of its clock, disk, datagrams and links.

The real program runs with some functions replaced: a file controls the errors of the
wall clock, the delay of fdatasync, whether the disk is full and whether datagrams are
lost, and the link listener binds to another port than the one that peers know. A proxy
listens on the port that peers know.
"""

from __future__ import annotations

import errno
import io
import json
import os
import socket
import stat
import sys
import time
from enum import IntEnum
from pathlib import Path

LINK_PORT_OFFSET = 50
"""Offset of the bound link port from the one that peers know."""

FAULTS_VARIABLE = "SOAK_FAULTS"
"""Environment variable with the path of the JSON file of injected faults: clock_ms, the
error of the wall clock, disk_stall_s, the delay of each fdatasync, disk_full, a
`FullDisk`, and datagrams_lost, 1 while all sent datagrams are lost."""

LINK_OFFSET_VARIABLE = "SOAK_LINK_OFFSET"
"""Environment variable that replaces `LINK_PORT_OFFSET`; 0 without proxies."""

REREAD_INTERVAL_S = 0.05
"""Interval in seconds at which the file of injected faults is reread."""


class FullDisk(IntEnum):
    """Which calls fail with ENOSPC."""

    NO = 0
    """None."""
    WRITES = 1
    """Writes, after a part of the bytes, as on a disk whose blocks are used up."""
    NEW_FILES = 2
    """Writes, and the creation and renaming of files and folders, as on a disk
    without a block for a directory entry."""
    SYNCS = 3
    """Syncs of files, as on a file system that allocates blocks late."""


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


def inject_full_disk(faults: Faults) -> None:
    """Let calls that need disk space fail while the disk is full.

    Sockets, pipes and the log of the process are not affected.
    """
    real_write, real_open, real_io_open = os.write, os.open, io.open

    def fails(*kinds: FullDisk) -> bool:
        return faults.get("disk_full") in kinds

    def write(descriptor: int, data: bytes) -> int:
        is_log = descriptor in (sys.stdout.fileno(), sys.stderr.fileno())
        is_file = stat.S_ISREG(os.fstat(descriptor).st_mode) and not is_log
        if not is_file or not fails(FullDisk.WRITES, FullDisk.NEW_FILES):
            return real_write(descriptor, data)
        part = memoryview(data)[: len(data) // 2]
        if not part:
            raise no_space()
        return real_write(descriptor, part)

    def open_descriptor(path, flags, mode=0o777, *, dir_fd=None):
        is_new = flags & os.O_CREAT and not Path(path).exists()
        if is_new and fails(FullDisk.NEW_FILES):
            raise no_space()
        return real_open(path, flags, mode, dir_fd=dir_fd)

    def open_file(file, mode="r", *arguments, **options):
        if mode.startswith(("w", "a", "x")) and fails(FullDisk.NEW_FILES):
            raise no_space()
        opened = real_io_open(file, mode, *arguments, **options)
        if mode != "wb":
            return opened
        return _Unbuffered(opened)

    def needs_space(call, *kinds):
        def checked(*arguments, **options):
            if fails(*kinds):
                raise no_space()
            return call(*arguments, **options)

        return checked

    os.write, os.open, io.open = write, open_descriptor, open_file
    os.mkdir = needs_space(os.mkdir, FullDisk.NEW_FILES)
    os.replace = needs_space(os.replace, FullDisk.NEW_FILES)
    os.fdatasync = needs_space(os.fdatasync, FullDisk.SYNCS)


class _Unbuffered(io.RawIOBase):
    """A file whose bytes are written by `os.write`, so that the write can fail."""

    def __init__(self, file) -> None:
        self.file = file

    def write(self, data) -> int:
        """Write all bytes."""
        view = memoryview(data)
        while view:
            view = view[os.write(self.file.fileno(), view) :]
        return len(data)

    def fileno(self) -> int:
        """Return the file descriptor."""
        return self.file.fileno()

    def close(self) -> None:
        """Close the file."""
        self.file.close()
        super().close()


def inject_lost_datagrams(faults: Faults) -> None:
    """Lose the datagrams that are sent while the fault is injected."""

    class LossySocket(socket.socket):
        """Socket that may lose what it sends as datagrams."""

        def sendto(self, data, *arguments):
            """Send a datagram, or lose it."""
            if faults.get("datagrams_lost"):
                return len(data)
            return super().sendto(data, *arguments)

    socket.socket = LossySocket


def no_space() -> OSError:
    """Return the error of a full disk."""
    return OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def main() -> int:
    """Inject the faults and run the gateway."""
    faults = Faults(Path(os.environ[FAULTS_VARIABLE]))
    real_time_ns, real_fdatasync = time.time_ns, os.fdatasync

    def fdatasync(descriptor: int) -> None:
        time.sleep(faults.get("disk_stall_s"))
        real_fdatasync(descriptor)

    time.time_ns = lambda: real_time_ns() + int(faults.get("clock_ms")) * 1_000_000
    os.fdatasync = fdatasync
    inject_full_disk(faults)
    inject_lost_datagrams(faults)
    from tanagerturn.gateway.links import Links
    from tanagerturn.platform.main import main as run_gateway

    listen = Links.listen
    offset = int(os.environ.get(LINK_OFFSET_VARIABLE, LINK_PORT_OFFSET))

    async def listen_behind_proxy(self: Links, address: str) -> None:
        ip, _, port = address.rpartition(":")
        await listen(self, f"{ip}:{int(port) + offset}")

    Links.listen = listen_behind_proxy
    return run_gateway()


if __name__ == "__main__":
    sys.exit(main())
