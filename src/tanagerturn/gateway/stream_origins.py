"""Shares with peer gateways where streams began, and asks them for it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import xxhash

from tanagerturn.gateway._crash_messages import age_ms
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.backends.messages import SoftwareVersion
from tanagerturn.serving.streams.origins import StreamOrigin, attempt_hash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from tanagerturn.gateway.links import Links
    from tanagerturn.serving.streams.origins import StreamOrigins

HOLDERS: Final = 6
"""Number of gateways that hold the origin of a stream besides the one that it began at;
several may be killed at the same moment."""

ALL_HOLD_UP_TO: Final = 12
"""Number of peers up to which each of them holds all origins."""

ASK_TIMEOUT_S: Final = 0.15
"""Time in seconds for the responses of the gateways that hold an origin."""


def encode_origins(
    origins: StreamOrigins, attempts: Iterable[int], now_s: float
) -> gpb.StreamOrigins:
    """Return where streams began, and the recent versions, as a message.

    Args:
        origins: Origins of streams.
        attempts: Hashes of the attempts that began the streams.
        now_s: Current boot-clock time in seconds.
    """
    message = gpb.StreamOrigins()
    if origins.is_sure(now_s):
        message.complete_for_ms = age_ms(origins.complete_since_s, now_s)
    groups: dict[StreamOrigin, list[int]] = {origin: [] for origin in origins.seen_s}
    for attempt in attempts:
        groups.setdefault(origins.records[attempt].origin, []).append(attempt)
    for origin, group in groups.items():
        each = message.origins.add(
            service=origin.service,
            software_version=origin.software_version,
            attempts=group,
        )
        if origin in origins.seen_s:
            each.seen_ago_ms = age_ms(origins.seen_s[origin], now_s)
    return message


def encode_saved_origins(origins: StreamOrigins, now_s: float) -> gpb.StreamOrigins:
    """Return all origins as saved on a disk.

    Right after a start, the versions count as incomplete: after another kill of all
    gateways, those at which peers have begun streams meanwhile would be missing.

    Args:
        origins: Origins of streams.
        now_s: Current boot-clock time in seconds.
    """
    message = encode_origins(origins, origins.records, now_s)
    if not origins.knows_present_versions(now_s):
        message.complete_for_ms = 0
    return message


def apply_origins(
    origins: StreamOrigins, message: gpb.StreamOrigins, now_s: float
) -> None:
    """Merge what a peer or a warm start knows.

    Args:
        origins: Origins of streams.
        message: The message as received.
        now_s: Current boot-clock time in seconds.
    """
    seen_s = {}
    for each in message.origins:
        origin = StreamOrigin(each.service, SoftwareVersion(each.software_version))
        origins.on_reported(origin, each.attempts, now_s)
        if each.HasField("seen_ago_ms"):
            seen_s[origin] = now_s - each.seen_ago_ms / 1000
    complete_since_s = now_s - message.complete_for_ms / 1000
    origins.on_reported_versions(seen_s, complete_since_s, now_s)


def holders(attempt: int, peers: Mapping[str, str]) -> list[str]:
    """Return the link addresses of the peers that hold the origin of a stream.

    Args:
        attempt: Hash of the attempt that began the stream.
        peers: Link address of each present peer gateway by host.
    """
    if len(peers) <= ALL_HOLD_UP_TO:
        return list(peers.values())

    def rank(host: str) -> int:
        return xxhash.xxh64_intdigest(f"{host}|{attempt}".encode())

    return [peers[host] for host in sorted(peers, key=rank)[:HOLDERS]]


def send_unsent(
    origins: StreamOrigins, links: Links, peers: Mapping[str, str], now_s: float
) -> None:
    """Send the origins of streams that just began to the peers that hold them.

    Args:
        origins: Origins of streams.
        links: Links to peer gateways.
        peers: Link address of each present peer gateway by host.
        now_s: Current boot-clock time in seconds.
    """
    by_address: dict[str, list[int]] = {}
    for attempt in origins.take_unsent():
        for address in holders(attempt, peers):
            by_address.setdefault(address, []).append(attempt)
    for address, attempts in by_address.items():
        message = encode_origins(origins, attempts, now_s)
        links.link_to(address).send_one_way(gpb.Frame(stream_origins=message))


async def ask_peers(
    origins: StreamOrigins, attempt_id: str, links: Links, peers: Mapping[str, str]
) -> list[gpb.StreamOrigins]:
    """Ask the peers that may hold the origin of a stream; return their responses.

    Args:
        origins: Origins of streams.
        attempt_id: Id of the attempt that began the stream.
        links: Links to peer gateways.
        peers: Link address of each present peer gateway by host.
    """
    attempt = attempt_hash(attempt_id)
    call = gpb.StreamOriginCall(attempt=attempt)
    answers = await asyncio.gather(
        *(
            links.link_to(address).call(
                gpb.Frame(ask_stream_origin=call), ASK_TIMEOUT_S
            )
            for address in holders(attempt, peers)
        )
    )
    return [answer.ok.stream_origins for answer in answers if answer.is_ok()]


def serve_call(
    origins: StreamOrigins, call: gpb.StreamOriginCall, now_s: float
) -> gpb.Frame:
    """Answer a peer that asks where a stream began."""
    attempts = [call.attempt] if call.attempt in origins.records else []
    return gpb.Frame(stream_origins=encode_origins(origins, attempts, now_s))
