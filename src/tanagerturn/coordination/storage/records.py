"""Checksummed records of log files, and the detection of torn writes.

A record is a header and a payload. The header has its own checksum, so that a
corrupted length is distinguished from a write that a crash interrupted. Records
that were synced together have the same batch number.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import TYPE_CHECKING, Final

import google_crc32c

if TYPE_CHECKING:
    from collections.abc import Iterator

HEADER: Final = struct.Struct("<IIQB")
"""Payload length in bytes, payload checksum, batch number, record kind."""

HEADER_CHECKSUM: Final = struct.Struct("<I")
PREFIX_BYTES: Final = HEADER.size + HEADER_CHECKSUM.size
SECTOR_BYTES: Final = 512
"""Size in bytes of the unit that a disk writes atomically."""

PADDING_BYTE: Final = b"\xff"
"""Payload byte of padding records; not zero, as an unwritten sector reads as zeros."""

RECORD_LIMIT_BYTES: Final = 256 * 1024 * 1024


class RecordKind(IntEnum):
    """Kind of a record."""

    HEADER = 1
    HARD_STATE = 2
    ENTRY = 3
    PADDING = 4


class TailState(Enum):
    """State of the bytes after the last valid record of a file."""

    NOTHING = "nothing"
    TORN = "torn"
    """The bytes are from a write that was interrupted before its sync returned."""
    DAMAGED = "damaged"
    """The bytes had been synced and are corrupted."""


@dataclass(frozen=True)
class Record:
    """A decoded record."""

    kind: int
    """Kind of the record; a `RecordKind` or a number unknown to this version."""
    batch: int
    """Number of the batch with which the record was synced."""
    payload: bytes
    """Content of the record."""
    end: int
    """Offset of the end of the record, in bytes."""


def encode(kind: RecordKind, batch: int, payload: bytes) -> bytes:
    """Return an encoded record: header, header checksum and payload."""
    header = HEADER.pack(len(payload), google_crc32c.value(payload), batch, kind)
    return header + HEADER_CHECKSUM.pack(google_crc32c.value(header)) + payload


def encode_padding(batch: int, size: int) -> bytes:
    """Return a padding record that extends a file of `size` bytes to a whole sector."""
    missing = -size % SECTOR_BYTES
    if not missing:
        return b""
    if missing < PREFIX_BYTES:
        missing += SECTOR_BYTES
    return encode(RecordKind.PADDING, batch, PADDING_BYTE * (missing - PREFIX_BYTES))


def decode(data: bytes, offset: int) -> Record | None:
    """Return the record at a byte offset; None when there is no valid record."""
    header = _decode_header(data, offset)
    if header is None:
        return None
    length, checksum, batch, kind = header
    end = offset + PREFIX_BYTES + length
    payload = data[offset + PREFIX_BYTES : end]
    if len(payload) < length or google_crc32c.value(payload) != checksum:
        return None
    return Record(kind, batch, payload, end)


def decode_records(data: bytes) -> Iterator[Record]:
    """Yield the records from the start of a file up to the first invalid record."""
    offset = 0
    while True:
        record = decode(data, offset)
        if record is None:
            return
        yield record
        offset = record.end


def classify_tail(data: bytes, offset: int, last_batch: int) -> TailState:
    """Return whether the bytes after the last valid record are torn or damaged.

    Args:
        data: Content of the last log file.
        offset: Offset of the end of the last valid record, in bytes.
        last_batch: Batch number of the last valid record.

    Returns:
        `NOTHING` when there are no such bytes. `TORN` only when none of them can have
        been synced: there is no later batch, and bytes are missing or a sector was not
        written. Otherwise `DAMAGED`.
    """
    if offset == len(data):
        return TailState.NOTHING
    if _has_later_batch(data, offset, last_batch + 1):
        return TailState.DAMAGED
    header = _decode_header(data, offset)
    if header is None:
        end = min(len(data), offset + PREFIX_BYTES)
        is_short = end - offset < PREFIX_BYTES
    else:
        end = min(len(data), offset + PREFIX_BYTES + header[0])
        is_short = end - offset < PREFIX_BYTES + header[0]
    if is_short or _has_empty_sector(data, offset, end):
        return TailState.TORN
    return TailState.DAMAGED


def _decode_header(data: bytes, offset: int) -> tuple[int, int, int, int] | None:
    if offset + PREFIX_BYTES > len(data):
        return None
    header = data[offset : offset + HEADER.size]
    (checksum,) = HEADER_CHECKSUM.unpack_from(data, offset + HEADER.size)
    if google_crc32c.value(header) != checksum:
        return None
    length, payload_checksum, batch, kind = HEADER.unpack(header)
    if length > RECORD_LIMIT_BYTES:
        return None
    return length, payload_checksum, batch, kind


def _has_later_batch(data: bytes, offset: int, torn_batch: int) -> bool:
    first = (offset // SECTOR_BYTES + 1) * SECTOR_BYTES
    for start in range(first, len(data), SECTOR_BYTES):
        header = _decode_header(data, start)
        if header is None or header[2] <= torn_batch:
            continue
        if decode(data, start) is not None:
            return True
    return False


def _has_empty_sector(data: bytes, start: int, end: int) -> bool:
    """Return whether a sector of a record holds only zeros.

    Of the first sector, only the bytes from the record's start on are checked.
    """
    while start < end:
        sector_end = (start // SECTOR_BYTES + 1) * SECTOR_BYTES
        if not any(data[start:sector_end]):
            return True
        start = sector_end
    return False
