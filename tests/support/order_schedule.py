"""Simulation of two control holders, a store and engines with seeded faults."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from support.backends import announcement
from tanagerturn.coordination.store import Status, Store
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.backends.view import make_backend_view
from tanagerturn.serving.orders.book import make_order_book
from tanagerturn.serving.orders.messages import (
    CloseOrder,
    ControlTerm,
    DesiredEngine,
    DesiredModel,
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

LEASE = "control"
LEASE_MS = 5_000
STEP_MS = 250
LOAD_MS = 1_500


class Engine:
    """Simulated engine that executes orders, with or without fencing checks."""

    def __init__(self, name, checks, world):
        self.name, self.checks, self.world = name, checks, world
        self.seen, self.outcomes, self.effective = 0, {}, []
        self.models = {"m": ("1", True)}
        self.sequence, self.incarnation = 0, 0

    def announcement(self):
        """Return the next announcement of the engine."""
        self.sequence += 1
        models = [
            serving_pb2.LoadedModel(model=m, version=v, ready=r)
            for m, (v, r) in self.models.items()
        ]
        return announcement(
            self.name,
            sequence=self.sequence,
            incarnation=str(self.incarnation),
            models=models,
            checks_fencing=self.checks,
            orders=list(self.outcomes.values()),
        )

    def take(self, order):
        """Handle an order that the network delivers."""
        if self.checks and order.fencing_number < self.seen:
            return SendAnswer.STALE
        self.seen = max(self.seen, order.fencing_number)
        if order.order_id in self.outcomes:
            return SendAnswer.ACCEPTED
        outcome = serving_pb2.OrderOutcome(order_id=order.order_id)
        # Engines remember only their last orders; this one remembers one.
        self.outcomes = dict([*self.outcomes.items(), (order.order_id, outcome)][-1:])
        self.world.check_effective(self, order)
        self.effective.append(order.order_id)
        self.models["m"] = (order.version, False)
        self.world.at(LOAD_MS, lambda: self.finish(order))
        return SendAnswer.ACCEPTED

    def finish(self, order):
        """Complete a load."""
        self.models["m"] = (order.version, True)
        if order.order_id in self.outcomes:
            self.outcomes[order.order_id].done = True


@dataclass
class Holder:
    """A control process with its order book, view and believed lease term."""

    name: str
    book: object = field(default_factory=make_order_book)
    view: object = field(default_factory=make_backend_view)
    term: ControlTerm | None = None
    cut_off: bool = False
    revisions: dict = field(default_factory=dict)


class World:
    """Runs the simulation and collects invariant violations.

    Args:
        seed: Seed of the schedule and its faults.
        checks: Whether the engines check fencing numbers.
        ignore_lease: Whether the holders ignore the end of their lease.
    """

    def __init__(self, seed, checks, ignore_lease=False):
        self.random, self.now_ms, self.store = Random(seed), 10_000, Store()
        self.engines = {n: Engine(n, checks, self) for n in ("a-1", "b-1", "c-1")}
        self.holders = [Holder("one"), Holder("two")]
        self.ignore_lease = ignore_lease
        self.timers, self.violations, self.renewed_ms, self.step = [], [], 0, 0
        self.version, self.lowest_ready, self.count = "1", 3, 0

    def at(self, delay_ms, action):
        """Schedule an action."""
        self.count += 1
        self.timers.append((self.now_ms + delay_ms, self.count, action))

    def run(self, steps):
        """Run a number of steps of the simulation."""
        for _ in range(steps):
            self.now_ms += STEP_MS
            due = sorted(t for t in self.timers if t[0] <= self.now_ms)
            self.timers = [t for t in self.timers if t[0] > self.now_ms]
            for _, _, action in due:
                action()
            self.inject_fault()
            self.expire_lease()
            self.step += 1
            heard = self.engines.values() if self.step % 3 == 0 else ()
            for engine in heard:
                state = engine.announcement()
                for holder in self.holders:
                    holder.view.on_announcement(state, self.now_ms)
                    holder.book.on_state(state, self.now_ms, self.random)
            for holder in self.holders:
                self.step_holder(holder)
            ready = sum(e.models["m"][1] for e in self.engines.values())
            self.lowest_ready = min(self.lowest_ready, ready)

    def inject_fault(self):
        """Inject faults and version changes at random."""
        if self.random.random() < 0.03:
            self.version = str(int(self.version) + 1)
        holder = self.random.choice(self.holders)
        if self.random.random() < 0.03:
            holder.cut_off = not holder.cut_off
        if self.random.random() < 0.02:
            holder.book, holder.term = make_order_book(), None

    def expire_lease(self):
        """Expire a lease that was not renewed in time."""
        lease = self.store.lease(LEASE)
        if lease.holder and self.now_ms >= self.renewed_ms + LEASE_MS + STEP_MS:
            self.apply(pb.Command(lease_lapse=pb.LeaseLapse(
                name=LEASE,
                fencing_number=lease.fencing_number,
                renewals=lease.renewals,
            )))  # fmt: skip

    def apply(self, command):
        """Apply a command to the store."""
        return self.store.apply(command)

    def step_holder(self, holder):
        """Let a holder plan and perform its steps."""
        self.acquire_or_renew(holder)
        if holder.term is None:
            return
        term = holder.term
        if self.ignore_lease:
            term = ControlTerm(term.fencing_number, self.now_ms + 10**6)
        model = DesiredModel("m", self.version, service="draft", ready_floor=1)
        desired = {n: DesiredEngine(n, (model,)) for n in self.engines}
        for step in holder.book.plan(desired, holder.view, term, self.now_ms).steps:
            # The holder may crash between any two steps.
            if self.random.random() < 0.03:
                holder.book, holder.term = make_order_book(), None
                return
            self.perform(holder, step)

    def acquire_or_renew(self, holder):
        """Acquire or renew the lease."""
        if holder.cut_off:
            return
        term = holder.term
        if term is None:
            acquire = pb.LeaseAcquire(
                name=LEASE, holder=holder.name, duration_ms=LEASE_MS
            )
            result = self.apply(pb.Command(lease_acquire=acquire))
            if result.status != Status.APPLIED:
                return
            number = result.lease.fencing_number
            # An earlier start of the same holder may have sends in progress.
            quiet_ms = self.now_ms + 2_000
            holder.book = make_order_book()
            entries = list(self.store.scan(ORDER_PREFIX))
            holder.revisions = {e.key: e.mod_revision for e in entries}
            holder.book.adopt(orders_in(entries), self.now_ms)
        else:
            number, quiet_ms = term.fencing_number, term.quiet_until_ms
            renew = pb.LeaseRenew(name=LEASE, fencing_number=number)
            if self.apply(pb.Command(lease_renew=renew)).status != Status.APPLIED:
                holder.term = None
                return
        self.renewed_ms = self.now_ms
        holder.term = ControlTerm(number, self.now_ms + LEASE_MS, quiet_ms)

    def perform(self, holder, step):
        """Perform a step of a holder."""
        book, engine = holder.book, None
        if isinstance(step, RecordOrder | CloseOrder):
            return self.write(holder, step)
        if isinstance(step, QueryEngine):
            engine = self.engines[step.backend_id]
            self.at(100, lambda: book.on_state(
                engine.announcement(), self.now_ms, self.random
            ))  # fmt: skip
            return None
        assert isinstance(step, SendOrder)
        engine = self.engines[step.order.backend_server]
        # The network and the process may delay a send up to its end.
        longest_ms = 20_000 if self.ignore_lease else step.until_ms - self.now_ms
        delay_ms = self.random.choice([0, 100, longest_ms])
        lost = self.random.random()

        def deliver():
            answer = SendAnswer.LOST if lost < 0.1 else engine.take(step.order)
            if lost < 0.2:
                answer = SendAnswer.LOST
            book.on_send_answer(step.order, answer, "", self.now_ms)

        self.at(delay_ms, deliver)
        return None

    def write(self, holder, step):
        """Write or delete a record in the store."""
        if holder.cut_off:
            return
        key = order_key(step.order.backend_server)
        found = holder.revisions.get(key, 0)
        if isinstance(step, RecordOrder):
            transaction = record_transaction(step, LEASE, found if step.adopted else 0)
        else:
            number = holder.term.fencing_number
            transaction = close_transaction(step, LEASE, number, found)
        result = self.apply(pb.Command(transaction=transaction))
        if result.status != Status.APPLIED:
            if isinstance(step, RecordOrder):
                holder.book.on_record_refused(step.order)
            return
        holder.revisions[key] = result.revision
        if isinstance(step, RecordOrder):
            holder.book.on_recorded(step.order, self.now_ms)
        else:
            holder.book.on_closed(step.order, self.now_ms)

    def check_effective(self, engine, order):
        """Record a violation if an executed order is not the recorded one."""
        entry = self.store.entries.get(order_key(engine.name))
        recorded = serving_pb2.Order.FromString(entry.value) if entry else None
        if recorded is None or recorded.order_id != order.order_id:
            self.violations.append((self.now_ms, engine.name, order.order_id))
