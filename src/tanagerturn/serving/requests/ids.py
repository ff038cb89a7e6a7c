"""Ids of requests."""

from __future__ import annotations

from typing import Final, NewType

ClientAccountId = NewType("ClientAccountId", str)
"""Name of a client account."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""Name that the caller gives a request; unique in its client account."""

RequestId = NewType("RequestId", str)
"""Name that the entry host gives a request."""

BackendServerId = NewType("BackendServerId", str)
"""Name of a backend server."""

KEY_LIMIT_CHARACTERS: Final = 200
"""Longest idempotency key that is taken."""
