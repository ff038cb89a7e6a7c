"""Requests for admission and the decisions on them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from tanagerturn.schema import serving_pb2 as pb

TicketId = NewType("TicketId", int)
"""Id of a request, unique within the admission control of one entry host."""


class RefusalReason(Enum):
    """Why a request was refused before it ran."""

    WAIT_TOO_LONG = "it would wait past its deadline"
    HOST_FULL = "the entry host holds as many requests as it can"
    NO_BACKEND = "no backend server of the service is up"
    DEADLINE = "its deadline passed while it waited"
    DRAINING = "the entry host is shutting down"


@dataclass(frozen=True)
class Ticket:
    """One request for admission."""

    ticket_id: TicketId
    """Id of the request."""
    service: str
    """Name of the service that the request calls."""
    client_account: str
    """Client account that sent the request."""
    priority: pb.Priority.ValueType
    """Priority of the request, from the settings of the service."""
    arrived_s: float
    """Monotonic time of the arrival in seconds."""
    deadline_s: float
    """Monotonic time in seconds after which the caller no longer waits."""
    weight: float = 1.0
    """Share of the client account relative to other accounts of the same priority."""

    @property
    def urgent(self) -> bool:
        """Return whether the request may use the reserved capacity."""
        return self.priority == pb.URGENT


@dataclass(frozen=True)
class Start:
    """The request starts now."""


@dataclass(frozen=True)
class Wait:
    """The request waits for a slot."""

    estimated_s: float
    """Estimated wait in seconds."""


@dataclass(frozen=True)
class Refuse:
    """The request is refused and has not run."""

    reason: RefusalReason
    """Reason for the refusal."""
    retry_after_s: float
    """Seconds after which a retry would be admitted if no other request arrived."""


Decision = Start | Wait | Refuse
"""Result of offering a request to the admission control."""
