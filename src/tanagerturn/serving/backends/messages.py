"""Ids, results and errors about backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, NewType

from tanagerturn.coordination.errors import StepError

BackendId = NewType("BackendId", str)
"""Name of a backend server, as it announces it."""

AvailabilityZone = NewType("AvailabilityZone", str)
"""Name of an availability zone."""

NO_ZONE: Final = AvailabilityZone("")
"""Stands for a zone that is not known."""

RequestId = NewType("RequestId", str)
"""Name of one attempt's request at a backend server."""


class AnnouncementFault(StepError):
    """An announcement that was refused: a value in it can't be true.

    Args:
        peer: Id or address in the announcement.
        reason: The field and what is wrong with it.
    """

    def __init__(self, peer: str, reason: str) -> None:
        super().__init__("check announcement", peer, reason)


@dataclass(frozen=True)
class AnnouncementAccepted:
    """What became of a well-formed announcement."""

    cache_sequence: int
    """Last cache event known without a gap."""
    applied: bool = True
    """False when a later one was seen before."""
    eligibility_changed: bool = False
    """The set of requests that the backend server may get has changed."""


@dataclass(frozen=True)
class Completion:
    """What a finished request showed of its backend server."""

    duration_ms: int
    """Time from the send to the last byte."""
    first_token_ms: int | None = None
    """Time to the first token; None for plain services and failures."""
    computed_prompt_tokens: int = 0
    """Prompt tokens that were not in the prefix cache."""
    output_tokens: int = 0
    """Tokens generated."""
