"""Lease of this entry host, and the actor that takes over records of dead hosts."""

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
from tanagerturn.entry.at_most_once import ServiceCalls, call_policy
from tanagerturn.entry.stored_requests import restore_call
from tanagerturn.observe.logs import component_logger
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.requests import lifecycle, operations
from tanagerturn.serving.requests.settle import Settler
from tanagerturn.serving.requests.takeover import owner_lease

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.entry.components import EntryComponents
    from tanagerturn.entry.hosts import EntryHosts
    from tanagerturn.serving.requests.stored import StoredRecord
    from tanagerturn.shared.resolved_settings import ResolvedSettings

log = component_logger("records")

LEASE_MS: Final = 3000
LEASE_TICK_S: Final = 0.1
SWEEP_TICK_S: Final = 0.5
SWEEPS_PER_REMOVAL: Final = 20
"""Number of sweeps per removal of expired records and dead hosts' keys."""

SETTLE_THREADS: Final = 4


@dataclass(frozen=True)
class Sweep:
    """Triggers a search for records that no thread processes."""


class OwnerLease:
    """Acquires and renews the owner lease of this process in a separate thread.

    Args:
        components: Components of the entry process.
        hosts: Keys of the live entry hosts.
    """

    def __init__(self, components: EntryComponents, hosts: EntryHosts) -> None:
        ledger = components.ledger
        clock = components.call_executor.clock
        self.components = components
        """Components of the entry process."""
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
        """Set to stop the renewal."""
        self.thread = threading.Thread(target=self._run, name="lease", daemon=True)
        """Thread that acquires and renews the lease."""

    def held(self) -> bool:
        """Return whether this process holds the lease now."""
        return self.keeper.held(self.keeper.clock())

    def start(self) -> None:
        """Start to acquire and renew the lease."""
        self.thread.start()

    def stop(self, release: bool = True) -> None:
        """Stop the renewal.

        Args:
            release: Whether to release the lease and remove the host's key; if not,
                other hosts take over only when the lease expires.
        """
        self.stopping.set()
        self.thread.join(timeout=2 * LEASE_MS / 1000)
        if release:
            self.hosts.remove()
            self.keeper.release()

    def _run(self) -> None:
        while not self.stopping.wait(LEASE_TICK_S):
            if self.keeper.step():
                fence = self.keeper.fence()
                self.components.ledger.fence = fence
                self.hosts.register(fence)


class RecordsActor(pykka.ThreadingActor):
    """Takes over records of dead entry hosts: resolves or reruns their requests.

    Args:
        components: Components of the entry process.
        hosts: Keys of the live entry hosts.
        current_settings: Function that returns the resolved settings in force.
    """

    use_daemon_thread = True

    def __init__(
        self,
        components: EntryComponents,
        hosts: EntryHosts,
        current_settings: Callable[[], ResolvedSettings],
    ) -> None:
        super().__init__()
        self.components = components
        """Components of the entry process."""
        self.hosts = hosts
        """Keys of the live entry hosts."""
        self.current_settings = current_settings
        """Function that returns the resolved settings in force."""
        self.settler = Settler(components.call_executor, components.jobs.is_running)
        """Finds records that no thread processes and takes over records of
        dead entry hosts."""
        self.pool = ThreadPoolExecutor(SETTLE_THREADS, "settle")
        """Threads that resolve non-repeatable calls."""
        self.sweeps = 0
        """Number of sweeps so far."""
        self.random = random.Random(components.ledger.owner)
        """Random generator that spreads the removals over the entry hosts."""

    def on_receive(self, message: Any) -> Any:
        """Handle a message."""
        return self.handle(message)

    def on_stop(self) -> None:
        """Stop the threads."""
        self.pool.shutdown(wait=False, cancel_futures=True)

    @singledispatchmethod
    def handle(self, message: object) -> Any:
        """Handle one kind of message."""
        raise TypeError(f"unknown message {message!r}")

    @handle.register(Sweep)
    def on_sweep(self, message: Sweep) -> None:
        """Find records that no thread processes; resolve or rerun their requests."""
        self.sweeps += 1
        due = self.settler.sweep()
        if due.is_error():
            log.warning(
                "Sweep for records that no thread processes failed: {}", due.error
            )
            return
        for stored in due.ok:
            self._recover(stored)
        if self.sweeps % SWEEPS_PER_REMOVAL == 0 and self._draw_removal_turn():
            self._remove_expired()

    def _recover(self, stored: StoredRecord) -> None:
        record = stored.record
        call = restore_call(record, self.current_settings())
        if call is None:
            log.error(
                "Request {} not resumed: its service or client account is not in the "
                "settings.",
                record.request_id,
            )
            return
        kind = serving_pb2.CallKind.Name(record.kind).lower()
        self.components.metrics.taken_over.labels(kind=kind).inc()
        if lifecycle.is_repeatable(record):
            self.components.jobs.start(self.components, call, stored)
            return
        service_calls = ServiceCalls(self.components, call)
        policy = call_policy(call.service)
        self.pool.submit(
            self.components.call_executor.settle, stored, policy, service_calls
        )

    def _draw_removal_turn(self) -> bool:
        return self.random.random() < 1 / max(1, len(self.hosts.owners))

    def _remove_expired(self) -> None:
        now_ms = self.components.call_executor.clock.wall_ms()
        removed = operations.remove_expired(self.components.ledger, now_ms)
        if removed.is_ok() and removed.ok:
            log.info("Removed {} expired request records.", removed.ok)
        self.hosts.remove_dead()


class SweepTicker:
    """Triggers the sweeps of the records actor periodically.

    Args:
        actor: The `RecordsActor`.
    """

    def __init__(self, actor: pykka.ActorRef[Any]) -> None:
        self.actor = actor
        """The `RecordsActor`."""
        self.stopping = threading.Event()
        """Set to stop the thread."""
        self.thread = threading.Thread(target=self._run, name="sweep", daemon=True)
        """Thread that triggers the sweeps."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the sweeps."""
        self.stopping.set()
        self.thread.join(timeout=2)

    def _run(self) -> None:
        while not self.stopping.wait(SWEEP_TICK_S):
            if self.actor.is_alive():
                # Blocks, so that the next sweep starts only after this sweep ended.
                self.actor.ask(Sweep(), block=True)
