"""Encoding of datagrams: an HMAC with the cluster's key, then the packet."""

from __future__ import annotations

import hashlib
import hmac
from typing import Final

from expression import Error, Ok, Result
from google.protobuf.message import DecodeError

from tanagerturn.coordination.membership.config import PACKET_LIMIT_BYTES
from tanagerturn.schema import membership_pb2 as mpb

HMAC_BYTES: Final = 16
KEY_MIN_BYTES: Final = 16


def encode_datagram(packet: mpb.Packet, key: bytes) -> bytes:
    """Return a datagram of a packet's HMAC, truncated to 16 bytes, and the packet."""
    body = packet.SerializeToString()
    return _hmac(body, key) + body


def decode_datagram(
    datagram: bytes, key: bytes, cluster: str
) -> Result[mpb.Packet, str]:
    """Return the packet of a datagram, or the reason for which it is dropped.

    The reasons are "size", "code" (wrong HMAC), "format" (the packet can't be
    parsed) and "cluster" (packet of another cluster).
    """
    if not HMAC_BYTES < len(datagram) <= PACKET_LIMIT_BYTES:
        return Error("size")
    code, body = datagram[:HMAC_BYTES], datagram[HMAC_BYTES:]
    if not hmac.compare_digest(code, _hmac(body, key)):
        return Error("code")
    try:
        packet = mpb.Packet.FromString(body)
    except DecodeError:
        return Error("format")
    return Ok(packet) if packet.cluster == cluster else Error("cluster")


def _hmac(body: bytes, key: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)[:HMAC_BYTES]
