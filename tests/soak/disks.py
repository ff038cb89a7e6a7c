"""Faults of the disks of gateways."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from soak.faulty_gateway import FullDisk
from soak.schedule import FULL_DISK_S
from tanagerturn.coordination.storage.records import RecordKind, decode_records, encode

if TYPE_CHECKING:
    from pathlib import Path

    from soak.schedule import ScheduledFault
    from soak.world import World

PAUSE_S = 0.3
"""Maximum time in seconds between the room on one disk and the next full one."""

CONFIGURE_INTERVAL_S = 0.4
"""Time in seconds between two configurations during full disks."""


async def fill_disks(world: World, scheduled: ScheduledFault) -> None:
    """Fill the disks of all gateways one after another, and send configurations."""
    random = Random(scheduled.target_number)
    changes = asyncio.create_task(_send_configurations(world, random))
    with_disk = [program for program in world.programs if program.has_disk]
    for program in random.sample(with_disk, len(with_disk))[:3]:
        kind = random.choice([each for each in FullDisk if each is not FullDisk.NO])
        world.write_faults(program, disk_full=kind)
        await asyncio.sleep(random.uniform(*FULL_DISK_S))
        world.write_faults(program, disk_full=FullDisk.NO)
        await asyncio.sleep(random.uniform(0.0, PAUSE_S))
    changes.cancel()


async def _send_configurations(world: World, random: Random) -> None:
    while True:
        await world.configure(random.choice(world.programs), timeout_s=2.0)
        await asyncio.sleep(CONFIGURE_INTERVAL_S)


def log_files(data: Path) -> list[Path]:
    """Return the files of a member's replicated log, oldest first."""
    return sorted(path for path in data.rglob("log-*") if path.stat().st_size)


def append_torn_write(data: Path, random: Random) -> None:
    """Append the first bytes of a write, as after a crash within it.

    Other bytes would count as damage, which is the loss of a disk.
    """
    for path in log_files(data)[-1:]:
        content = path.read_bytes()
        batch = max((record.batch for record in decode_records(content)), default=0)
        payload = random.randbytes(random.randint(1, 200))
        record = encode(RecordKind.ENTRY, batch + 1, payload)
        with path.open("ab") as file:
            file.write(record[: random.randrange(1, len(record))])


def flip_byte(data: Path, random: Random) -> None:
    """Corrupt one byte of the newest log file of a member."""
    for path in log_files(data)[-1:]:
        content = bytearray(path.read_bytes())
        content[random.randrange(len(content))] ^= 0x20
        path.write_bytes(content)
