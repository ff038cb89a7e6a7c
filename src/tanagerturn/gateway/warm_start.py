"""What a gateway with a disk remembers, to serve at once after a restart.

Answers the pattern of all gateways killed at the same moment: nobody could tell
them the configuration and the backend servers before the state group has a leader
and each backend server has announced itself again. What is remembered was committed
or announced before, and gives way to whatever is newer.
"""

from __future__ import annotations

import os
import struct
from typing import TYPE_CHECKING, Final

import google_crc32c
from google.protobuf.message import DecodeError

from tanagerturn.gateway.logs import part_log
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

FILE: Final = "warm-start"

CHECKSUM: Final = struct.Struct("!I")

BACKENDS_KEEP_MS: Final = 8_000
"""Age at which remembered backend servers are not trusted any more: an address may
belong to another one soon after."""

log = part_log("warm_start")


def make_warm_start(
    configuration: gpb.StoredConfiguration,
    backends: gpb.BackendNews,
    link_addresses: Iterable[str],
    wall_ms: int,
) -> gpb.WarmStart:
    """Return what to remember.

    Args:
        configuration: Configuration in force.
        backends: Backend servers that are alive.
        link_addresses: Where other gateways are.
        wall_ms: Present wall clock.
    """
    return gpb.WarmStart(
        written_at_ms=wall_ms,
        configuration=configuration,
        backends=backends,
        gateway_ips=[address.rpartition(":")[0] for address in link_addresses],
    )


def write_warm_start(folder: Path, warm: gpb.WarmStart) -> None:
    """Keep what to remember; a crash leaves the old or the new file.

    Args:
        folder: Data folder.
        warm: What to remember.

    Raises:
        OSError: The disk does not take it.
    """
    body = warm.SerializeToString()
    temporary = folder / f"{FILE}.temporary"
    with temporary.open("wb") as file:
        file.write(CHECKSUM.pack(google_crc32c.value(body)) + body)
        file.flush()
        os.fdatasync(file.fileno())
    temporary.replace(folder / FILE)


def read_warm_start(folder: Path) -> gpb.WarmStart:
    """Return what was remembered; empty when there is none or it is damaged."""
    try:
        data = (folder / FILE).read_bytes()
        (expected,) = CHECKSUM.unpack_from(data)
        body = data[CHECKSUM.size :]
        if google_crc32c.value(body) != expected:
            raise ValueError("the checksum is wrong")
        return gpb.WarmStart.FromString(body)
    except FileNotFoundError:
        return gpb.WarmStart()
    except (OSError, struct.error, ValueError, DecodeError) as error:
        log.warning("warm_start_unreadable", reason=str(error))
        return gpb.WarmStart()


def aged_backends(warm: gpb.WarmStart, wall_ms: int) -> gpb.BackendNews:
    """Return the remembered backend servers that are recent, with their ages.

    Args:
        warm: What was remembered.
        wall_ms: Present wall clock.
    """
    passed_ms = wall_ms - warm.written_at_ms
    news = gpb.BackendNews()
    if not 0 <= passed_ms < BACKENDS_KEEP_MS:
        return news
    pairs = zip(warm.backends.announcements, warm.backends.heard_ago_ms, strict=False)
    for announcement, ago_ms in pairs:
        if ago_ms + passed_ms < BACKENDS_KEEP_MS:
            news.announcements.append(announcement)
            news.heard_ago_ms.append(ago_ms + passed_ms)
    return news
