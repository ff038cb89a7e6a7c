"""Open orders of one control holder, and what to do about them next.

An order is recorded before it is sent, sent only while the control lease is
valid, settled by asking after a lost answer, and closed when the engine shows
its outcome. A new holder adopts the recorded orders: it writes each again with
its own fencing number and asks the engine before it sends anything. Towards
engines that ignore fencing numbers it first waits until no send of an earlier
holder can be under way.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.schema import serving_pb2
from tanagerturn.serving.backends.messages import BackendId
from tanagerturn.serving.orders._floor import floor_reason
from tanagerturn.serving.orders.desired import next_order
from tanagerturn.serving.orders.messages import (
    AskEngine,
    CloseOrder,
    ControlTerm,
    DesiredEngine,
    OpenOrder,
    OrderPlan,
    OrderStage,
    OrderStep,
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
ANSWER_TIMEOUT_MS: Final = 2 * SEND_TIMEOUT_MS
"""A step whose result was not reported within this time was lost."""

RESEND_MS: Final = 1_000
RESEND_MAX_MS: Final = 30_000
OUTCOME_TIMEOUT_MS: Final = 120_000
"""An accepted order without an outcome is asked about after this time."""

LOADS: Final = (serving_pb2.LOAD_MODEL, serving_pb2.LOAD_ADAPTER)


@dataclass(frozen=True)
class Failures:
    """Failed orders of an engine in a row."""

    count: int
    """How many."""
    until_ms: int
    """The engine gets no order before this time."""


class OrderBook:
    """Open orders by engine, and the budget of the weight store.

    Args:
        budget: Budget of the weight store.
    """

    def __init__(self, budget: WeightBudget) -> None:
        self.budget = budget
        """Budget of the weight store."""
        self.open: dict[BackendId, OpenOrder] = {}
        """The one open order of each engine."""
        self.arrives_until_ms: dict[BackendId, int] = {}
        """Until when a send of an engine's closed order may reach it."""
        self.failures: dict[BackendId, Failures] = {}
        """Engines whose last orders failed."""
        self.next_number = 0
        """Counts the orders of this holder."""

    def __repr__(self) -> str:
        stages = {key: each.stage.value for key, each in self.open.items()}
        return f"OrderBook(open={stages})"

    def adopt(self, orders: Iterable[serving_pb2.Order], now_ms: int) -> None:
        """Take over the recorded orders of earlier holders."""
        for order in orders:
            backend_id = BackendId(order.backend_server)
            entry = OpenOrder(order, OrderStage.ADOPTED, now_ms, adopted=True)
            self.open[backend_id] = entry

    def plan(
        self,
        desired: Mapping[BackendId, DesiredEngine],
        view: BackendView,
        term: ControlTerm,
        now_ms: int,
    ) -> OrderPlan:
        """Return what is due now.

        Each step is returned once; its result is reported by the `on_` method
        that the step names, and a step whose result isn't reported in time
        counts as lost.

        Args:
            desired: What each engine should run.
            view: Announced state of the engines.
            term: The holder's lease.
            now_ms: Present time.
        """
        if now_ms >= term.valid_until_ms:
            return OrderPlan(held_back={})
        steps: list[OrderStep] = []
        held_back: dict[BackendId, str] = {}
        for backend_id, entry in list(self.open.items()):
            step = self._advance(entry, view.backends.get(backend_id), term, now_ms)
            if step is not None:
                steps.append(step)
        for engine in sorted(desired.values(), key=_rank):
            if engine.backend_id in self.open:
                continue
            backend = view.backends.get(engine.backend_id)
            if backend is None or not view.takes_work(backend, now_ms):
                continue
            order = next_order(backend, engine)
            if order is None:
                continue
            reason = self._why_not(order, engine, view, desired, now_ms)
            if reason:
                held_back[engine.backend_id] = reason
                continue
            steps.append(self._open(order, backend, term, now_ms))
        return OrderPlan(tuple(steps), held_back)

    def on_recorded(self, order: serving_pb2.Order, now_ms: int) -> None:
        """Note that an order stands in the store under the own number."""
        entry = self._entry(order)
        if entry is None or entry.stage is not OrderStage.RECORDING:
            return
        # What an earlier holder did with it is only known to the engine.
        stage = OrderStage.UNSETTLED if entry.adopted else OrderStage.RECORDED
        _move(entry, stage, now_ms)

    def on_record_refused(self, order: serving_pb2.Order) -> None:
        """Forget an order whose record was refused; the store has another."""
        if self._entry(order) is not None:
            del self.open[BackendId(order.backend_server)]

    def on_send_answer(
        self, order: serving_pb2.Order, answer: SendAnswer, reason: str, now_ms: int
    ) -> None:
        """Take what came back for a sent order."""
        entry = self._entry(order)
        if entry is None or entry.stage is not OrderStage.SENDING:
            return
        if answer is SendAnswer.LOST:
            entry.lost_until_ms = entry.arrives_until_ms
        else:
            entry.arrives_until_ms = entry.lost_until_ms
        if answer is SendAnswer.ACCEPTED:
            _move(entry, OrderStage.ACCEPTED, now_ms)
        elif answer is SendAnswer.LOST:
            _move(entry, OrderStage.UNSETTLED, now_ms)
        else:
            entry.outcome = serving_pb2.OrderOutcome(
                order_id=order.order_id, done=False, reason=reason or answer.value
            )

    def on_state(
        self, announcement: serving_pb2.Announcement, now_ms: int, random: Random
    ) -> None:
        """Settle an open order by an announcement or an asked-for state."""
        entry = self.open.get(BackendId(announcement.id))
        if entry is None or entry.stage in (OrderStage.ADOPTED, OrderStage.RECORDING):
            return
        for outcome in announcement.orders:
            if outcome.order_id == entry.order.order_id:
                self._settle(entry, outcome, now_ms, random)
                return
        restarted = entry.incarnation not in ("", announcement.incarnation)
        if entry.stage is OrderStage.ASKING or restarted:
            # The engine doesn't know the order: it never came, or was forgotten.
            entry.not_before_ms = now_ms + _resend_ms(entry.attempts)
            _move(entry, OrderStage.RECORDED, now_ms)

    def on_state_lost(self, backend_id: BackendId, now_ms: int) -> None:
        """Note that an engine could not be asked."""
        entry = self.open.get(backend_id)
        if entry is not None and entry.stage is OrderStage.ASKING:
            entry.not_before_ms = now_ms + RESEND_MS
            _move(entry, OrderStage.UNSETTLED, now_ms)

    def on_closed(self, order: serving_pb2.Order, now_ms: int) -> None:
        """Forget an order whose record is deleted; after a failure wait a while."""
        entry = self._entry(order)
        if entry is None:
            return
        backend_id = BackendId(order.backend_server)
        del self.open[backend_id]
        self.arrives_until_ms[backend_id] = entry.arrives_until_ms
        if entry.outcome is not None and entry.outcome.done:
            self.failures.pop(backend_id, None)
            return
        known = self.failures.get(backend_id)
        count = known.count + 1 if known else 1
        self.failures[backend_id] = Failures(count, now_ms + _resend_ms(count))

    def _entry(self, order: serving_pb2.Order) -> OpenOrder | None:
        entry = self.open.get(BackendId(order.backend_server))
        if entry is None or entry.order.order_id != order.order_id:
            return None
        return entry

    def _settle(
        self,
        entry: OpenOrder,
        outcome: serving_pb2.OrderOutcome,
        now_ms: int,
        random: Random,
    ) -> None:
        running = not outcome.done and not outcome.reason
        if running:
            if entry.stage in (OrderStage.ASKING, OrderStage.UNSETTLED):
                _move(entry, OrderStage.ACCEPTED, now_ms)
            return
        if entry.outcome is not None:
            return
        entry.outcome = outcome
        if entry.order.action in LOADS:
            weights = _weights(entry.order)
            self.budget.on_ended(weights, outcome.done, now_ms, random)

    def _advance(
        self,
        entry: OpenOrder,
        backend: Backend | None,
        term: ControlTerm,
        now_ms: int,
    ) -> OrderStep | None:
        waited_ms = now_ms - entry.since_ms
        if entry.stage is OrderStage.ADOPTED:
            return _adopt(entry, term, now_ms)
        if entry.stage is OrderStage.RECORDING:
            if waited_ms < ANSWER_TIMEOUT_MS:
                return None
            _move(entry, OrderStage.RECORDING, now_ms)
            return RecordOrder(entry.order, entry.adopted)
        if backend is None or entry.outcome is not None:
            return self._close(entry, backend, now_ms)
        if entry.stage is OrderStage.RECORDED:
            return self._send(entry, backend, term, now_ms)
        if entry.stage is OrderStage.SENDING and waited_ms >= ANSWER_TIMEOUT_MS:
            _move(entry, OrderStage.UNSETTLED, now_ms)
        if entry.stage is OrderStage.ASKING and waited_ms >= ANSWER_TIMEOUT_MS:
            _move(entry, OrderStage.UNSETTLED, now_ms)
        if entry.stage is OrderStage.ACCEPTED and waited_ms >= OUTCOME_TIMEOUT_MS:
            _move(entry, OrderStage.UNSETTLED, now_ms)
        if entry.stage is OrderStage.UNSETTLED and now_ms >= entry.not_before_ms:
            _move(entry, OrderStage.ASKING, now_ms)
            return AskEngine(backend.id, backend.address)
        return None

    def _send(
        self, entry: OpenOrder, backend: Backend, term: ControlTerm, now_ms: int
    ) -> SendOrder | None:
        if now_ms < entry.not_before_ms:
            return None
        # A send of the closed order that came after this one would be carried
        # out again by an engine that remembers only its last orders.
        if now_ms < self.arrives_until_ms.get(backend.id, 0):
            return None
        if not backend.announcement.checks_fencing and now_ms < term.quiet_until_ms:
            return None
        if now_ms + SEND_TIMEOUT_MS > term.valid_until_ms:
            return None
        entry.attempts += 1
        entry.incarnation = backend.incarnation
        entry.arrives_until_ms = now_ms + SEND_TIMEOUT_MS
        _move(entry, OrderStage.SENDING, now_ms)
        return SendOrder(entry.order, backend.address, now_ms + SEND_TIMEOUT_MS)

    def _close(
        self, entry: OpenOrder, backend: Backend | None, now_ms: int
    ) -> CloseOrder | None:
        closing = entry.stage is OrderStage.CLOSING
        if closing and now_ms - entry.since_ms < ANSWER_TIMEOUT_MS:
            return None
        _move(entry, OrderStage.CLOSING, now_ms)
        if entry.outcome is None:
            return CloseOrder(entry.order, done=False, reason="engine is gone")
        return CloseOrder(entry.order, entry.outcome.done, entry.outcome.reason)

    def _why_not(
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
        if order.action not in LOADS:
            return ""
        reason = floor_reason(order, engine, view, desired, self.open, now_ms)
        if reason:
            return reason
        loading = sum(1 for each in self.open.values() if each.order.action in LOADS)
        urgent = _rank(engine)[0] == serving_pb2.URGENT
        return self.budget.why_not(_weights(order), loading, urgent, now_ms)

    def _open(
        self,
        order: serving_pb2.Order,
        backend: Backend,
        term: ControlTerm,
        now_ms: int,
    ) -> RecordOrder:
        self.next_number += 1
        # A holder that restarts may get the same fencing number again.
        order.order_id = f"{term.fencing_number}-{now_ms}-{self.next_number}"
        order.fencing_number = term.fencing_number
        order.recorded_at_ms = now_ms
        if order.action in LOADS:
            self.budget.on_started(_weights(order), now_ms)
        self.open[backend.id] = OpenOrder(order, OrderStage.RECORDING, now_ms)
        return RecordOrder(order)


def make_order_book(loads_at_once: int | None = None) -> OrderBook:
    """Return a book without orders.

    Args:
        loads_at_once: Loads that the weight store takes at a time.
    """
    if loads_at_once is None:
        return OrderBook(WeightBudget())
    return OrderBook(WeightBudget(loads_at_once))


def _adopt(entry: OpenOrder, term: ControlTerm, now_ms: int) -> RecordOrder:
    order = serving_pb2.Order()
    order.CopyFrom(entry.order)
    order.fencing_number = term.fencing_number
    entry.order = order
    _move(entry, OrderStage.RECORDING, now_ms)
    return RecordOrder(order, adopted=True)


def _move(entry: OpenOrder, stage: OrderStage, now_ms: int) -> None:
    entry.stage = stage
    entry.since_ms = now_ms


def _resend_ms(attempts: int) -> int:
    return min(RESEND_MAX_MS, RESEND_MS << min(attempts, 10))


def _rank(engine: DesiredEngine) -> tuple[int, str]:
    priorities = [model.priority or 99 for model in engine.models]
    return min(priorities, default=99), engine.backend_id


def _weights(order: serving_pb2.Order) -> WeightsName:
    return WeightsName(order.model, order.version, order.adapter)
