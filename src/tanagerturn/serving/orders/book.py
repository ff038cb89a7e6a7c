"""Open orders of one holder of the control lease, and the next step for each.

An order is recorded before it is sent, sent only while the control lease is valid, and
closed when the engine reports its outcome. After a lost response to an order, the state
of the engine is queried. A new lease holder adopts the recorded orders: it writes each
order again with its own fencing number and queries the engine before it sends any
order to it. Before it sends to an engine that ignores fencing numbers, it waits until
no send of an earlier holder can still be in progress.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.schema import serving_pb2
from tanagerturn.serving.backends.messages import BackendId
from tanagerturn.serving.orders._min_ready import min_ready_blocking_reason
from tanagerturn.serving.orders.desired import next_order
from tanagerturn.serving.orders.messages import (
    CloseOrder,
    ControlTerm,
    DesiredEngine,
    OpenOrder,
    OrderPlan,
    OrderStage,
    OrderStep,
    QueryEngine,
    RecordOrder,
    SendAnswer,
    SendOrder,
)
from tanagerturn.serving.orders.weights import WeightBudget, WeightsName

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.view import BackendView

SEND_TIMEOUT_MS: Final = 2_000
"""Longest duration of sending an order, in milliseconds."""

STEP_TIMEOUT_MS: Final = 2 * SEND_TIMEOUT_MS
"""Milliseconds after which a step without a reported result counts as failed."""

INITIAL_RESEND_DELAY_MS: Final = 1_000
"""Delay in milliseconds before an order is sent again or its engine is queried again;
doubled for each attempt to send the order so far."""

MAX_RESEND_DELAY_MS: Final = 30_000
"""Longest delay before an order is sent again, in milliseconds."""

OUTCOME_TIMEOUT_MS: Final = 120_000
"""Milliseconds without an outcome after which an engine that accepted an order is
queried."""

LOAD_ACTIONS: Final = (serving_pb2.LOAD_MODEL, serving_pb2.LOAD_ADAPTER)
"""Actions by which an engine loads weights from the weight store."""


@dataclass(frozen=True)
class Failures:
    """Consecutive failed orders of one engine."""

    count: int
    """Number of consecutive failures."""
    until_ms: int
    """Time in milliseconds before which no order is created for the engine."""


class OrderBook:
    """Open orders by engine, and the load budget of the weight store.

    Args:
        budget: Budget for loads from the weight store.
    """

    def __init__(self, budget: WeightBudget) -> None:
        self.budget = budget
        """Budget for loads from the weight store."""
        self.open_orders: dict[BackendId, OpenOrder] = {}
        """The open order of each engine, at most one."""
        self.may_arrive_until_ms: dict[BackendId, int] = {}
        """Time in milliseconds until which a send of the last closed order may still
        reach each engine."""
        self.failures: dict[BackendId, Failures] = {}
        """Consecutive failures of the engines whose last order failed."""
        self.last_order_number = 0
        """Number of the last order that this holder created; part of order ids."""

    def __repr__(self) -> str:
        stages = {key: each.stage.value for key, each in self.open_orders.items()}
        return f"OrderBook(open={stages})"

    def adopt(self, orders: Iterable[serving_pb2.Order], now_ms: int) -> None:
        """Adopt the recorded orders of earlier lease holders.

        Args:
            orders: The recorded orders.
            now_ms: Current time in milliseconds.
        """
        for order in orders:
            backend_id = BackendId(order.backend_server)
            entry = OpenOrder(order, OrderStage.ADOPTED, now_ms, adopted=True)
            self.open_orders[backend_id] = entry

    def plan(
        self,
        desired: Mapping[BackendId, DesiredEngine],
        view: BackendView,
        term: ControlTerm,
        now_ms: int,
    ) -> OrderPlan:
        """Return the steps that are due now.

        Each step is returned once. The caller must report its result with the `on_`
        method that the docstring of the step names; a step without a report in time
        counts as failed.

        Args:
            desired: Desired state of each engine.
            view: Announced state of the engines.
            term: Current term of the control lease.
            now_ms: Current time in milliseconds.
        """
        if now_ms >= term.valid_until_ms:
            return OrderPlan(held_back={})
        steps: list[OrderStep] = []
        held_back: dict[BackendId, str] = {}
        for backend_id, entry in list(self.open_orders.items()):
            step = self._next_step(entry, view.backends.get(backend_id), term, now_ms)
            if step is not None:
                steps.append(step)
        for engine in sorted(desired.values(), key=_priority_key):
            if engine.backend_id in self.open_orders:
                continue
            backend = view.backends.get(engine.backend_id)
            if backend is None or not view.is_eligible(backend, now_ms):
                continue
            order = next_order(backend, engine)
            if order is None:
                continue
            reason = self._blocking_reason(order, engine, view, desired, now_ms)
            if reason:
                held_back[engine.backend_id] = reason
                continue
            steps.append(self._create_order(order, backend, term, now_ms))
        return OrderPlan(tuple(steps), held_back)

    def on_recorded(self, order: serving_pb2.Order, now_ms: int) -> None:
        """Record that an order was stored with the fencing number of this holder."""
        entry = self._find_entry(order)
        if entry is None or entry.stage is not OrderStage.RECORDING:
            return
        # Only the engine knows whether an earlier holder sent the order to it.
        stage = OrderStage.UNSETTLED if entry.adopted else OrderStage.RECORDED
        _set_stage(entry, stage, now_ms)

    def on_record_refused(self, order: serving_pb2.Order) -> None:
        """Remove an order that was not stored because its key holds another record."""
        if self._find_entry(order) is not None:
            del self.open_orders[BackendId(order.backend_server)]

    def on_send_answer(
        self, order: serving_pb2.Order, answer: SendAnswer, reason: str, now_ms: int
    ) -> None:
        """Record the response to a sent order.

        Args:
            order: The sent order.
            answer: Response of the engine; LOST if none was received.
            reason: Reason of the engine for a refusal; empty if it gave none.
            now_ms: Current time in milliseconds.
        """
        entry = self._find_entry(order)
        if entry is None or entry.stage is not OrderStage.SENDING:
            return
        if answer is SendAnswer.LOST:
            entry.lost_send_until_ms = entry.may_arrive_until_ms
        else:
            entry.may_arrive_until_ms = entry.lost_send_until_ms
        if answer is SendAnswer.ACCEPTED:
            _set_stage(entry, OrderStage.ACCEPTED, now_ms)
        elif answer is SendAnswer.LOST:
            _set_stage(entry, OrderStage.UNSETTLED, now_ms)
        else:
            entry.outcome = serving_pb2.OrderOutcome(
                order_id=order.order_id, done=False, reason=reason or answer.value
            )

    def on_state(
        self, announcement: serving_pb2.Announcement, now_ms: int, random: Random
    ) -> None:
        """Update the open order of an engine with its state.

        Args:
            announcement: Announced or queried state of the engine.
            now_ms: Current time in milliseconds.
            random: Source of the jitter of the pause after a failed load.
        """
        entry = self.open_orders.get(BackendId(announcement.id))
        if entry is None or entry.stage in (OrderStage.ADOPTED, OrderStage.RECORDING):
            return
        for outcome in announcement.orders:
            if outcome.order_id == entry.order.order_id:
                self._record_outcome(entry, outcome, now_ms, random)
                return
        has_restarted = entry.incarnation not in ("", announcement.incarnation)
        if entry.stage is OrderStage.ASKING or has_restarted:
            # The engine does not know the order, which never arrived or was forgotten.
            entry.not_before_ms = now_ms + _resend_delay_ms(entry.attempts)
            _set_stage(entry, OrderStage.RECORDED, now_ms)

    def on_state_lost(self, backend_id: BackendId, now_ms: int) -> None:
        """Record that the query of an engine's state failed."""
        entry = self.open_orders.get(backend_id)
        if entry is not None and entry.stage is OrderStage.ASKING:
            entry.not_before_ms = now_ms + INITIAL_RESEND_DELAY_MS
            _set_stage(entry, OrderStage.UNSETTLED, now_ms)

    def on_closed(self, order: serving_pb2.Order, now_ms: int) -> None:
        """Remove an order whose record was deleted.

        After a failed order, the engine gets no further order for a delay.

        Args:
            order: The closed order.
            now_ms: Current time in milliseconds.
        """
        entry = self._find_entry(order)
        if entry is None:
            return
        backend_id = BackendId(order.backend_server)
        del self.open_orders[backend_id]
        self.may_arrive_until_ms[backend_id] = entry.may_arrive_until_ms
        if entry.outcome is not None and entry.outcome.done:
            self.failures.pop(backend_id, None)
            return
        known = self.failures.get(backend_id)
        count = known.count + 1 if known else 1
        self.failures[backend_id] = Failures(count, now_ms + _resend_delay_ms(count))

    def _find_entry(self, order: serving_pb2.Order) -> OpenOrder | None:
        entry = self.open_orders.get(BackendId(order.backend_server))
        if entry is None or entry.order.order_id != order.order_id:
            return None
        return entry

    def _record_outcome(
        self,
        entry: OpenOrder,
        outcome: serving_pb2.OrderOutcome,
        now_ms: int,
        random: Random,
    ) -> None:
        is_running = not outcome.done and not outcome.reason
        if is_running:
            if entry.stage in (OrderStage.ASKING, OrderStage.UNSETTLED):
                _set_stage(entry, OrderStage.ACCEPTED, now_ms)
            return
        if entry.outcome is not None:
            return
        entry.outcome = outcome
        if entry.order.action in LOAD_ACTIONS:
            weights = _weights_of(entry.order)
            self.budget.on_ended(weights, outcome.done, now_ms, random)

    def _next_step(
        self,
        entry: OpenOrder,
        backend: Backend | None,
        term: ControlTerm,
        now_ms: int,
    ) -> OrderStep | None:
        elapsed_ms = now_ms - entry.since_ms
        if entry.stage is OrderStage.ADOPTED:
            return _rewrite_record(entry, term, now_ms)
        if entry.stage is OrderStage.RECORDING:
            if elapsed_ms < STEP_TIMEOUT_MS:
                return None
            _set_stage(entry, OrderStage.RECORDING, now_ms)
            return RecordOrder(entry.order, entry.adopted)
        if backend is None or entry.outcome is not None:
            return self._close(entry, backend, now_ms)
        if entry.stage is OrderStage.RECORDED:
            return self._send(entry, backend, term, now_ms)
        if entry.stage is OrderStage.SENDING and elapsed_ms >= STEP_TIMEOUT_MS:
            _set_stage(entry, OrderStage.UNSETTLED, now_ms)
        if entry.stage is OrderStage.ASKING and elapsed_ms >= STEP_TIMEOUT_MS:
            _set_stage(entry, OrderStage.UNSETTLED, now_ms)
        if entry.stage is OrderStage.ACCEPTED and elapsed_ms >= OUTCOME_TIMEOUT_MS:
            _set_stage(entry, OrderStage.UNSETTLED, now_ms)
        if entry.stage is OrderStage.UNSETTLED and now_ms >= entry.not_before_ms:
            _set_stage(entry, OrderStage.ASKING, now_ms)
            return QueryEngine(backend.id, backend.address)
        return None

    def _send(
        self, entry: OpenOrder, backend: Backend, term: ControlTerm, now_ms: int
    ) -> SendOrder | None:
        if now_ms < entry.not_before_ms:
            return None
        # A send of an earlier, closed order to this engine may still be in transit. If
        # it arrived after this order, an engine that remembers only its last orders
        # would execute the closed order again.
        if now_ms < self.may_arrive_until_ms.get(backend.id, 0):
            return None
        if not backend.announcement.checks_fencing and now_ms < term.quiet_until_ms:
            return None
        if now_ms + SEND_TIMEOUT_MS > term.valid_until_ms:
            return None
        entry.attempts += 1
        entry.incarnation = backend.incarnation
        entry.may_arrive_until_ms = now_ms + SEND_TIMEOUT_MS
        _set_stage(entry, OrderStage.SENDING, now_ms)
        return SendOrder(entry.order, backend.address, now_ms + SEND_TIMEOUT_MS)

    def _close(
        self, entry: OpenOrder, backend: Backend | None, now_ms: int
    ) -> CloseOrder | None:
        is_closing = entry.stage is OrderStage.CLOSING
        if is_closing and now_ms - entry.since_ms < STEP_TIMEOUT_MS:
            return None
        _set_stage(entry, OrderStage.CLOSING, now_ms)
        if entry.outcome is None:
            return CloseOrder(entry.order, done=False, reason="engine is gone")
        return CloseOrder(entry.order, entry.outcome.done, entry.outcome.reason)

    def _blocking_reason(
        self,
        order: serving_pb2.Order,
        engine: DesiredEngine,
        view: BackendView,
        desired: Mapping[BackendId, DesiredEngine],
        now_ms: int,
    ) -> str:
        failures = self.failures.get(engine.backend_id)
        if failures is not None and now_ms < failures.until_ms:
            return f"{failures.count} orders failed there"
        if order.action not in LOAD_ACTIONS:
            return ""
        reason = min_ready_blocking_reason(
            order, engine, view, desired, self.open_orders, now_ms
        )
        if reason:
            return reason
        loading = sum(
            1 for each in self.open_orders.values() if each.order.action in LOAD_ACTIONS
        )
        urgent = _priority_key(engine)[0] == serving_pb2.URGENT
        return self.budget.blocking_reason(_weights_of(order), loading, urgent, now_ms)

    def _create_order(
        self,
        order: serving_pb2.Order,
        backend: Backend,
        term: ControlTerm,
        now_ms: int,
    ) -> RecordOrder:
        self.last_order_number += 1
        # The time makes the order id unique, as a restarted holder may get the same
        # fencing number again.
        order.order_id = f"{term.fencing_number}-{now_ms}-{self.last_order_number}"
        order.fencing_number = term.fencing_number
        order.recorded_at_ms = now_ms
        if order.action in LOAD_ACTIONS:
            self.budget.on_started(_weights_of(order), now_ms)
        self.open_orders[backend.id] = OpenOrder(order, OrderStage.RECORDING, now_ms)
        return RecordOrder(order)


def make_order_book(max_concurrent_loads: int | None = None) -> OrderBook:
    """Return an order book without orders.

    Args:
        max_concurrent_loads: Number of loads that the weight store accepts
            concurrently; None for `MAX_CONCURRENT_LOADS`.
    """
    if max_concurrent_loads is None:
        return OrderBook(WeightBudget())
    return OrderBook(WeightBudget(max_concurrent_loads))


def _rewrite_record(entry: OpenOrder, term: ControlTerm, now_ms: int) -> RecordOrder:
    order = serving_pb2.Order()
    order.CopyFrom(entry.order)
    order.fencing_number = term.fencing_number
    entry.order = order
    _set_stage(entry, OrderStage.RECORDING, now_ms)
    return RecordOrder(order, adopted=True)


def _set_stage(entry: OpenOrder, stage: OrderStage, now_ms: int) -> None:
    entry.stage = stage
    entry.since_ms = now_ms


def _resend_delay_ms(attempts: int) -> int:
    return min(MAX_RESEND_DELAY_MS, INITIAL_RESEND_DELAY_MS << min(attempts, 10))


def _priority_key(engine: DesiredEngine) -> tuple[int, str]:
    priorities = [model.priority or 99 for model in engine.models]
    return min(priorities, default=99), engine.backend_id


def _weights_of(order: serving_pb2.Order) -> WeightsName:
    return WeightsName(order.model, order.version, order.adapter)
