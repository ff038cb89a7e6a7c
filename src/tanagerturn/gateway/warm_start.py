"""State that a gateway saves on its disk to serve immediately after a restart.

The saved state is needed when all gateways are killed at the same moment. Without it, a
restarted gateway would learn the configuration only after the state group has elected
a leader, and the backend servers only after each has announced itself again. Only
state that was committed or announced is saved, and any newer state replaces it.
"""

from __future__ import annotations

import os
import struct
from typing import TYPE_CHECKING, Final

import google_crc32c
from google.protobuf.message import DecodeError

from tanagerturn.gateway.logs import component_log
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

FILE_NAME: Final = "warm-start"
"""Name of the file in the data folder."""

CHECKSUM_HEADER: Final = struct.Struct("!I")
"""Header of the file: CRC-32C of the message that follows."""

BACKEND_MAX_AGE_MS: Final = 8_000
"""Time in milliseconds since a backend server was last heard from at which it is no
longer restored; its address may belong to another backend server soon after."""

ORIGINS_MAX_AGE_MS: Final = 30_000
"""Time in milliseconds since the save after which the origins of streams are no longer
restored; a peer may have seen other versions meanwhile."""

FRESH_ORIGINS_MS: Final = 5_000
"""Time in milliseconds from a save to a restart up to which the saved versions count as
all. After a loss of power, hosts are back within 3 s, their last save is up to 1 s old,
and a process starts in 1 s; later, others may have served meanwhile."""

MAX_AGE_MS: Final = 2**31
"""Upper bound of an age in milliseconds in a message, 24 days."""

log = component_log("warm_start")


def make_warm_start(
    configuration: gpb.StoredConfiguration,
    backends: gpb.BackendNews,
    suspects: gpb.SuspectParts,
    suspect_requests: gpb.SuspectRequests,
    stream_origins: gpb.StreamOrigins,
    link_addresses: Iterable[str],
    wall_ms: int,
) -> gpb.WarmStart:
    """Return the state to save.

    Args:
        configuration: Configuration in force.
        backends: Last announcements of the live backend servers.
        suspects: Prompt parts that crashed engines.
        suspect_requests: Requests that crashed backend servers.
        stream_origins: Where streams began, and recent software versions.
        link_addresses: Link addresses of the peer gateways.
        wall_ms: Current wall-clock time in milliseconds.
    """
    return gpb.WarmStart(
        written_at_ms=wall_ms,
        configuration=configuration,
        backends=backends,
        suspects=suspects,
        suspect_requests=suspect_requests,
        stream_origins=stream_origins,
        gateway_ips=[address.rpartition(":")[0] for address in link_addresses],
    )


def write_warm_start(folder: Path, warm_start: gpb.WarmStart) -> None:
    """Replace the saved state atomically: a crash leaves the old or the new file.

    Args:
        folder: Data folder.
        warm_start: State to save.

    Raises:
        OSError: The file could not be written.
    """
    body = warm_start.SerializeToString()
    temporary_path = folder / f"{FILE_NAME}.temporary"
    with temporary_path.open("wb") as file:
        file.write(CHECKSUM_HEADER.pack(google_crc32c.value(body)) + body)
        file.flush()
        os.fdatasync(file.fileno())
    temporary_path.replace(folder / FILE_NAME)


def read_warm_start(folder: Path) -> gpb.WarmStart:
    """Return the saved state; an empty message if none was saved or it is damaged."""
    try:
        data = (folder / FILE_NAME).read_bytes()
        (expected_checksum,) = CHECKSUM_HEADER.unpack_from(data)
        body = data[CHECKSUM_HEADER.size :]
        if google_crc32c.value(body) != expected_checksum:
            raise ValueError(
                f"checksum mismatch in file {FILE_NAME}:"
                f" expected {expected_checksum:#010x}"
            )
        return gpb.WarmStart.FromString(body)
    except FileNotFoundError:
        return gpb.WarmStart()
    except (OSError, struct.error, ValueError, DecodeError) as error:
        log.warning("warm_start_unreadable", reason=str(error))
        return gpb.WarmStart()


def aged_backends(warm_start: gpb.WarmStart, wall_ms: int) -> gpb.BackendNews:
    """Return the saved backend servers that were heard from recently.

    No backend server is returned if the wall clock has moved backward since the save.

    Args:
        warm_start: The saved state.
        wall_ms: Current wall-clock time in milliseconds.

    Returns:
        The announcements, each with the time in milliseconds since its backend server
        was last heard from.
    """
    elapsed_ms = wall_ms - warm_start.written_at_ms
    news = gpb.BackendNews()
    if not 0 <= elapsed_ms < BACKEND_MAX_AGE_MS:
        return news
    pairs = zip(
        warm_start.backends.announcements,
        warm_start.backends.heard_ago_ms,
        strict=False,
    )
    for announcement, silence_ms in pairs:
        if silence_ms + elapsed_ms < BACKEND_MAX_AGE_MS:
            news.announcements.append(announcement)
            news.heard_ago_ms.append(silence_ms + elapsed_ms)
    return news


def aged_suspects(warm_start: gpb.WarmStart, wall_ms: int) -> gpb.SuspectParts:
    """Return the saved evidence against prompt parts, with its age at present.

    Args:
        warm_start: The saved state.
        wall_ms: Current wall-clock time in milliseconds; one before the save counts as
            the time of the save.
    """
    elapsed_ms = max(0, wall_ms - warm_start.written_at_ms)
    suspects = gpb.SuspectParts()
    suspects.CopyFrom(warm_start.suspects)
    for part in suspects.parts:
        part.idle_ms = min(MAX_AGE_MS, part.idle_ms + elapsed_ms)
        _age_crashes(part.crashes, elapsed_ms)
        _age_trials(part.trials, elapsed_ms)
    return suspects


def aged_suspect_requests(
    warm_start: gpb.WarmStart, wall_ms: int
) -> gpb.SuspectRequests:
    """Return the saved evidence against requests, with its age at present.

    Args:
        warm_start: The saved state.
        wall_ms: Current wall-clock time in milliseconds; one before the save counts as
            the time of the save.
    """
    elapsed_ms = max(0, wall_ms - warm_start.written_at_ms)
    suspects = gpb.SuspectRequests()
    suspects.CopyFrom(warm_start.suspect_requests)
    for request in suspects.requests:
        request.idle_ms = min(MAX_AGE_MS, request.idle_ms + elapsed_ms)
        _age_crashes(request.crashes, elapsed_ms)
        _age_trials(request.trials, elapsed_ms)
    return suspects


def aged_origins(warm_start: gpb.WarmStart, wall_ms: int) -> gpb.StreamOrigins | None:
    """Return where streams began before a restart.

    Versions that came and went while no gateway ran began no stream, so the saved ones
    count as complete. Their ages stay those of the save: with a wall clock that is
    ahead since the restart, versions whose streams still run would count as old. None
    if the wall clock has moved backward since the save, or too much time has passed.

    Args:
        warm_start: The saved state.
        wall_ms: Current wall-clock time in milliseconds.
    """
    elapsed_ms = wall_ms - warm_start.written_at_ms
    if not 0 <= elapsed_ms < ORIGINS_MAX_AGE_MS:
        return None
    origins = gpb.StreamOrigins()
    origins.CopyFrom(warm_start.stream_origins)
    return origins


def has_fresh_origins(warm_start: gpb.WarmStart, wall_ms: int) -> bool:
    """Return whether no other gateway can have served for long since the save.

    Args:
        warm_start: The saved state.
        wall_ms: Current wall-clock time in milliseconds.
    """
    return 0 <= wall_ms - warm_start.written_at_ms <= FRESH_ORIGINS_MS


def _age_crashes(crashes: Iterable[gpb.EngineCrash], elapsed_ms: int) -> None:
    for crash in crashes:
        crash.seen_ago_ms = min(MAX_AGE_MS, crash.seen_ago_ms + elapsed_ms)


def _age_trials(trials: gpb.Trials, elapsed_ms: int) -> None:
    if trials.HasField("admitted_ago_ms"):
        trials.admitted_ago_ms = min(MAX_AGE_MS, trials.admitted_ago_ms + elapsed_ms)
    if trials.HasField("tried_ago_ms"):
        trials.tried_ago_ms = min(MAX_AGE_MS, trials.tried_ago_ms + elapsed_ms)
