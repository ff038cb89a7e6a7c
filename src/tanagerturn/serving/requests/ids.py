"""Types of the ids of requests, client accounts and backend servers."""

from __future__ import annotations

from typing import Final, NewType

ClientAccountId = NewType("ClientAccountId", str)
"""Id of a client account."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""Key that the caller assigns to a request; unique within its client account."""

RequestId = NewType("RequestId", str)
"""Id that the entry host assigns to a request."""

BackendServerId = NewType("BackendServerId", str)
"""Id of a backend server."""

MAX_KEY_CHARACTERS: Final = 200
"""Maximum length of an idempotency key, in characters."""
