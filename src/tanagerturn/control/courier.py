"""Carries the order book's steps out: writes, sends, asks.

`OrderCourier` holds the state of the active control process and is owned by one
actor. What may take time is a `Job`, which `perform` does elsewhere; its
`Report` comes back to the courier.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.ids import FencingNumber, LeaseName
from tanagerturn.coordination.leases import safe_to_order_at
from tanagerturn.coordination.store import Status
from tanagerturn.observe.logs import component_logger
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.backends.view import make_backend_view
from tanagerturn.serving.orders.book import SEND_TIMEOUT_MS, make_order_book
from tanagerturn.serving.orders.desired import desired_engines
from tanagerturn.serving.orders.messages import (
    AskEngine,
    CloseOrder,
    ControlTerm,
    OrderPlan,
    RecordOrder,
    SendAnswer,
    SendOrder,
)
from tanagerturn.serving.orders.records import (
    ORDER_PREFIX,
    close_transaction,
    order_key,
    orders_in,
    record_transaction,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from expression import Result

    from tanagerturn.coordination.client import StateClient
    from tanagerturn.coordination.errors import StepError
    from tanagerturn.coordination.leases import LeaseKeeper
    from tanagerturn.schema.settings_pb2 import DeploymentSettings
    from tanagerturn.serving.backends.messages import (
        AnnouncementAccepted,
        AnnouncementFault,
        BackendId,
    )
    from tanagerturn.serving.orders.messages import OrderStep

log = component_logger("orders")

WRITE_TIMEOUT_S: Final = 2.0
SCAN_PAGE: Final = 500
CONTROL_LEASE: Final = LeaseName("control")


@dataclass(frozen=True)
class Now:
    """The present time in milliseconds.

    The wall clock is read once at the start and carried on by the monotonic one,
    so that a jump of the wall clock changes nothing.
    """

    monotonic_ms: int
    wall_ms: int


@dataclass(frozen=True)
class Job:
    """A step that may take time."""

    step: OrderStep
    number: FencingNumber
    """Fencing number of the holder that planned it."""
    revision: int
    """Revision of the engine's record; 0 when there is none."""
    until_ms: int
    """Monotonic time after which a send must not be begun."""


@dataclass(frozen=True)
class Report:
    """What became of a job."""

    job: Job
    written: Result[pb.CommandResult, StepError] | None = None
    """Answer to a write."""
    answer: SendAnswer | None = None
    """Answer to a sent order."""
    reason: str = ""
    """Why the engine refused it."""
    state: serving_pb2.Announcement | None = None
    """State of the asked engine; None when it did not answer."""


class EngineTransport(Protocol):
    """Calls to engines."""

    def send(
        self, address: str, order: serving_pb2.Order, timeout_s: float
    ) -> tuple[SendAnswer, str]:
        """Send an order; returns the answer and the engine's reason."""
        ...

    def ask(self, address: str, timeout_s: float) -> serving_pb2.Announcement | None:
        """Return an engine's state; None when it did not answer."""
        ...


class OrderCourier:
    """Orders of one control process, while it holds the control lease.

    Args:
        client: Calls to the replicated store.
        keeper: The control lease.
        random: Source of jitter.
    """

    def __init__(
        self, client: StateClient, keeper: LeaseKeeper, random: Random
    ) -> None:
        self.client = client
        """Calls to the replicated store."""
        self.keeper = keeper
        """The control lease."""
        self.random = random
        """Source of jitter."""
        self.settings: DeploymentSettings | None = None
        """Settings in force; None before the first."""
        self.view = make_backend_view()
        """Announced state of the engines."""
        self.book = make_order_book()
        """Open orders of this term."""
        self.number = FencingNumber(0)
        """Fencing number of this term; 0 when no term was begun."""
        self.revisions: dict[str, int] = {}
        """Revision of each engine's record, by key."""
        self.held_back: dict[BackendId, str] = {}
        """Why wanted orders wait, as of the last plan."""

    def on_announcement(
        self, announcement: serving_pb2.Announcement, now: Now
    ) -> Result[AnnouncementAccepted, AnnouncementFault]:
        """Take an announcement, or return the fault for which it is refused."""
        taken = self.view.on_announcement(announcement, now.wall_ms)
        if taken.is_ok():
            self.book.on_state(announcement, now.wall_ms, self.random)
        return taken

    def plan(self, now: Now) -> list[Job]:
        """Return the jobs that are due."""
        if not self.keeper.held(now.monotonic_ms) or self.settings is None:
            return []
        if self.number != self.keeper.fencing_number and not self._begin(now):
            return []
        self.view.expire(now.wall_ms)
        desired = desired_engines(self.settings, self.view.backends.values())
        term = self._term(now)
        plan: OrderPlan = self.book.plan(desired, self.view, term, now.wall_ms)
        self.held_back = plan.held_back
        return [self._job(step, now) for step in plan.steps]

    def take(self, report: Report, now: Now) -> None:
        """Take what became of a job; one of an earlier term is dropped."""
        if report.job.number != self.number:
            return
        step = report.job.step
        match step:
            case RecordOrder():
                self._take_record(step, report, now)
            case CloseOrder():
                self._take_close(step, report, now)
            case SendOrder():
                answer = report.answer or SendAnswer.LOST
                self.book.on_send_answer(step.order, answer, report.reason, now.wall_ms)
            case AskEngine():
                self._take_state(step, report, now)

    def dump(self) -> dict[str, object]:
        """Return the state for a dump."""
        return {
            "fencing_number": self.number,
            "engines": sorted(self.view.backends),
            "held_back": dict(self.held_back),
            "open": {
                backend_id: {
                    "order": entry.order,
                    "stage": entry.stage.value,
                    "attempts": entry.attempts,
                    "adopted": entry.adopted,
                }
                for backend_id, entry in self.book.open.items()
            },
        }

    def _begin(self, now: Now) -> bool:
        """Go on from the recorded orders of earlier holders."""
        entries: list[pb.KeyValue] = []
        more = True
        while more:
            after = entries[-1].key if entries else ""
            page = self.client.scan(
                CONTROL_GROUP, ORDER_PREFIX, WRITE_TIMEOUT_S, after, SCAN_PAGE
            )
            if page.is_error():
                log.warning("Recorded orders can't be read: {}", page.error)
                return False
            entries += page.ok.entries
            more = page.ok.more
        self.number = FencingNumber(self.keeper.fencing_number)
        self.book = make_order_book()
        self.revisions = {entry.key: entry.mod_revision for entry in entries}
        self.book.adopt(orders_in(entries), now.wall_ms)
        log.info("Term {} goes on from {} orders.", self.number, len(entries))
        return True

    def _term(self, now: Now) -> ControlTerm:
        core = self.keeper.core
        to_wall_ms = now.wall_ms - now.monotonic_ms
        quiet_ms = safe_to_order_at(core.granted_at_ms, core.terms, SEND_TIMEOUT_MS)
        return ControlTerm(
            self.number, core.valid_until_ms + to_wall_ms, quiet_ms + to_wall_ms
        )

    def _job(self, step: OrderStep, now: Now) -> Job:
        until_ms = now.monotonic_ms + SEND_TIMEOUT_MS
        key = ""
        match step:
            case SendOrder():
                until_ms = now.monotonic_ms + step.until_ms - now.wall_ms
            case RecordOrder() | CloseOrder():
                key = order_key(step.order.backend_server)
        until_ms = min(until_ms, self.keeper.core.valid_until_ms)
        return Job(step, self.number, self.revisions.get(key, 0), until_ms)

    def _take_record(self, step: RecordOrder, report: Report, now: Now) -> None:
        result = self._written(report)
        if result is None:
            return
        key = order_key(step.order.backend_server)
        if result.status == Status.APPLIED:
            self.revisions[key] = result.revision
            self.book.on_recorded(step.order, now.wall_ms)
            return
        found = _found(result, key)
        if _is_same(found, step.order):
            # An earlier write of this order came through, its answer did not.
            self.revisions[key] = found.mod_revision
            self.book.on_recorded(step.order, now.wall_ms)
            return
        self.book.on_record_refused(step.order)
        if result.status == Status.CONFLICT:
            self._adopt(found, now)

    def _take_close(self, step: CloseOrder, report: Report, now: Now) -> None:
        result = self._written(report)
        if result is None:
            return
        key = order_key(step.order.backend_server)
        gone = result.status == Status.CONFLICT and not _found(result, key).mod_revision
        if result.status == Status.APPLIED or gone:
            self.revisions.pop(key, None)
            self.book.on_closed(step.order, now.wall_ms)
            log.info("Order {} is closed: {}", step.order.order_id, step.reason)

    def _take_state(self, step: AskEngine, report: Report, now: Now) -> None:
        if report.state is None:
            self.book.on_state_lost(step.backend_id, now.wall_ms)
            return
        self.on_announcement(report.state, now)

    def _written(self, report: Report) -> pb.CommandResult | None:
        if report.written is None or report.written.is_error():
            # Unknown: the book asks for the same write again.
            return None
        result = report.written.ok
        if result.status == Status.FENCED:
            log.warning("Term {} is over.", self.number)
            self.number = FencingNumber(0)
            self.keeper.core.on_lost(self.keeper.clock())
            return None
        return result

    def _adopt(self, found: pb.KeyValue, now: Now) -> None:
        if not found.mod_revision:
            self.revisions.pop(found.key, None)
            return
        self.revisions[found.key] = found.mod_revision
        self.book.adopt(orders_in([found]), now.wall_ms)


def perform(
    job: Job,
    client: StateClient,
    transport: EngineTransport,
    monotonic_ms: Callable[[], int],
) -> Report:
    """Do a job and report what became of it.

    Args:
        job: The job.
        client: Calls to the replicated store.
        transport: Calls to engines.
        monotonic_ms: Returns the monotonic time in milliseconds.
    """
    step = job.step
    match step:
        case RecordOrder():
            found = job.revision if step.adopted else 0
            transaction = record_transaction(step, CONTROL_LEASE, found)
            return Report(job, written=_write(client, transaction))
        case CloseOrder():
            transaction = close_transaction(
                step, CONTROL_LEASE, job.number, job.revision
            )
            return Report(job, written=_write(client, transaction))
        case SendOrder():
            left_ms = job.until_ms - monotonic_ms()
            if left_ms <= 0:
                return Report(job, answer=SendAnswer.LOST, reason="too late to send")
            answer, reason = transport.send(step.address, step.order, left_ms / 1000)
            return Report(job, answer=answer, reason=reason)
        case AskEngine():
            state = transport.ask(step.address, SEND_TIMEOUT_MS / 1000)
            return Report(job, state=state)


def _write(
    client: StateClient, transaction: pb.Transaction
) -> Result[pb.CommandResult, StepError]:
    command = pb.Command(transaction=transaction)
    return client.propose(CONTROL_GROUP, command, WRITE_TIMEOUT_S)


def _found(result: pb.CommandResult, key: str) -> pb.KeyValue:
    return next((e for e in result.current if e.key == key), pb.KeyValue(key=key))


def _is_same(found: pb.KeyValue, order: serving_pb2.Order) -> bool:
    if not found.mod_revision:
        return False
    recorded = serving_pb2.Order.FromString(found.value)
    return (recorded.order_id, recorded.fencing_number) == (
        order.order_id,
        order.fencing_number,
    )
