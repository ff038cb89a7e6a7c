"""Verification of bearer keys, of which only salted hashes are stored."""

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
MAX_CACHED_RESULTS: Final = 16_384


def hash_key(key: str, salt: bytes | None = None) -> str:
    """Return the salted hash of a bearer key as `scrypt:SALT:HASH` in hexadecimal.

    Args:
        key: Bearer key.
        salt: Salt of 16 bytes; None generates a random salt.
    """
    salt = salt or secrets.token_bytes(SALT_BYTES)
    digest = hashlib.scrypt(
        key.encode(), salt=salt, n=SCRYPT_COST, r=SCRYPT_BLOCK, p=1, dklen=32
    )
    return f"scrypt:{salt.hex()}:{digest.hex()}"


def matches(key: str, key_hash: str) -> bool:
    """Return whether a bearer key has the given salted hash."""
    _, salt, _ = key_hash.split(":")
    return hmac.compare_digest(hash_key(key, bytes.fromhex(salt)), key_hash)


class KeyVerifier:
    """Compares bearer keys with salted hashes and caches the results.

    scrypt is slow and uses much memory by design, so only one comparison runs at a
    time and its result is cached. The cache is keyed by an unsalted digest of the
    bearer key with a random pepper of the process, and is kept when a new revision of
    the settings takes effect.
    """

    def __init__(self) -> None:
        self.pepper = secrets.token_bytes(SALT_BYTES)
        """Random key of the digests in the cache, new in each process."""
        self.results: OrderedDict[tuple[bytes, str], bool] = OrderedDict()
        """Maps a bearer key's digest and a salted hash to whether they match, oldest
        result first; the oldest result is evicted first."""
        self.lock = threading.Lock()
        """Guards changes of `results`; held during a comparison."""

    def find_match(self, key: str, key_hashes: Iterable[str]) -> str:
        """Return the salted hash that a bearer key matches; empty when none matches.

        Args:
            key: Bearer key.
            key_hashes: Salted hashes to compare the bearer key with.
        """
        digest = hashlib.blake2b(key.encode(), key=self.pepper).digest()
        uncached = []
        for key_hash in key_hashes:
            result = self.results.get((digest, key_hash))
            if result:
                return key_hash
            if result is None:
                uncached.append(key_hash)
        matching = (h for h in uncached if self._compare(key, digest, h))
        return next(matching, "")

    def _compare(self, key: str, digest: bytes, key_hash: str) -> bool:
        with self.lock:
            cached = self.results.get((digest, key_hash))
            if cached is not None:
                return cached
            result = matches(key, key_hash)
            self.results[digest, key_hash] = result
            while len(self.results) > MAX_CACHED_RESULTS:
                self.results.popitem(last=False)
            return result


VERIFIER: Final = KeyVerifier()
"""Default verifier, shared by all key rings of the process."""


class KeyRing:
    """Maps bearer keys to the names of their owners; thread-safe.

    Args:
        owners: Pairs of an owner's name and the salted hashes of its bearer keys.
        verifier: Compares bearer keys with salted hashes.
    """

    def __init__(
        self,
        owners: Iterable[tuple[str, Iterable[str]]],
        verifier: KeyVerifier = VERIFIER,
    ) -> None:
        self.owner_by_hash = {h: name for name, hashes in owners for h in hashes}
        """Maps a salted hash to the name of the owner."""
        self.verifier = verifier
        """Compares bearer keys with salted hashes."""

    def owner_of(self, key: str) -> str:
        """Return the name of a bearer key's owner; empty when the key is unknown."""
        key_hash = self.verifier.find_match(key, self.owner_by_hash)
        return self.owner_by_hash.get(key_hash, "")
