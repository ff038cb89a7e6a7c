"""Identifiers, results and errors concerning backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, NewType

from tanagerturn.coordination.errors import StepError

BackendId = NewType("BackendId", str)
"""Id of a backend server, as it announces itself."""

AvailabilityZone = NewType("AvailabilityZone", str)
"""Id of an availability zone."""

NO_ZONE: Final = AvailabilityZone("")
"""Value for an unknown availability zone."""

RequestId = NewType("RequestId", str)
"""Id of the request of one attempt at a backend server."""


class AnnouncementFault(StepError):
    """An announcement was refused because of an invalid value.

    Args:
        peer: Id or address in the announcement.
        reason: The invalid field and what is wrong with it.
    """

    def __init__(self, peer: str, reason: str) -> None:
        super().__init__("check announcement", peer, reason)


@dataclass(frozen=True)
class AnnouncementAccepted:
    """Result of a valid announcement."""

    cache_sequence: int
    """Sequence number of the last cache event received without a gap."""
    applied: bool = True
    """Whether it was applied; False when a later one was received before."""
    eligibility_changed: bool = False
    """Whether the set of requests that the backend server may get has changed."""


@dataclass(frozen=True)
class Completion:
    """Measurements of a finished request at a backend server."""

    duration_ms: int
    """Milliseconds from sending the request to receiving the last byte."""
    first_token_ms: int | None = None
    """Milliseconds to the first token; None for plain services and failures."""
    computed_prompt_tokens: int = 0
    """Number of prompt tokens that were not in the prefix cache."""
    output_tokens: int = 0
    """Number of generated tokens."""
