"""Recognizes a request that comes again under another attempt id."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.quarantine.evidence import Fingerprint

if TYPE_CHECKING:
    from tanagerturn.gateway.configuration import Account
    from tanagerturn.gateway.messages import InboundRequest

FINGERPRINT_BYTES: Final = 8


def fingerprint_of(
    request: InboundRequest, account: Account | None, body: bytes | bytearray
) -> Fingerprint:
    """Return the hash of a request's client account, method, host, target and body.

    Args:
        request: Decoded head of the request.
        account: Client account of the caller; None on anonymous routes.
        body: Whole body of the request.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    name = account.name if account is not None else ""
    head = f"{name}\n{request.method} {request.host} {request.target}\n"
    digest.update(head.encode("utf-8", "surrogateescape"))
    digest.update(body)
    return Fingerprint(int.from_bytes(digest.digest(), "big"))


def fingerprint_text(fingerprint: Fingerprint) -> str:
    """Return a fingerprint as logs show it, 16 hexadecimal digits."""
    return f"{fingerprint:016x}"
