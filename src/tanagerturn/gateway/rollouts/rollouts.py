"""Connects the parts of rollouts at one gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.clocks import boot_s, to_ms
from tanagerturn.coordination.log.membership import voters
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.rollouts.codec import permission_of, state_of
from tanagerturn.gateway.rollouts.holder import RolloutHolder
from tanagerturn.gateway.rollouts.lookups import OrderLookups
from tanagerturn.gateway.rollouts.orders import (
    KEY_PREFIX,
    OrderOutcome,
    RolloutOrders,
)
from tanagerturn.gateway.rollouts.spread import RolloutSpread
from tanagerturn.gateway.rollouts.support import unsupporting_hosts
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from tanagerturn.gateway.configuration_distributor import ConfigurationDistributor
    from tanagerturn.gateway.messages import GetRollout, StartRollout
    from tanagerturn.gateway.rollouts.table import RolloutTable
    from tanagerturn.gateway.spread.mesh import Mesh
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.gateway.state_group.replicated_store import ReplicatedStore
    from tanagerturn.schema import coordination_pb2 as pb
    from tanagerturn.serving.rollouts.evidence import VersionEvidence
    from tanagerturn.serving.rollouts.messages import ExposureBound

STATUSES = {
    OrderOutcome.ACCEPTED: 200,
    OrderOutcome.REPEATED: 200,
    OrderOutcome.OTHER_IN_PROGRESS: 409,
    OrderOutcome.UNKNOWN_SERVICE: 422,
}

log = component_log("rollouts")


def make_rollouts(
    state: GatewayState,
    store: ReplicatedStore,
    configurations: ConfigurationDistributor,
    mesh: Mesh,
) -> Rollouts | None:
    """Return the rollouts of a gateway; None unless its settings allow them."""
    bound = state.settings.rollouts
    if bound is None or state.rollouts is None:
        return None
    return Rollouts(state, state.rollouts, bound, store, configurations, mesh)


class Rollouts:
    """Rollouts of services at one gateway.

    Args:
        state: State of the gateway.
        table: Rollouts that the gateway knows.
        bound: Limits on what a bad version receives.
        store: Calls to the state group.
        configurations: Confirms which services exist.
        mesh: Membership of gateways and datagrams to peers.
    """

    def __init__(
        self,
        state: GatewayState,
        table: RolloutTable,
        bound: ExposureBound,
        store: ReplicatedStore,
        configurations: ConfigurationDistributor,
        mesh: Mesh,
    ) -> None:
        self.state = state
        """State of the gateway."""
        self.table = table
        """Rollouts that the gateway knows."""
        self.store = store
        """Calls to the state group."""
        self.mesh = mesh
        """Membership of gateways and datagrams to peers."""
        self.orders = RolloutOrders(
            state, store, configurations, self.unsupporting, self.on_accepted
        )
        """Orders in the state group."""
        self.lookups = OrderLookups(state, table, self.orders)
        """Reads orders before new versions are used."""
        self.spread = RolloutSpread(state, table, mesh, self._on_evidence)
        """Exchanges permissions and evidence with peers."""
        self.holder = RolloutHolder(
            state, table, self.orders, store, self.spread, mesh, bound
        )
        """Runs the controllers while this gateway holds the lease."""

    async def start(self, call: StartRollout) -> tuple[int, bytes]:
        """Return status and body of the response to an order."""
        result = await self.orders.start(call)
        if result.is_error():
            log.info("rollout_refused", status=503, reason=str(result.error))
            return 503, b"{}"
        status = STATUSES[result.ok]
        if status != 200:
            log.info("rollout_refused", status=status, reason=result.ok.value)
        return status, b"{}"

    async def get(self, call: GetRollout) -> tuple[int, bytes]:
        """Return status and body of the response to a request for a rollout."""
        read = await self.orders.read(call.service)
        if read.is_error():
            log.info("rollout_not_read", service=call.service, reason=str(read.error))
            return 503, b"{}"
        if read.ok is None:
            return 404, b"{}"
        stored = read.ok.rollout
        encode = self.state.dialect.encode_rollout
        return 200, encode(state_of(stored).value, stored.target)

    def is_ready(self) -> bool:
        """Return whether the versions of all known backend servers were looked up."""
        return self.table.is_confirmed(self.state.fleet)

    def tick(self, now_s: float) -> None:
        """Look up the orders of new versions."""
        self.lookups.tick(now_s)

    def exchange(self, now_s: float) -> None:
        """Send the evidence that is due, and log changes."""
        self.spread.send_evidence(now_s)
        if self.table.changed:
            self.spread.log_changes()

    def on_accepted(self, stored: gpb.StoredRollout) -> None:
        """Tell all gateways of an order before its backend servers start."""
        issued = permission_of(stored)
        if self.table.on_issued(issued, self._now_ms()):
            self.spread.send_permission(issued, boot_s())

    def on_batch(self, batch: pb.WatchBatch) -> None:
        """Apply orders among the writes committed at the local member."""
        for event in batch.events:
            if event.entry.key.startswith(KEY_PREFIX) and not event.deleted:
                stored = gpb.StoredRollout.FromString(event.entry.value)
                self.table.on_issued(permission_of(stored), self._now_ms())

    def unsupporting(self, now_s: float) -> list[str]:
        """Return the hosts and voters that are not known to support rollouts."""
        member = self.store.member
        core = member.core if member is not None else None
        return unsupporting_hosts(
            self.mesh.present_hosts(),
            {host: peer.digest for host, peer in self.mesh.peers.items()},
            self.state.settings.host,
            member.id if member is not None else "",
            voters(core.log.membership) if core is not None else (),
        )

    def _on_evidence(self, service: str, host: str, evidence: VersionEvidence) -> None:
        self.holder.on_evidence(service, host, evidence)

    def _now_ms(self) -> int:
        return to_ms(self.state.wall_clock.read(boot_s()))
