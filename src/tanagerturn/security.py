"""Bearer keys, kept only as salted hashes."""

from __future__ import annotations

import hashlib
import hmac
import secrets
import threading
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

SCRYPT_COST: Final = 2**12
SCRYPT_BLOCK: Final = 8
SALT_BYTES: Final = 16
VERDICT_CACHE_LIMIT: Final = 16_384


def hash_key(key: str, salt: bytes | None = None) -> str:
    """Return a bearer key as `scrypt:SALT:HASH` in hexadecimal digits.

    Args:
        key: The key.
        salt: Salt of 16 bytes; a random one when left out.
    """
    salt = salt or secrets.token_bytes(SALT_BYTES)
    digest = hashlib.scrypt(
        key.encode(), salt=salt, n=SCRYPT_COST, r=SCRYPT_BLOCK, p=1, dklen=32
    )
    return f"scrypt:{salt.hex()}:{digest.hex()}"


def matches(key: str, key_hash: str) -> bool:
    """Tell whether a bearer key has the given salted hash."""
    _, salt, _ = key_hash.split(":")
    return hmac.compare_digest(hash_key(key, bytes.fromhex(salt)), key_hash)


class KeyVerifier:
    """Compares bearer keys with salted hashes and remembers the verdicts.

    Salted hashes are slow and take memory on purpose, so one comparison runs at
    a time, and verdicts are kept under an unsalted digest of the key, with a
    random pepper of the process. They outlive a revision of the settings.
    """

    def __init__(self) -> None:
        self.pepper = secrets.token_bytes(SALT_BYTES)
        """Random bytes of this process."""
        self.verdicts: OrderedDict[tuple[bytes, str], bool] = OrderedDict()
        """Digest of a key and a salted hash to whether they match, newest last."""
        self.lock = threading.Lock()
        """Guards the verdicts; held during a comparison."""

    def find(self, key: str, key_hashes: Iterable[str]) -> str:
        """Return the hash that a key matches, or an empty text."""
        digest = hashlib.blake2b(key.encode(), key=self.pepper).digest()
        unknown = []
        for key_hash in key_hashes:
            verdict = self.verdicts.get((digest, key_hash))
            if verdict:
                return key_hash
            if verdict is None:
                unknown.append(key_hash)
        found = (h for h in unknown if self._compare(key, digest, h))
        return next(found, "")

    def _compare(self, key: str, digest: bytes, key_hash: str) -> bool:
        with self.lock:
            known = self.verdicts.get((digest, key_hash))
            if known is not None:
                return known
            verdict = matches(key, key_hash)
            self.verdicts[digest, key_hash] = verdict
            while len(self.verdicts) > VERDICT_CACHE_LIMIT:
                self.verdicts.popitem(last=False)
            return verdict


VERIFIER: Final = KeyVerifier()
"""Shared by all key rings of the process."""


class KeyRing:
    """Finds the owner of a bearer key; safe to use from several threads.

    Args:
        owners: Owner's name and the hashes of its keys.
        verifier: Compares keys with hashes.
    """

    def __init__(
        self,
        owners: Iterable[tuple[str, Iterable[str]]],
        verifier: KeyVerifier = VERIFIER,
    ) -> None:
        self.owner_by_hash = {h: name for name, hashes in owners for h in hashes}
        """Salted hash to the name of the owner."""
        self.verifier = verifier
        """Compares keys with hashes."""

    def owner_of(self, key: str) -> str:
        """Return the owner's name, or an empty text when no one has the key."""
        found = self.verifier.find(key, self.owner_by_hash)
        return self.owner_by_hash.get(found, "")
