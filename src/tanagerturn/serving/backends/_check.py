"""Validation of received announcements, whose values are not trusted."""

from __future__ import annotations

import ipaddress
import math
import re
from typing import TYPE_CHECKING, Final

from tanagerturn.schema import serving_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence

ID_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
BLOCK_PATTERN: Final = re.compile(r"[0-9a-f]{16}")
HEARTBEAT_MIN_MS: Final = 20
HEARTBEAT_MAX_MS: Final = 60_000
SLOTS_MAX: Final = 100_000
REQUESTS_MAX: Final = 1_000_000
KV_TOKENS_MAX: Final = 10**10
PRICE_MAX_PER_HOUR: Final = 10_000.0
TOKENS_MAX_PER_S: Final = 10_000_000.0
LEAVING_MAX_MS: Final = 24 * 3_600_000
SEQUENCE_MAX: Final = 2**53
BORN_MAX_MS: Final = 7_258_118_400_000
"""Wall-clock time in milliseconds of the year 2200."""

EVENTS_MAX: Final = 5_000
BLOCKS_MAX: Final = 100_000
NAMES_MAX: Final = 256

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


def find_fault(
    announcement: serving_pb2.Announcement, networks: Sequence[Network]
) -> str:
    """Return the invalid field and what is wrong with it; empty if all are valid.

    Args:
        announcement: The announcement as received.
        networks: Networks that may contain the announced address; empty for any.
    """
    return (
        _find_name_fault(announcement)
        or _find_address_fault(announcement.address, networks)
        or _find_size_fault(announcement)
        or _find_order_fault(announcement)
        or _find_load_fault(announcement.load)
        or _find_event_fault(announcement.cache_events)
    )


def _find_name_fault(announcement: serving_pb2.Announcement) -> str:
    if not ID_PATTERN.fullmatch(announcement.id):
        return "id is not a name"
    if not announcement.incarnation or len(announcement.incarnation) > 128:
        return "incarnation must have 1 to 128 characters"
    if not announcement.availability_zone:
        return "availability_zone is missing"
    if not announcement.services and not announcement.models:
        return "neither services nor models are named"
    if len(announcement.services) > NAMES_MAX or len(announcement.models) > NAMES_MAX:
        return f"more than {NAMES_MAX} services or models"
    if any(not loaded.model for loaded in announcement.models):
        return "a model has no name"
    if announcement.role not in serving_pb2.BackendRole.values():
        return "role is unknown"
    return ""


def _find_address_fault(address: str, networks: Sequence[Network]) -> str:
    ip, _, port = address.rpartition(":")
    try:
        parsed_ip = ipaddress.ip_address(ip.strip("[]"))
    except ValueError:
        return "address has no IP number"
    if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65_536:
        return "address has no port"
    if networks and not any(parsed_ip in network for network in networks):
        return "address is outside the allowed networks"
    return ""


def _find_size_fault(announcement: serving_pb2.Announcement) -> str:
    if not HEARTBEAT_MIN_MS <= announcement.heartbeat_ms <= HEARTBEAT_MAX_MS:
        return f"heartbeat_ms must be {HEARTBEAT_MIN_MS} to {HEARTBEAT_MAX_MS}"
    if not 1 <= announcement.slots <= SLOTS_MAX:
        return f"slots must be 1 to {SLOTS_MAX}"
    if announcement.kv_tokens > KV_TOKENS_MAX:
        return "kv_tokens is too large"
    if not _is_within(announcement.price_per_hour, PRICE_MAX_PER_HOUR):
        return "price_per_hour is not a price"
    if announcement.leaving_in_ms > LEAVING_MAX_MS:
        return "leaving_in_ms is more than a day"
    return ""


def _find_order_fault(announcement: serving_pb2.Announcement) -> str:
    """Return what is wrong with the fields by which announcements are ordered.

    A value that is too large would hide all later announcements.
    """
    if announcement.sequence > SEQUENCE_MAX:
        return "sequence is too large"
    if announcement.born_ms > BORN_MAX_MS:
        return "born_ms is not a time"
    return ""


def _find_load_fault(load: serving_pb2.LoadReport) -> str:
    if not _is_within(load.kv_used, 1.0):
        return "load.kv_used must be 0 to 1"
    if not _is_within(load.tokens_per_s, TOKENS_MAX_PER_S):
        return "load.tokens_per_s is not a rate"
    if load.running > REQUESTS_MAX or load.waiting > REQUESTS_MAX:
        return "load.running or load.waiting is too large"
    return ""


def _find_event_fault(events: Sequence[serving_pb2.CacheEvent]) -> str:
    if len(events) > EVENTS_MAX:
        return f"more than {EVENTS_MAX} cache events"
    if sum(len(event.blocks) for event in events) > BLOCKS_MAX:
        return f"more than {BLOCKS_MAX} blocks in cache events"
    for event in events:
        if event.sequence == 0:
            return "a cache event has no sequence"
        if any(not BLOCK_PATTERN.fullmatch(block) for block in event.blocks):
            return "a block hash must be 16 hexadecimal digits"
    return ""


def _is_within(value: float, limit: float) -> bool:
    return math.isfinite(value) and 0 <= value <= limit
