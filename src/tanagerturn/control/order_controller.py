"""Performs the steps of the order book: store writes, sends and engine queries.

`OrderController` holds the orders of the active control process and is owned by one
actor. Each step that may block is a `Job`, which `perform_job` performs on another
thread; its `JobResult` is passed back to the controller.
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
    CloseOrder,
    ControlTerm,
    OrderPlan,
    QueryEngine,
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

STORE_TIMEOUT_S: Final = 2.0
"""Timeout of a call to the replicated store, in seconds."""

SCAN_PAGE_ENTRIES: Final = 500
"""Maximum number of records that one scan returns."""

CONTROL_LEASE: Final = LeaseName("control")
"""Lease whose holder is the active control process."""


@dataclass(frozen=True)
class CurrentTime:
    """The current time on two clocks, in milliseconds.

    The wall clock is read once at the start and advanced by the monotonic clock, so
    that a jump of the wall clock has no effect.
    """

    monotonic_ms: int
    wall_ms: int


@dataclass(frozen=True)
class Job:
    """A step of the order book to be performed on another thread."""

    step: OrderStep
    fencing_number: FencingNumber
    """Fencing number of the term in which the step was planned."""
    revision: int
    """Store revision of the order record of the engine; 0 if there is none."""
    send_deadline_ms: int
    """Monotonic time in milliseconds from which on no send may start; the remaining
    time is also the timeout of the send."""


@dataclass(frozen=True)
class JobResult:
    """Result of a job."""

    job: Job
    store_result: Result[pb.CommandResult, StepError] | None = None
    """Result of a write to the store; None for a job that does not write."""
    answer: SendAnswer | None = None
    """Answer to a sent order; None for a job that does not send."""
    reason: str = ""
    """Reason why the order was refused or lost; empty if none was given."""
    state: serving_pb2.Announcement | None = None
    """State of the queried engine; None without a valid response."""


class EngineTransport(Protocol):
    """Sends requests to engines."""

    def send(
        self, address: str, order: serving_pb2.Order, timeout_s: float
    ) -> tuple[SendAnswer, str]:
        """Send an order; return the answer, and the reason unless it was accepted."""
        ...

    def query_state(
        self, address: str, timeout_s: float
    ) -> serving_pb2.Announcement | None:
        """Return the state of an engine; None without a valid response."""
        ...


class OrderController:
    """Plans the orders of one control process while it holds the control lease.

    Args:
        client: Client of the replicated store.
        keeper: Keeper of the control lease.
        random: Random generator for the jitter of retry delays.
    """

    def __init__(
        self, client: StateClient, keeper: LeaseKeeper, random: Random
    ) -> None:
        self.client = client
        """Client of the replicated store."""
        self.keeper = keeper
        """Keeper of the control lease."""
        self.random = random
        """Random generator for the jitter of retry delays."""
        self.settings: DeploymentSettings | None = None
        """Settings in force; None until the first settings are applied."""
        self.view = make_backend_view()
        """State of the backend servers as they announced it."""
        self.book = make_order_book()
        """Open orders of the current term."""
        self.fencing_number = FencingNumber(0)
        """Fencing number of the current term; 0 if no term has begun or the term was
        fenced off."""
        self.revisions: dict[str, int] = {}
        """Store revision of each order record, by key."""
        self.held_back: dict[BackendId, str] = {}
        """Reason for each delayed order in the last plan, by engine."""

    def on_announcement(
        self, announcement: serving_pb2.Announcement, now: CurrentTime
    ) -> Result[AnnouncementAccepted, AnnouncementFault]:
        """Process an announcement, or return the fault for which it is refused."""
        accepted = self.view.on_announcement(announcement, now.wall_ms)
        if accepted.is_ok():
            self.book.on_state(announcement, now.wall_ms, self.random)
        return accepted

    def plan(self, now: CurrentTime) -> list[Job]:
        """Return the due jobs; empty without settings or without the control lease."""
        if not self.keeper.held(now.monotonic_ms) or self.settings is None:
            return []
        if self.fencing_number != self.keeper.fencing_number and not self._begin_term(
            now
        ):
            return []
        self.view.expire(now.wall_ms)
        desired = desired_engines(self.settings, self.view.backends.values())
        term = self._control_term(now)
        plan: OrderPlan = self.book.plan(desired, self.view, term, now.wall_ms)
        self.held_back = plan.held_back
        return [self._make_job(step, now) for step in plan.steps]

    def apply_result(self, job_result: JobResult, now: CurrentTime) -> None:
        """Process the result of a job; results of earlier terms are ignored."""
        if job_result.job.fencing_number != self.fencing_number:
            return
        step = job_result.job.step
        match step:
            case RecordOrder():
                self._apply_record_result(step, job_result, now)
            case CloseOrder():
                self._apply_close_result(step, job_result, now)
            case SendOrder():
                answer = job_result.answer or SendAnswer.LOST
                self.book.on_send_answer(
                    step.order, answer, job_result.reason, now.wall_ms
                )
            case QueryEngine():
                self._apply_query_result(step, job_result, now)

    def dump(self) -> dict[str, object]:
        """Return the term, the known engines and the orders for a dump."""
        return {
            "fencing_number": self.fencing_number,
            "engines": sorted(self.view.backends),
            "held_back": dict(self.held_back),
            "open": {
                backend_id: {
                    "order": entry.order,
                    "stage": entry.stage.value,
                    "attempts": entry.attempts,
                    "adopted": entry.adopted,
                }
                for backend_id, entry in self.book.open_orders.items()
            },
        }

    def _begin_term(self, now: CurrentTime) -> bool:
        """Begin a term by adopting the recorded orders of earlier holders.

        Returns:
            Whether all records were read; otherwise no term has begun.
        """
        entries: list[pb.KeyValue] = []
        has_more = True
        while has_more:
            after = entries[-1].key if entries else ""
            page = self.client.scan(
                CONTROL_GROUP, ORDER_PREFIX, STORE_TIMEOUT_S, after, SCAN_PAGE_ENTRIES
            )
            if page.is_error():
                log.warning("Reading the recorded orders failed: {}", page.error)
                return False
            entries += page.ok.entries
            has_more = page.ok.more
        self.fencing_number = FencingNumber(self.keeper.fencing_number)
        self.book = make_order_book()
        self.revisions = {entry.key: entry.mod_revision for entry in entries}
        self.book.adopt(orders_in(entries), now.wall_ms)
        log.info(
            "Term {} began with {} recorded orders.", self.fencing_number, len(entries)
        )
        return True

    def _control_term(self, now: CurrentTime) -> ControlTerm:
        core = self.keeper.core
        wall_offset_ms = now.wall_ms - now.monotonic_ms
        quiet_until_ms = safe_to_order_at(
            core.granted_at_ms, core.terms, SEND_TIMEOUT_MS
        )
        return ControlTerm(
            self.fencing_number,
            core.valid_until_ms + wall_offset_ms,
            quiet_until_ms + wall_offset_ms,
        )

    def _make_job(self, step: OrderStep, now: CurrentTime) -> Job:
        send_deadline_ms = now.monotonic_ms + SEND_TIMEOUT_MS
        key = ""
        match step:
            case SendOrder():
                send_deadline_ms = now.monotonic_ms + step.until_ms - now.wall_ms
            case RecordOrder() | CloseOrder():
                key = order_key(step.order.backend_server)
        send_deadline_ms = min(send_deadline_ms, self.keeper.core.valid_until_ms)
        return Job(
            step, self.fencing_number, self.revisions.get(key, 0), send_deadline_ms
        )

    def _apply_record_result(
        self, step: RecordOrder, job_result: JobResult, now: CurrentTime
    ) -> None:
        result = self._store_result(job_result)
        if result is None:
            return
        key = order_key(step.order.backend_server)
        if result.status == Status.APPLIED:
            self.revisions[key] = result.revision
            self.book.on_recorded(step.order, now.wall_ms)
            return
        current = _current_entry(result, key)
        if _is_same_order(current, step.order):
            # An earlier write of this order was applied, but its response was lost.
            self.revisions[key] = current.mod_revision
            self.book.on_recorded(step.order, now.wall_ms)
            return
        self.book.on_record_refused(step.order)
        if result.status == Status.CONFLICT:
            self._adopt_entry(current, now)

    def _apply_close_result(
        self, step: CloseOrder, job_result: JobResult, now: CurrentTime
    ) -> None:
        result = self._store_result(job_result)
        if result is None:
            return
        key = order_key(step.order.backend_server)
        already_deleted = (
            result.status == Status.CONFLICT
            and not _current_entry(result, key).mod_revision
        )
        if result.status == Status.APPLIED or already_deleted:
            self.revisions.pop(key, None)
            self.book.on_closed(step.order, now.wall_ms)
            log.info(
                "Closed order {}, failure reason '{}'.",
                step.order.order_id,
                step.reason,
            )

    def _apply_query_result(
        self, step: QueryEngine, job_result: JobResult, now: CurrentTime
    ) -> None:
        if job_result.state is None:
            self.book.on_state_lost(step.backend_id, now.wall_ms)
            return
        self.on_announcement(job_result.state, now)

    def _store_result(self, job_result: JobResult) -> pb.CommandResult | None:
        if job_result.store_result is None or job_result.store_result.is_error():
            # The outcome is unknown: the order book repeats the write.
            return None
        result = job_result.store_result.ok
        if result.status == Status.FENCED:
            log.warning(
                "Term {} ended: a write was refused by its fencing condition.",
                self.fencing_number,
            )
            self.fencing_number = FencingNumber(0)
            self.keeper.core.on_lost(self.keeper.clock())
            return None
        return result

    def _adopt_entry(self, current: pb.KeyValue, now: CurrentTime) -> None:
        if not current.mod_revision:
            self.revisions.pop(current.key, None)
            return
        self.revisions[current.key] = current.mod_revision
        self.book.adopt(orders_in([current]), now.wall_ms)


def perform_job(
    job: Job,
    client: StateClient,
    transport: EngineTransport,
    monotonic_ms: Callable[[], int],
) -> JobResult:
    """Perform a job and return its result.

    Args:
        job: Job to perform.
        client: Client of the replicated store.
        transport: Sends requests to engines.
        monotonic_ms: Returns the monotonic time in milliseconds.
    """
    step = job.step
    match step:
        case RecordOrder():
            expected_revision = job.revision if step.adopted else 0
            transaction = record_transaction(step, CONTROL_LEASE, expected_revision)
            return JobResult(job, store_result=_write(client, transaction))
        case CloseOrder():
            transaction = close_transaction(
                step, CONTROL_LEASE, job.fencing_number, job.revision
            )
            return JobResult(job, store_result=_write(client, transaction))
        case SendOrder():
            remaining_ms = job.send_deadline_ms - monotonic_ms()
            if remaining_ms <= 0:
                return JobResult(
                    job, answer=SendAnswer.LOST, reason="send deadline passed"
                )
            answer, reason = transport.send(
                step.address, step.order, remaining_ms / 1000
            )
            return JobResult(job, answer=answer, reason=reason)
        case QueryEngine():
            state = transport.query_state(step.address, SEND_TIMEOUT_MS / 1000)
            return JobResult(job, state=state)


def _write(
    client: StateClient, transaction: pb.Transaction
) -> Result[pb.CommandResult, StepError]:
    command = pb.Command(transaction=transaction)
    return client.propose(CONTROL_GROUP, command, STORE_TIMEOUT_S)


def _current_entry(result: pb.CommandResult, key: str) -> pb.KeyValue:
    return next((e for e in result.current if e.key == key), pb.KeyValue(key=key))


def _is_same_order(current: pb.KeyValue, order: serving_pb2.Order) -> bool:
    if not current.mod_revision:
        return False
    recorded = serving_pb2.Order.FromString(current.value)
    return (recorded.order_id, recorded.fencing_number) == (
        order.order_id,
        order.fencing_number,
    )
