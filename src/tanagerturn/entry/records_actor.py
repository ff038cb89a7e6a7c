"""Actor that keeps this host's lease and takes over what dead hosts left."""

from __future__ import annotations

import random
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any, Final

import pykka

from tanagerturn.coordination.groups import REQUESTS_GROUP
from tanagerturn.coordination.leases import LeaseKeeper, LeaseTerms
from tanagerturn.entry.purchases import ServiceWire, call_policy
from tanagerturn.entry.recorded import call_of_record
from tanagerturn.observe.logs import component_logger
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.requests import lifecycle, operations
from tanagerturn.serving.requests.settle import Settler
from tanagerturn.serving.requests.takeover import owner_lease

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.entry.hosts import EntryHosts
    from tanagerturn.entry.parts import Parts
    from tanagerturn.serving.requests.stored import StoredRecord
    from tanagerturn.shared.resolved_settings import ResolvedSettings

log = component_logger("records")

LEASE_MS: Final = 3000
LEASE_TICK_S: Final = 0.1
SWEEP_TICK_S: Final = 0.5
EXPIRE_TICKS: Final = 20
"""Sweeps between two removals of expired records and dead hosts' keys."""

SETTLE_THREADS: Final = 4


@dataclass(frozen=True)
class Sweep:
    """Look for records that nobody works on."""


class OwnerLease:
    """Keeps the lease of this process in a thread of its own.

    Args:
        parts: Parts of the entry process.
        hosts: Keys of the live entry hosts.
    """

    def __init__(self, parts: Parts, hosts: EntryHosts) -> None:
        ledger = parts.ledger
        clock = parts.conductor.clock
        self.parts = parts
        """Parts of the entry process."""
        self.hosts = hosts
        """Keys of the live entry hosts."""
        self.keeper = LeaseKeeper(
            ledger.client,
            REQUESTS_GROUP,
            owner_lease(ledger.owner),
            ledger.owner,
            LeaseTerms(LEASE_MS),
            lambda: int(clock.monotonic_s() * 1000),
        )
        """Acquires and renews the lease."""
        self.stopping = threading.Event()
        """Set when the lease is no longer renewed."""
        self.thread = threading.Thread(target=self._run, name="lease", daemon=True)
        """Thread that renews."""

    def held(self) -> bool:
        """Tell whether the lease is held now."""
        return self.keeper.held(self.keeper.clock())

    def start(self) -> None:
        """Begin to acquire and renew."""
        self.thread.start()

    def stop(self, release: bool = True) -> None:
        """Renew no more; without release, others wait until the lease lapses."""
        self.stopping.set()
        self.thread.join(timeout=2 * LEASE_MS / 1000)
        if release:
            self.hosts.remove()
            self.keeper.release()

    def _run(self) -> None:
        while not self.stopping.wait(LEASE_TICK_S):
            if self.keeper.step():
                fence = self.keeper.fence()
                self.parts.ledger.fence = fence
                self.hosts.register(fence)


class RecordsActor(pykka.ThreadingActor):
    """Takes over, settles and runs again what dead entry hosts left.

    Args:
        parts: Parts of the entry process.
        hosts: Keys of the live entry hosts.
        site: Returns the settings in force.
    """

    use_daemon_thread = True

    def __init__(
        self,
        parts: Parts,
        hosts: EntryHosts,
        current_settings: Callable[[], ResolvedSettings],
    ) -> None:
        super().__init__()
        self.parts = parts
        """Parts of the entry process."""
        self.hosts = hosts
        """Keys of the live entry hosts."""
        self.current_settings = current_settings
        """Returns the settings in force."""
        self.settler = Settler(parts.conductor, parts.jobs.is_running)
        """Finds records that nobody works on."""
        self.pool = ThreadPoolExecutor(SETTLE_THREADS, "settle")
        """Threads that ask for outcomes."""
        self.sweeps = 0
        """Sweeps so far."""
        self.random = random.Random(parts.ledger.owner)
        """Spreads the removals over the hosts."""

    def on_receive(self, message: Any) -> Any:
        """Handle a message."""
        return self.handle(message)

    def on_stop(self) -> None:
        """End the threads."""
        self.pool.shutdown(wait=False, cancel_futures=True)

    @singledispatchmethod
    def handle(self, message: object) -> Any:
        """Handle one kind of message."""
        raise TypeError(f"unknown message {message!r}")

    @handle.register(Sweep)
    def on_sweep(self, message: Sweep) -> None:
        """Look for records that nobody works on, and work on them."""
        self.sweeps += 1
        due = self.settler.sweep()
        if due.is_error():
            log.warning("Sweep failed: {}", due.error)
            return
        for held in due.ok:
            self._work_on(held)
        if self.sweeps % EXPIRE_TICKS == 0 and self._is_my_turn():
            self._remove_old()

    def _work_on(self, held: StoredRecord) -> None:
        record = held.record
        call = call_of_record(record, self.current_settings())
        if call is None:
            log.error("No service for {}.", record.request_id)
            return
        kind = serving_pb2.CallKind.Name(record.kind).lower()
        self.parts.metrics.taken_over.labels(kind=kind).inc()
        if lifecycle.is_repeatable(record):
            self.parts.jobs.start(self.parts, call, held)
            return
        wire = ServiceWire(self.parts, call)
        policy = call_policy(call.service)
        self.pool.submit(self.parts.conductor.settle, held, policy, wire)

    def _is_my_turn(self) -> bool:
        return self.random.random() < 1 / max(1, len(self.hosts.owners))

    def _remove_old(self) -> None:
        now_ms = self.parts.conductor.clock.wall_ms()
        removed = operations.remove_expired(self.parts.ledger, now_ms)
        if removed.is_ok() and removed.ok:
            log.info("Removed {} expired records.", removed.ok)
        self.hosts.remove_dead()


class SweepTicker:
    """Tells the actor to sweep at a steady pace.

    Args:
        actor: The records actor.
    """

    def __init__(self, actor: pykka.ActorRef[Any]) -> None:
        self.actor = actor
        """The records actor."""
        self.stopping = threading.Event()
        """Set at the end."""
        self.thread = threading.Thread(target=self._run, name="sweep", daemon=True)
        """Thread that ticks."""
        self.thread.start()

    def stop(self) -> None:
        """End the ticks."""
        self.stopping.set()
        self.thread.join(timeout=2)

    def _run(self) -> None:
        while not self.stopping.wait(SWEEP_TICK_S):
            if self.actor.is_alive():
                # One sweep at a time: the next tick waits for its end.
                self.actor.ask(Sweep(), block=True)
