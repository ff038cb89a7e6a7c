"""Calls to the cloud API that only one gateway may make: usage reports and orders.

That gateway holds a lease of the state group. The cloud API does not check fencing
numbers, so a new holder waits until the previous one can no longer act. The counts of
a report are committed before it is sent, so that the next holder sends the same ones.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import orjson

from tanagerturn.clocks import boot_s, to_ms
from tanagerturn.coordination.ids import ProcessId
from tanagerturn.coordination.leases import (
    LeaseCore,
    LeaseStep,
    LeaseTerms,
    holder_id,
    safe_to_order_at,
)
from tanagerturn.gateway.calls import call
from tanagerturn.gateway.capacity import CapacityOrders
from tanagerturn.gateway.logs import component_log
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.serving.capacity.messages import Market

if TYPE_CHECKING:
    from expression import Result

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.gateway.configuration import Service
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.gateway.state_group.member import StateMember
    from tanagerturn.gateway.state_group.replicated_store import ReplicatedStore
    from tanagerturn.serving.capacity.messages import CountKey

LEASE_NAME: Final = "cloud-duties"
"""Name of the lease in the state group."""

LEASE_MS: Final = 2_400
"""Duration of the lease in milliseconds: short, so that a lost holder is replaced soon.
The lease is renewed about every 0.7 s."""

CALL_TIMEOUT_S: Final = 1.5
"""Timeout of one call to the cloud API in seconds; the cloud API may be slow."""

PROPOSE_TIMEOUT_S: Final = 0.8
"""Timeout of one commit in the state group in seconds."""

STEP_INTERVAL_S: Final = 0.2
"""Pause in seconds between two steps; each step maintains the lease and makes the calls
that are due."""

FIRST_FENCING_NUMBER: Final = 1
"""Fencing number of the first holder since the state group was initialized, which has
no previous holder to wait for."""

REPORT_DELAY_S: Final = 2.0
"""Time in seconds after the end of a window at which its counts are complete: its last
requests have been started, and all gateways have reported them in digests."""

REPORT_KEY_PREFIX: Final = "usage/"
"""Prefix of the state group's keys of committed reports; the window follows."""

KEPT_REPORTS: Final = 8
"""Number of committed reports kept in the state group for the next holder."""

log = component_log("duties")


class Duties:
    """Competes for the lease and performs the duties while it is held.

    Args:
        state: State of the gateway.
        store: Calls to the state group.
        member: The gateway's member of the state group; None on hosts without a disk,
            whose gateways do not compete.
    """

    def __init__(
        self,
        state: GatewayState,
        store: ReplicatedStore,
        member: StateMember | None,
    ) -> None:
        self.state = state
        """State of the gateway."""
        self.store = store
        """Calls to the state group."""
        self.member = member
        """The gateway's member of the state group; None on hosts without a disk, and
        until the member is open."""
        self.lease = LeaseCore(LeaseTerms(LEASE_MS))
        """State of the lease as known to this gateway."""
        self.own_holder_id = ""
        """Id under which this start of the process acquires the lease; empty before
        `run`."""
        self.reported_windows: set[int] = set()
        """Numbers of the windows whose report the cloud API has accepted."""
        self.was_holder = False
        """Whether this gateway held the lease in the last step."""
        self.capacity_orders = CapacityOrders(state, self._send_order, boot_s())
        """Orders of backend servers from the cloud API."""

    async def run(self) -> None:
        """Perform the duties whenever the lease is held, until the task is cancelled.

        Returns immediately if the settings name no duties or no data folder.
        """
        settings = self.state.settings
        if settings.duties is None or settings.data_folder is None:
            return
        started = f"{to_ms(boot_s()):x}-{self.state.random.getrandbits(32):x}"
        self.own_holder_id = holder_id(ProcessId(settings.host), started)
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            if self.member is None:
                continue
            try:
                await self._step()
            except Exception as error:
                # An error must not end this task or affect callers; the next step
                # retries.
                log.error("duty_failed", reason=repr(error))

    def may_call_cloud(self, now_s: float) -> bool:
        """Return whether this gateway may call the cloud API now.

        A new holder first waits for the longer of `LEASE_MS` and the `lease_s` of the
        settings, and for the longest call: until then the previous holder may still
        act.
        """
        now_ms = to_ms(now_s)
        longest_call_ms = int(CALL_TIMEOUT_S * 1000)
        lease = self.lease
        duties = self.state.settings.duties
        if duties is None or not lease.held(now_ms):
            return False
        if lease.fencing_number == FIRST_FENCING_NUMBER:
            return True
        wait_ms = max(to_ms(duties.lease_s), LEASE_MS)
        terms = LeaseTerms(wait_ms)
        return now_ms >= safe_to_order_at(lease.granted_at_ms, terms, longest_call_ms)

    async def _step(self) -> None:
        if self.state.is_draining:
            await self._release()
            return
        await self._maintain_lease()
        is_holder = self.lease.held(to_ms(boot_s()))
        if is_holder != self.was_holder:
            self.was_holder = is_holder
            event = "duties_taken" if is_holder else "duties_lost"
            log.info(event, fencing_number=self.lease.fencing_number)
            self.capacity_orders.reset()
        duties = self.state.settings.duties
        if (
            duties is not None
            and duties.reports_usage
            and self.may_call_cloud(boot_s())
        ):
            await self._report_usage()
        if (
            duties is not None
            and duties.orders_backends
            and self.may_call_cloud(boot_s())
        ):
            await self.capacity_orders.step(boot_s())

    async def _maintain_lease(self) -> None:
        step = self.lease.next_step(to_ms(boot_s()))
        if step is LeaseStep.ACQUIRE:
            acquire = pb.LeaseAcquire(
                name=LEASE_NAME, holder=self.own_holder_id, duration_ms=LEASE_MS
            )
            result = await self._propose(pb.Command(lease_acquire=acquire))
            if result.is_ok():
                self.lease.on_acquired(result.ok, to_ms(boot_s()))
        if self.lease.next_step(to_ms(boot_s())) is LeaseStep.RENEW:
            sent_ms = to_ms(boot_s())
            renew = pb.LeaseRenew(
                name=LEASE_NAME, fencing_number=self.lease.fencing_number
            )
            result = await self._propose(pb.Command(lease_renew=renew))
            if result.is_ok():
                self.lease.on_renewed(result.ok, sent_ms, to_ms(boot_s()))

    async def _release(self) -> None:
        if not self.lease.granted:
            return
        number = self.lease.fencing_number
        self.lease.on_lost(to_ms(boot_s()))
        release = pb.LeaseRelease(name=LEASE_NAME, fencing_number=number)
        await self._propose(pb.Command(lease_release=release))

    async def _propose(
        self, command: pb.Command
    ) -> Result[pb.CommandResult, StepError]:
        result = await self.store.propose(command, PROPOSE_TIMEOUT_S)
        if result.is_error():
            self.lease.on_no_answer(to_ms(boot_s()))
            log.debug("lease_not_answered", reason=str(result.error))
        return result

    async def _send_order(
        self, service: Service, key: CountKey, count: int
    ) -> int | None:
        """Order a total number of backend servers of a service in one zone and market.

        Returns:
            The HTTP status; None without a response, or if the lease was lost.
        """
        if not self.may_call_cloud(boot_s()):
            return None
        reclaimable = key.market is Market.RECLAIMABLE
        path, body = self.state.dialect.encode_scale(
            service.name, key.zone, count, reclaimable=reclaimable
        )
        status = await self.call_cloud(path, body)
        if status.is_error():
            log.info("order_not_answered", zone=key.zone, reason=str(status.error))
            return None
        return status.ok

    async def _report_usage(self) -> None:
        """Report the complete windows that have not been reported yet.

        The oldest of them is the latest window whose report is overdue.
        """
        state = self.state
        wall_s = state.wall_clock.read(boot_s())
        usage = state.usage
        last_window = usage.window_at(wall_s - REPORT_DELAY_S) - 1
        oldest_window = usage.window_at(wall_s - state.settings.report_due_s) - 1
        for window in range(oldest_window, last_window + 1):
            if window not in self.reported_windows and usage.total(window):
                await self._report_window(window)
        self.reported_windows = {
            window for window in self.reported_windows if window >= oldest_window
        }

    async def _report_window(self, window: int) -> None:
        counts = await self._commit_counts(window)
        if counts is None or not self.may_call_cloud(boot_s()):
            return
        path, body = self.state.dialect.encode_usage(window, counts)
        status = await self.call_cloud(path, body)
        if status.is_error():
            log.info("usage_not_reported", window=window, reason=str(status.error))
            return
        log.info("usage_reported", window=window, status=status.ok, counts=counts)
        if status.ok < 300 or status.ok == 409:
            self.reported_windows.add(window)

    async def _commit_counts(self, window: int) -> dict[str, int] | None:
        """Commit the counts of a window unless an earlier holder has done so.

        Returns:
            The committed counts, which are the same for every holder; None if the
            committed counts are unknown.
        """
        key = f"{REPORT_KEY_PREFIX}{window:012d}"
        counts = self.state.usage.total(window)
        transaction = pb.Transaction(
            puts=[pb.Put(key=key, value=orjson.dumps(counts), expected_revision=0)],
            deletes=[pb.Delete(key=f"{REPORT_KEY_PREFIX}{window - KEPT_REPORTS:012d}")],
            fences=[
                pb.Fence(lease=LEASE_NAME, fencing_number=self.lease.fencing_number)
            ],
        )
        result = await self._propose(pb.Command(transaction=transaction))
        if result.is_error():
            return None
        status = result.ok.status
        if status == pb.CommandResult.APPLIED:
            return counts
        if status == pb.CommandResult.CONFLICT and result.ok.current:
            committed: dict[str, int] = orjson.loads(result.ok.current[0].value)
            return committed
        log.info("usage_not_committed", window=window, status=status)
        return None

    async def call_cloud(self, path: str, body: bytes) -> Result[int, StepError]:
        """Send one call to the cloud API and return its HTTP status.

        Returns:
            The status; an `UnavailableError` if the call got no response, in which case
            it may have been executed.
        """
        settings = self.state.settings
        assert settings.duties is not None
        headers = self.state.dialect.encode_duty(
            settings.host, self.lease.fencing_number
        )
        address = settings.duties.address
        answered = await call(address, path, headers, body, CALL_TIMEOUT_S)
        return answered.map(lambda answer: answer.status)
