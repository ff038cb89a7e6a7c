"""What asks for admission, and what it is told."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from tanagerturn.schema import serving_pb2 as pb

TicketId = NewType("TicketId", int)
"""Number of a request at the admission of one entry host."""


class RefusalReason(Enum):
    """Why a request was refused before it was accepted."""

    WAIT_TOO_LONG = "it would wait past its deadline"
    HOST_FULL = "the entry host holds as many requests as it can"
    NO_BACKEND = "no backend server of the service is up"
    DEADLINE = "its deadline passed while it waited"
    DRAINING = "the entry host is shutting down"


@dataclass(frozen=True)
class Ticket:
    """One request that asks for admission."""

    ticket_id: TicketId
    """Number of the request."""
    service: str
    """Service that it is for."""
    client_account: str
    """Client account that sent it."""
    priority: pb.Priority.ValueType
    """Priority by the service's settings."""
    arrived_s: float
    """Monotonic clock when it arrived."""
    deadline_s: float
    """Monotonic clock after which its caller no longer waits."""
    weight: float = 1.0
    """Share of the client account among others of the same priority."""

    @property
    def urgent(self) -> bool:
        """Tell whether it may use the reserved room."""
        return self.priority == pb.URGENT


@dataclass(frozen=True)
class Start:
    """The request runs now."""


@dataclass(frozen=True)
class Wait:
    """The request waits for a slot."""

    estimated_s: float
    """Time that it is expected to wait."""


@dataclass(frozen=True)
class Refuse:
    """The request was not run."""

    reason: RefusalReason
    """Why."""
    retry_after_s: float
    """Time after which it would be taken if no other request came."""


Decision = Start | Wait | Refuse
"""What a request is told."""
