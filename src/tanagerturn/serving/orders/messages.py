"""Desired state of engines, open orders, and steps of the control process."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NewType

from tanagerturn.schema import serving_pb2

if TYPE_CHECKING:
    from tanagerturn.coordination.ids import FencingNumber
    from tanagerturn.serving.backends.messages import BackendId

OrderId = NewType("OrderId", str)
"""Id of an order; an engine executes each id once."""


@dataclass(frozen=True)
class DesiredModel:
    """A model that should be ready at an engine."""

    model: str
    """Name of the model."""
    version: str
    """Version of the model."""
    adapters: frozenset[str] = frozenset()
    """Adapters that should be loaded."""
    service: str = ""
    """Service that the model is for."""
    priority: serving_pb2.Priority.ValueType = serving_pb2.NORMAL
    """Priority of the service; models of urgent services load first."""
    ready_floor: int = 1
    """Minimum number of ready engines of the service during a rollout."""


@dataclass(frozen=True)
class DesiredEngine:
    """Desired state of one engine."""

    backend_id: BackendId
    """Id of the engine."""
    models: tuple[DesiredModel, ...] = ()
    """Models that should be ready; other models are not unloaded."""
    role: serving_pb2.BackendRole.ValueType | None = None
    """Desired role; None to keep the current one."""


@dataclass(frozen=True)
class ControlTerm:
    """One term of the control lease, on the clock of its holder."""

    fencing_number: FencingNumber
    """Fencing number of the lease."""
    valid_until_ms: int
    """Time in milliseconds until which the holder may act."""
    quiet_until_ms: int = 0
    """Time in milliseconds until which an order of an earlier holder may still reach an
    engine."""


class OrderStage(Enum):
    """Stage of an open order."""

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
    """The order of an engine that is not closed yet; times in milliseconds."""

    order: serving_pb2.Order
    """The order as recorded."""
    stage: OrderStage
    """Current stage."""
    since_ms: int
    """Time at which the current stage began."""
    attempts: int = 0
    """Number of sends so far."""
    not_before_ms: int = 0
    """Time before which it is neither sent nor queried."""
    adopted: bool = False
    """Whether an earlier holder recorded it and may have sent it."""
    may_arrive_until_ms: int = 0
    """Time until which a send may still reach the engine."""
    lost_send_until_ms: int = 0
    """Time until which a send whose answer was lost may still reach the engine."""
    incarnation: str = ""
    """Incarnation of the engine at the last send; empty before the first."""
    outcome: serving_pb2.OrderOutcome | None = None
    """Outcome of the order; None until it is known."""


@dataclass(frozen=True)
class RecordOrder:
    """Write the order under the key of its engine; then call `on_recorded`."""

    order: serving_pb2.Order
    """The order."""
    adopted: bool = False
    """Whether it replaces the record of an earlier holder."""


@dataclass(frozen=True)
class SendOrder:
    """Send a recorded order; then call `on_send_answer`."""

    order: serving_pb2.Order
    """The order."""
    address: str
    """IP address and port of the engine."""
    until_ms: int
    """Time in milliseconds by which the send must have ended."""


@dataclass(frozen=True)
class AskEngine:
    """Query the state of an engine; then call `on_state` or `on_state_lost`."""

    backend_id: BackendId
    """Id of the engine."""
    address: str
    """IP address and port of the engine."""


@dataclass(frozen=True)
class CloseOrder:
    """Delete the record of an order; then call `on_closed`."""

    order: serving_pb2.Order
    """The order."""
    done: bool
    """Whether the engine executed it."""
    reason: str
    """Reason for a failure; empty when it was executed."""


OrderStep = RecordOrder | SendOrder | AskEngine | CloseOrder


class SendAnswer(Enum):
    """Answer to a sent order; LOST when none was received."""

    ACCEPTED = "accepted"
    STALE = "stale"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True)
class OrderPlan:
    """Steps that are due, and the reasons for delayed orders."""

    steps: tuple[OrderStep, ...] = ()
    """Steps to perform, in order."""
    held_back: dict[BackendId, str] = field(default_factory=dict)
    """Engines whose next order is delayed, with the reason."""
