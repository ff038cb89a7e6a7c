"""Bearer keys, kept only as salted hashes."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

SCRYPT_COST: Final = 2**12
SCRYPT_BLOCK: Final = 8
SALT_BYTES: Final = 16
VERDICT_CACHE_LIMIT: Final = 1024


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


class KeyRing:
    """Finds the owner of a bearer key; safe to use from several threads.

    Salted hashes are slow on purpose, so verdicts are kept under an unsalted
    digest of the key, with a random pepper of the process.
    """

    def __init__(self, owners: Iterable[tuple[str, Iterable[str]]]) -> None:
        self.owners = [(name, list(hashes)) for name, hashes in owners]
        """Owner's name and the hashes of its keys."""
        self.pepper = secrets.token_bytes(SALT_BYTES)
        """Random bytes of this process."""
        self.verdicts: OrderedDict[bytes, str] = OrderedDict()
        """Digest of a key to its owner, newest last."""

    def owner_of(self, key: str) -> str:
        """Return the owner's name, or an empty text when no one has the key."""
        digest = hashlib.blake2b(key.encode(), key=self.pepper).digest()
        known = self.verdicts.get(digest)
        if known is not None:
            return known
        found = self._search(key)
        self.verdicts[digest] = found
        while len(self.verdicts) > VERDICT_CACHE_LIMIT:
            self.verdicts.popitem(last=False)
        return found

    def _search(self, key: str) -> str:
        for name, hashes in self.owners:
            if any(matches(key, key_hash) for key_hash in hashes):
                return name
        return ""
