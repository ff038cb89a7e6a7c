"""Desired state of engines, open orders, and the steps that the order book plans."""

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
    """Adapters of the model that should be loaded."""
    service: str = ""
    """Service for which the model is loaded."""
    priority: serving_pb2.Priority.ValueType = serving_pb2.NORMAL
    """Priority of the service; models of more urgent services are loaded first."""
    ready_floor: int = 1
    """Minimum number of other ready engines of the service while an engine loads."""


@dataclass(frozen=True)
class DesiredEngine:
    """Desired state of one engine."""

    backend_id: BackendId
    """Id of the engine."""
    models: tuple[DesiredModel, ...] = ()
    """Models that should be ready; models that are not named are not unloaded."""
    role: serving_pb2.BackendRole.ValueType | None = None
    """Desired role; None to keep the announced role."""


@dataclass(frozen=True)
class ControlTerm:
    """One term of the control lease, with times on the clock of the lease holder."""

    fencing_number: FencingNumber
    """Fencing number of the lease in this term."""
    valid_until_ms: int
    """Time in milliseconds until which the lease holder may act."""
    quiet_until_ms: int = 0
    """Time in milliseconds until which an order that an earlier holder sent may still
    reach an engine."""


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
    """An order of an engine that is not closed yet.

    Times are in milliseconds on the clock of the lease holder.
    """

    order: serving_pb2.Order
    """The order as last recorded."""
    stage: OrderStage
    """Current stage of the order."""
    since_ms: int
    """Time at which the current stage began."""
    attempts: int = 0
    """Number of times that this holder has sent the order."""
    not_before_ms: int = 0
    """Time before which the order is not sent and its engine is not queried."""
    adopted: bool = False
    """Whether an earlier holder recorded the order and may have sent it."""
    may_arrive_until_ms: int = 0
    """Time until which a send of the order may still reach the engine."""
    lost_send_until_ms: int = 0
    """Time until which a send whose response was lost may still reach the engine."""
    incarnation: str = ""
    """Incarnation of the engine at the last send; empty before the first send."""
    outcome: serving_pb2.OrderOutcome | None = None
    """Outcome of the order; None until it is known."""


@dataclass(frozen=True)
class RecordOrder:
    """Store the order under the key of its engine; then call `on_recorded`.

    If the key holds another record, call `on_record_refused` instead.
    """

    order: serving_pb2.Order
    """The order to store."""
    adopted: bool = False
    """Whether the order replaces its record by an earlier lease holder."""


@dataclass(frozen=True)
class SendOrder:
    """Send a recorded order; then call `on_send_answer`."""

    order: serving_pb2.Order
    """The order to send."""
    address: str
    """IP address and port of the engine."""
    until_ms: int
    """Time in milliseconds by which sending the order must have ended."""


@dataclass(frozen=True)
class QueryEngine:
    """Query the state of an engine; then call `on_state` or `on_state_lost`."""

    backend_id: BackendId
    """Id of the engine."""
    address: str
    """IP address and port of the engine."""


@dataclass(frozen=True)
class CloseOrder:
    """Delete the record of an order; then call `on_closed`."""

    order: serving_pb2.Order
    """The order to close."""
    done: bool
    """Whether the engine executed the order."""
    reason: str
    """Reason for the failure of the order; empty if it was executed."""


OrderStep = RecordOrder | SendOrder | QueryEngine | CloseOrder


class SendAnswer(Enum):
    """Response of an engine to a sent order; LOST if none was received."""

    ACCEPTED = "accepted"
    STALE = "stale"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True)
class OrderPlan:
    """Steps that are due, and the reasons for which other orders must wait."""

    steps: tuple[OrderStep, ...] = ()
    """Steps to perform, in this order."""
    held_back: dict[BackendId, str] = field(default_factory=dict)
    """Reason why the next order must wait, for each engine whose next order must."""
