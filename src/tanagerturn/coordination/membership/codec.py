"""Datagrams: a packet behind its code with the cluster's key."""

from __future__ import annotations

import hashlib
import hmac
from typing import Final

from expression import Error, Ok, Result
from google.protobuf.message import DecodeError

from tanagerturn.coordination.membership.config import PACKET_LIMIT_BYTES
from tanagerturn.schema import membership_pb2 as mpb

CODE_BYTES: Final = 16
KEY_MIN_BYTES: Final = 16


def seal(packet: mpb.Packet, key: bytes) -> bytes:
    """Return the datagram of a packet."""
    body = packet.SerializeToString()
    return _code(body, key) + body


def unseal(datagram: bytes, key: bytes, cluster: str) -> Result[mpb.Packet, str]:
    """Return the packet of a datagram, or why it is dropped."""
    if not CODE_BYTES < len(datagram) <= PACKET_LIMIT_BYTES:
        return Error("size")
    code, body = datagram[:CODE_BYTES], datagram[CODE_BYTES:]
    if not hmac.compare_digest(code, _code(body, key)):
        return Error("code")
    try:
        packet = mpb.Packet.FromString(body)
    except DecodeError:
        return Error("format")
    return Ok(packet) if packet.cluster == cluster else Error("cluster")


def _code(body: bytes, key: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)[:CODE_BYTES]
