"""Desired state of engines, and what the control program has to do next."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NewType

from tanagerturn.schema import serving_pb2

if TYPE_CHECKING:
    from tanagerturn.coordination.ids import FencingNumber
    from tanagerturn.serving.backends.messages import BackendId

OrderId = NewType("OrderId", str)
"""Name of an order; an engine carries one id out once."""


@dataclass(frozen=True)
class DesiredModel:
    """A model that an engine should have ready."""

    model: str
    """Name of the model."""
    version: str
    """Version of the model."""
    adapters: frozenset[str] = frozenset()
    """Adapters that should be loaded."""
    service: str = ""
    """Service that it is for."""
    priority: serving_pb2.Priority.ValueType = serving_pb2.NORMAL
    """Priority of that service; urgent ones load first."""
    ready_floor: int = 1
    """Ready engines of the service to keep while versions roll."""


@dataclass(frozen=True)
class DesiredEngine:
    """What one engine should run."""

    backend_id: BackendId
    """Engine."""
    models: tuple[DesiredModel, ...] = ()
    """Models to have ready; others stay until room is needed."""
    role: serving_pb2.BackendRole.ValueType | None = None
    """Role to have; None leaves it as it is."""


@dataclass(frozen=True)
class ControlTerm:
    """One holding of the control lease, by the holder's own clock."""

    fencing_number: FencingNumber
    """Fencing number of the lease."""
    valid_until_ms: int
    """The holder may act until then."""
    quiet_until_ms: int = 0
    """Until then an order of an earlier holder may still reach an engine."""


class OrderStage(Enum):
    """How far an open order is."""

    ADOPTED = "adopted"
    RECORDING = "recording"
    RECORDED = "recorded"
    SENDING = "sending"
    UNSETTLED = "unsettled"
    ASKING = "asking"
    ACCEPTED = "accepted"
    CLOSING = "closing"


@dataclass
class OpenOrder:
    """The one order of an engine that isn't closed."""

    order: serving_pb2.Order
    """The order as recorded."""
    stage: OrderStage
    """How far it is."""
    since_ms: int
    """When it came to this stage."""
    attempts: int = 0
    """Sends so far."""
    not_before_ms: int = 0
    """No send before this time."""
    adopted: bool = False
    """An earlier holder recorded it and may have sent it."""
    arrives_until_ms: int = 0
    """Until then a send of it may still reach the engine."""
    lost_until_ms: int = 0
    """The same for sends whose answer was lost."""
    incarnation: str = ""
    """Start of the engine that the order was sent to."""
    outcome: serving_pb2.OrderOutcome | None = None
    """How it ended, once known."""


@dataclass(frozen=True)
class RecordOrder:
    """Write the order under its engine's key; then call `on_recorded`."""

    order: serving_pb2.Order
    """The order."""
    adopted: bool = False
    """An earlier holder's order is written again with the own number."""


@dataclass(frozen=True)
class SendOrder:
    """Send a recorded order; then call `on_send_answer`."""

    order: serving_pb2.Order
    """The order."""
    address: str
    """IP number and port of the engine."""
    until_ms: int
    """The send must have ended by then; later it must not be begun."""


@dataclass(frozen=True)
class AskEngine:
    """Get the engine's state; then call `on_state` or `on_state_lost`."""

    backend_id: BackendId
    """Engine."""
    address: str
    """IP number and port of the engine."""


@dataclass(frozen=True)
class CloseOrder:
    """Delete the order's record; then call `on_closed`."""

    order: serving_pb2.Order
    """The order."""
    done: bool
    """The engine carried it out."""
    reason: str
    """Why it ended."""


OrderStep = RecordOrder | SendOrder | AskEngine | CloseOrder


class SendAnswer(Enum):
    """What came back for a sent order."""

    ACCEPTED = "accepted"
    STALE = "stale"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True)
class OrderPlan:
    """Steps due now, and why wanted orders are held back."""

    steps: tuple[OrderStep, ...] = ()
    """What to do, in order."""
    held_back: dict[BackendId, str] = field(default_factory=dict)
    """Engine to the reason that its next order waits."""
