"""Runs the controllers of rollouts at the gateway that holds the lease.

Each change is committed under the lease's fencing number before gateways are told, so a
previous holder that was paused cannot change an order any more. Its last permissions
expire. A new holder need not wait for that: gateways prefer permissions of a higher
fencing number.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s, to_ms
from tanagerturn.coordination.ids import ProcessId
from tanagerturn.coordination.leases import (
    LeaseCore,
    LeaseStep,
    LeaseTerms,
    holder_id,
)
from tanagerturn.coordination.log.membership import voters
from tanagerturn.gateway.fleet import service_of
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.rollouts.codec import (
    IssuedPermission,
    order_of,
    permission_of,
    state_of,
)
from tanagerturn.gateway.rollouts.orders import StoredOrder, with_decision
from tanagerturn.gateway.rollouts.table import is_warm
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.serving.rollouts.controller import STEP_MS, RolloutController
from tanagerturn.serving.rollouts.evidence import VersionEvidence
from tanagerturn.serving.rollouts.messages import Permission, RolloutState

if TYPE_CHECKING:
    from expression import Result

    from tanagerturn.coordination.errors import StepError
    from tanagerturn.gateway.rollouts.orders import RolloutOrders
    from tanagerturn.gateway.rollouts.spread import RolloutSpread
    from tanagerturn.gateway.rollouts.table import RolloutTable
    from tanagerturn.gateway.spread.mesh import Mesh
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.gateway.state_group.member import StateMember
    from tanagerturn.gateway.state_group.replicated_store import ReplicatedStore
    from tanagerturn.schema import gateway_pb2 as gpb
    from tanagerturn.serving.rollouts.messages import Decision, ExposureBound

LEASE_NAME: Final = "rollouts"
"""Name of the lease in the state group."""

LEASE_MS: Final = 1_200
"""Duration of the lease in milliseconds. With 2,400 ms, a rollout of 12 s whose holder
led the state group stood still for 3.8 s when that host was killed."""

PROPOSE_TIMEOUT_S: Final = 0.8
"""Timeout of one commit in the state group in seconds."""

RENEW_FRACTION: Final = 0.25
"""Fraction of a permission's validity after which it is issued again, since datagrams
may get lost."""

log = component_log("rollouts")


@dataclass
class ControlledRollout:
    """A rollout in progress at the holder."""

    stored: StoredOrder
    """The order as committed last."""
    controller: RolloutController
    """Decides on its share and its end."""
    issued_ms: int = 0
    """Corrected wall-clock time in milliseconds of the last permission; 0 before it."""
    valid_ms: int = 0
    """Validity of the last permission in milliseconds."""

    def must_issue(self, decision: Decision, now_ms: int) -> bool:
        """Return whether the permission has to be issued again to go on."""
        if not decision.valid_ms:
            return False
        renew_ms = RENEW_FRACTION * min(self.valid_ms, decision.valid_ms)
        return now_ms >= self.issued_ms + renew_ms


class RolloutHolder:
    """Competes for the lease during rollouts, and controls them while it is held.

    Args:
        state: State of the gateway.
        table: Rollouts that the gateway knows.
        orders: Orders in the state group.
        store: Calls to the state group.
        spread: Exchanges permissions and evidence with peer gateways.
        mesh: Membership of gateways.
        bound: Limits on what a bad version receives.
    """

    def __init__(
        self,
        state: GatewayState,
        table: RolloutTable,
        orders: RolloutOrders,
        store: ReplicatedStore,
        spread: RolloutSpread,
        mesh: Mesh,
        bound: ExposureBound,
    ) -> None:
        self.state = state
        """State of the gateway."""
        self.table = table
        """Rollouts that the gateway knows."""
        self.orders = orders
        """Orders in the state group."""
        self.store = store
        """Calls to the state group."""
        self.spread = spread
        """Exchanges permissions and evidence with peer gateways."""
        self.mesh = mesh
        """Membership of gateways."""
        self.bound = bound
        """Limits on what a bad version receives."""
        self.lease = LeaseCore(LeaseTerms(LEASE_MS))
        """State of the lease as known to this gateway."""
        self.own_holder_id = ""
        """Id under which this start of the process acquires the lease; empty before
        `run`."""
        self.controlled: dict[str, ControlledRollout] = {}
        """Rollouts that this gateway controls, by service; empty without the lease."""
        self.loaded_number = 0
        """Fencing number of the holding in which the orders were read."""
        self.heard: dict[tuple[str, str, int], VersionEvidence] = {}
        """Counters in digests, by service, host and start of its process, of the orders
        in progress: those of a killed holder are lost otherwise."""

    async def run(self) -> None:
        """Control rollouts whenever the lease is held, until the task is cancelled."""
        settings = self.state.settings
        if settings.data_folder is None:
            return
        started = f"{to_ms(boot_s()):x}-{self.state.random.getrandbits(32):x}"
        self.own_holder_id = holder_id(ProcessId(settings.host), started)
        while True:
            await asyncio.sleep(STEP_MS / 1000)
            try:
                await self._step()
            except Exception as error:
                # An error must not end this task or affect callers; the next step
                # retries.
                log.error("rollout_step_failed", reason=repr(error))

    def on_evidence(self, service: str, host: str, evidence: VersionEvidence) -> None:
        """Apply the counters of a gateway."""
        active = self.table.service(service).active
        may_hold = bool(self.own_holder_id)
        if not may_hold or active is None or active.number != evidence.number:
            return
        known = self.heard.get((service, host, evidence.started_ms))
        if known is None or known.number != evidence.number:
            known = VersionEvidence(evidence.number, evidence.started_ms)
            self.heard[service, host, evidence.started_ms] = known
        known.merge(evidence)
        controlled = self.controlled.get(service)
        if controlled is not None:
            controlled.controller.on_evidence(host, evidence, self._now_ms())

    async def _step(self) -> None:
        member = self.store.member
        if self.state.is_draining or not self._active_services():
            self.controlled.clear()
            self.heard.clear()
            await self._release()
            return
        if not self.lease.granted and not _is_voter(member):
            return
        await self._maintain_lease()
        if not self.lease.held(to_ms(boot_s())):
            self.controlled.clear()
            self.loaded_number = 0
            return
        if self.loaded_number != self.lease.fencing_number:
            await self._load()
        for service in self._active_services():
            if service not in self.controlled:
                await self._take_up(service)
        for service in list(self.controlled):
            await self._control(service)

    def _active_services(self) -> list[str]:
        """Return the services with a known rollout in progress."""
        return [name for name, known in self.table.services.items() if known.active]

    async def _load(self) -> None:
        """Read the orders of all services at the start of a holding."""
        number = self.lease.fencing_number
        log.info("rollouts_taken", fencing_number=number)
        self.controlled.clear()
        services = {*self.state.configuration.services, *self.table.services}
        for service in sorted(services):
            if not await self._take_up(service):
                return
        self.loaded_number = number

    async def _take_up(self, service: str) -> bool:
        """Read the order of a service, and control it if it is in progress.

        Returns:
            Whether it was read.
        """
        read = await self.orders.read(service, PROPOSE_TIMEOUT_S)
        if read.is_error():
            log.info("rollout_not_read", service=service, reason=str(read.error))
            return False
        if read.ok is None:
            return True
        stored = read.ok.rollout
        self.table.on_issued(permission_of(stored), self._now_ms())
        if state_of(stored) is RolloutState.ACTIVE:
            controller = RolloutController(
                order_of(stored),
                self.bound,
                self._now_ms(),
                state_of(stored),
                stored.share,
            )
            self._feed(controller)
            self.controlled[service] = ControlledRollout(read.ok, controller)
            # Expired from the start: it tells gateways where to send their evidence.
            self._issue(stored, state_of(stored), stored.share, self._now_ms(), 0)
        return True

    def _feed(self, controller: RolloutController) -> None:
        """Give a new controller what digests have reported, also of lost gateways."""
        service, number = controller.order.service, controller.order.number
        for key in sorted(self.heard):
            if key[0] == service and self.heard[key].number == number:
                controller.on_evidence(key[1], self.heard[key], self._now_ms())

    async def _control(self, service: str) -> None:
        """Make, commit and announce the decision on one rollout that is due."""
        controlled = self.controlled[service]
        known = self.table.service(service)
        settings, now_ms = self.state.settings, self._now_ms()
        known.counter.update_waiting(boot_s())
        if known.counter.evidence is not None:
            controlled.controller.on_evidence(
                settings.host, known.counter.evidence, now_ms
            )
        gateways = {settings.host, *self.mesh.present_hosts()}
        ready = self._ready_versions(service)
        decision = controlled.controller.step(now_ms, ready, gateways)
        stored = controlled.stored.rollout
        if (decision.state, decision.share) != (state_of(stored), stored.share):
            if not await self._commit(service, controlled, decision):
                return
            log.info(
                "rollout_decided",
                service=service,
                target=stored.target,
                number=stored.number,
                state=decision.state.value,
                share=round(decision.share, 4),
                reason=decision.reason,
            )
        elif not controlled.must_issue(decision, now_ms):
            return
        if decision.state is RolloutState.ACTIVE and not decision.valid_ms:
            return
        # The commit may have taken longer than the lease is valid.
        if not self.lease.held(to_ms(boot_s())):
            return
        controlled.issued_ms, controlled.valid_ms = now_ms, decision.valid_ms
        self._issue(stored, decision.state, decision.share, now_ms, decision.valid_ms)
        if decision.state is not RolloutState.ACTIVE:
            del self.controlled[service]

    def _issue(
        self,
        stored: gpb.StoredRollout,
        state: RolloutState,
        share: float,
        now_ms: int,
        valid_ms: int,
    ) -> None:
        """Apply a permission, and send it to all gateways."""
        number, target = stored.number, stored.target
        issued = IssuedPermission(
            Permission(stored.service, target, number, state, share, now_ms, valid_ms),
            self.lease.fencing_number,
            self.state.settings.host,
        )
        self.table.on_issued(issued, self._now_ms())
        self.spread.send_permission(issued, boot_s())

    async def _commit(
        self, service: str, controlled: ControlledRollout, decision: Decision
    ) -> bool:
        """Commit a decision; drop the rollout if it was changed elsewhere.

        Returns:
            Whether it is committed.
        """
        stored = controlled.stored
        changed = with_decision(stored.rollout, decision.state, decision.share)
        fence = pb.Fence(lease=LEASE_NAME, fencing_number=self.lease.fencing_number)
        committed = await self.orders.commit(
            changed, stored.revision, PROPOSE_TIMEOUT_S, [fence]
        )
        # The new revision, or what another holder has committed, is read back.
        read = await self.orders.read(service, PROPOSE_TIMEOUT_S)
        if read.is_error() or read.ok is None:
            return False
        controlled.stored = read.ok
        if read.ok.rollout == changed:
            return True
        log.info("rollout_not_committed", reason=str(committed))
        if read.ok.rollout.number != changed.number:
            del self.controlled[service]
        return False

    def _ready_versions(self, service: str) -> set[str]:
        """Return the versions with a backend server that may get requests."""
        now_s = boot_s()
        return {
            backend.software_version
            for backend in self.state.fleet.view.pool(service)
            if service_of(backend) == service
            and not backend.leaving
            and is_warm(backend)
            and backend.is_alive(to_ms(now_s))
        }

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
            number = self.lease.fencing_number
            renew = pb.LeaseRenew(name=LEASE_NAME, fencing_number=number)
            result = await self._propose(pb.Command(lease_renew=renew))
            if result.is_ok():
                self.lease.on_renewed(result.ok, sent_ms, to_ms(boot_s()))

    async def _release(self) -> None:
        if not self.lease.granted:
            return
        number = self.lease.fencing_number
        self.lease.on_lost(to_ms(boot_s()))
        self.loaded_number = 0
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

    def _now_ms(self) -> int:
        return to_ms(self.state.wall_clock.read(boot_s()))


def _is_voter(member: StateMember | None) -> bool:
    """Return whether a member of the state group votes."""
    if member is None or member.core is None:
        return False
    return member.id in voters(member.core.log.membership)
