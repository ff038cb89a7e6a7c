"""Identifiers, results and errors concerning backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, NewType

from tanagerturn.coordination.errors import StepError

BackendId = NewType("BackendId", str)
"""Id that a backend server announces."""

SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of a backend server's software; a stream can't go on at another version."""

AvailabilityZone = NewType("AvailabilityZone", str)
"""Id of an availability zone."""

NO_ZONE: Final = AvailabilityZone("")
"""Value of an unknown availability zone."""

RequestId = NewType("RequestId", str)
"""Id of one backend attempt of a request."""


class AnnouncementFault(StepError):
    """An announcement was refused because a field is invalid.

    Args:
        peer: Id of the backend server in the announcement, or its address.
        reason: The invalid field and what is wrong with it.
    """

    def __init__(self, peer: str, reason: str) -> None:
        super().__init__("check announcement", peer, reason)


@dataclass(frozen=True)
class AnnouncementAccepted:
    """Result of a valid announcement, which may be outdated."""

    cache_sequence: int
    """Sequence number of the last cache event received without a gap."""
    applied: bool = True
    """Whether the announcement was applied; False if a later one arrived before it."""
    eligibility_changed: bool = False
    """Whether the announcement changed which requests the backend server may get."""


@dataclass(frozen=True)
class Completion:
    """Measurements of a finished request at a backend server."""

    duration_ms: int
    """Milliseconds from sending the request to receiving the last byte."""
    first_token_ms: int | None = None
    """Milliseconds from sending the request to the first token; None for plain
    services and failures."""
    computed_prompt_tokens: int = 0
    """Number of prompt tokens that were not in the prefix cache."""
    output_tokens: int = 0
    """Number of generated tokens."""
