"""Runs a simulated replication group through a seeded schedule of failures."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any, Final

from support.log_checks import Checks, require
from support.log_clients import Client
from support.log_node import Node
from tanagerturn.coordination.log.membership import Action
from tanagerturn.coordination.log.membership_changes import is_caught_up
from tanagerturn.coordination.log.ready import Role
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.state._repair import GroupHealth, next_membership_change

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

CLIENT_COUNT: Final = 3
CONVERGENCE_LIMIT_S: Final = 6.0


@dataclass(frozen=True)
class Profile:
    """Parameters of one kind of failure schedule."""

    voters: int = 3
    learners: int = 0
    spares: int = 0
    drop_rate: float = 0.02
    duplicate_rate: float = 0.02
    delay_s: float = 0.02
    mean_fault_interval_s: float = 0.2
    """Mean time between two injected failures, in seconds."""
    length_s: float = 2.5
    election_timeout_s: float = 0.3
    leader_crash_rate: float = 0.0
    """Probability that a new leader crashes soon after its election."""
    append_limit_bytes: int = 300
    snapshot_entries: int = 12
    loses_hosts: bool = False
    """Whether two hosts are lost for good, the second after a spare was added."""


class Cluster:
    """A replication group with its simulated network, clients and failures."""

    def __init__(
        self, seed: int, profile: Profile, node_class: type[Node] = Node
    ) -> None:
        self.random = Random(seed)
        self.profile = profile
        self.now = 0.0
        self.tick_s = profile.election_timeout_s / 6
        self.checks = Checks()
        self.failures_ended = False
        self.blocked: set[tuple[str, str]] = set()
        self.lost_hosts = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        names = [f"v{n}" for n in range(profile.voters)]
        names += [f"l{n}" for n in range(profile.learners)]
        self.initial_membership = pb.Membership(
            members=[make_member(name) for name in names]
        )
        names += [f"s{n}" for n in range(profile.spares)]
        self.nodes = {name: node_class(self, name) for name in names}
        self.clients = [Client(self, f"c{n}") for n in range(CLIENT_COUNT)]

    def start(self) -> None:
        """Start all members."""
        for node in self.nodes.values():
            node.start(self._initial_membership_of(node))
            self.at(self.random.random() * self.tick_s, lambda n=node: self._tick(n))

    def run(self) -> None:
        """Run the schedule, end the failures, and check the final states."""
        self.start()
        for client in self.clients:
            self.at(0.5 + self.random.random() * 0.1, client.next)
        self._schedule_fault()
        if self.profile.loses_hosts:
            self.at(0.8, self._lose_host)
            self.at(0.8, self._repair)
        self.run_until(self.profile.length_s)
        self.end_failures()
        self.run_until(self.profile.length_s + CONVERGENCE_LIMIT_S, self.has_converged)
        self.check_end()

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        self._event_count += 1
        heapq.heappush(self._events, (self.now + delay_s, self._event_count, action))

    def send(self, messages: Sequence[pb.LogMessage]) -> None:
        """Send messages over the simulated network."""
        for message in messages:
            if (message.sender, message.receiver) in self.blocked:
                continue
            copies = 1
            if not self.failures_ended:
                copies = 0 if self.random.random() < self.profile.drop_rate else 1
                copies += self.random.random() < self.profile.duplicate_rate
            for _ in range(copies):
                delay_s = 0.0005 + self.random.random() ** 3 * self.profile.delay_s
                self.at(delay_s, lambda m=message: self._deliver(m))

    def schedule_save(self, node: Node, meta: pb.SnapshotMeta, image: Any) -> None:
        """Store a snapshot after a random delay, as the writer thread does."""
        replica = node.replica

        def save() -> None:
            if node.replica is not replica or replica is None:
                return
            saved = replica.storage.snapshots.save(meta, image.records())
            replica.snapshot_saved(saved)

        self.at(self.random.random() * 0.05, lambda: node.run(save))

    def schedule_restart(self, node: Node) -> None:
        """Schedule the restart of a member."""
        delay_s = 0.05 if self.failures_ended else self.random.random() * 0.6
        self.at(delay_s, lambda: node.start(self._initial_membership_of(node)))

    def on_leader(self, node: Node) -> None:
        """Schedule the crash of some new leaders; isolate some of them until then."""
        if (
            self.failures_ended
            or self.random.random() >= self.profile.leader_crash_rate
        ):
            return
        replica = node.replica
        delay_s = self.random.random() * 0.04
        if self.random.random() < 0.5:
            self._block({(node.member, other) for other in self.nodes}, delay_s)
        self.at(delay_s, lambda: node.crash() if node.replica is replica else None)

    def leader(self) -> Node | None:
        """Return the leader of the highest term; None when no member leads."""
        leading = [
            node
            for node in self.nodes.values()
            if node.replica is not None and node.replica.core.role is Role.LEADER
        ]
        return max(leading, key=lambda n: n.replica.core.term, default=None)

    def _initial_membership_of(self, node: Node) -> pb.Membership | None:
        is_founder = any(m.id == node.member for m in self.initial_membership.members)
        return self.initial_membership if is_founder else None

    def run_until(
        self, end_s: float, is_done: Callable[[], bool] = lambda: False
    ) -> None:
        """Advance the time to `end_s`, or until `is_done` returns True."""
        while self._events and self._events[0][0] <= end_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
            if is_done():
                return
        self.now = end_s

    def _tick(self, node: Node) -> None:
        if not node.is_paused:
            node.act(lambda replica: replica.tick(node.moment()))
        self.at(self.tick_s, lambda: self._tick(node))

    def _deliver(self, message: pb.LogMessage) -> None:
        node = self.nodes[message.receiver]
        if node.is_paused:
            wait_s = node.paused_until_s - self.now
            self.at(wait_s, lambda: self._deliver(message))
            return
        node.act(lambda replica: replica.deliver([message], node.moment()))

    def _schedule_fault(self) -> None:
        self.at(
            self.random.expovariate(1 / self.profile.mean_fault_interval_s),
            self._inject_fault,
        )

    def _inject_fault(self) -> None:
        if self.failures_ended:
            return
        node = self.random.choice(list(self.nodes.values()))
        if self.random.random() < 0.5:
            node = self.leader() or node
        self.random.choice(FAULT_ACTIONS)(self, node)
        self._schedule_fault()

    def _crash(self, node: Node) -> None:
        if node.replica is not None:
            node.crash()

    def _crash_at_sync(self, node: Node) -> None:
        node.disk.crash_after_boundaries = self.random.randint(1, 8)

    def isolate(self, node: Node) -> None:
        """Isolate a member in one or both directions."""
        others = [n for n in self.nodes if n != node.member]
        directions = self.random.choice(["in", "out", "both"])
        pairs = {(node.member, o) for o in others if directions != "in"}
        pairs |= {(o, node.member) for o in others if directions != "out"}
        self._block(pairs)

    def _partition(self, node: Node) -> None:
        side = {n for n in self.nodes if self.random.random() < 0.5}
        pairs = {(a, b) for a in self.nodes for b in self.nodes if a != b}
        self._block({(a, b) for a, b in pairs if (a in side) != (b in side)})

    def _block(self, pairs: set[tuple[str, str]], for_s: float | None = None) -> None:
        self.blocked |= pairs
        end_s = self.random.random() * 0.8 if for_s is None else for_s
        self.at(end_s, lambda: self.blocked.difference_update(pairs))

    def _pause(self, node: Node) -> None:
        node.paused_until_s = self.now + self.random.random() * 1.0

    def _fill_disk(self, node: Node) -> None:
        node.disk.is_full = True
        self.at(
            self.random.random() * 0.7, lambda: setattr(node.disk, "is_full", False)
        )

    def _fail_disk(self, node: Node) -> None:
        node.disk.syncs_fail = True

    def _jump_wall_clock(self, node: Node) -> None:
        node.wall_offset_ms += self.random.choice([-3_600_000, 3_600_000])

    def _hand_over(self, node: Node) -> None:
        node.act(lambda replica: replica.transfer_leadership(node.moment()))

    def _change_members(self, node: Node) -> None:
        if not self.profile.spares or self.profile.loses_hosts:
            return
        action = self.random.choice([Action.ADD_LEARNER, Action.PROMOTE, Action.REMOVE])
        target = make_member(self.random.choice([n for n in self.nodes if n[0] != "v"]))
        leader = self.leader()
        if leader is not None:
            change = (action, target, leader.moment(), lambda result: None)
            leader.act(lambda replica: replica.change_member(*change))

    def _lose_host(self) -> None:
        left = [n for name, n in self.nodes.items() if name[0] == "v" and not n.is_lost]
        self.random.choice(left).lose()
        self.lost_hosts = max(1, self.lost_hosts)

    def _repair(self) -> None:
        """Propose the membership change that the product chooses for repair."""
        leader = self.leader()
        if leader is not None and leader.replica is not None and not leader.is_paused:
            core = leader.replica.core
            membership = core.log.membership
            last_response_age_s = {
                p: self.now - g.last_response_at_s for p, g in core.progress.items()
            }
            ready = {p for p in core.progress if is_caught_up(core, p, self.now)}
            known = {m.id for m in membership.members}
            spares = [
                make_member(n) for n in self.nodes if n[0] == "s" and n not in known
            ]
            health = GroupHealth(membership, last_response_age_s, ready)
            change = next_membership_change(health, spares, self.profile.voters, 0.6)
            if change is not None:
                step = (change.action, change.member, leader.moment(), lambda r: None)
                leader.act(lambda replica: replica.change_member(*step))
            is_added = core.log.membership_index and self.lost_hosts == 1
            if is_added and core.commit_index >= core.log.membership_index:
                self.lost_hosts = 2
                self.at(self.random.random() * 0.5, self._lose_host)
        self.at(0.1, self._repair)

    def end_failures(self) -> None:
        """End all failures except for the loss of hosts."""
        self.failures_ended = True
        self.blocked.clear()
        for node in self.nodes.values():
            node.disk.is_full = False
            node.disk.syncs_fail = False
            node.disk.crash_after_boundaries = None
            node.paused_until_s = 0.0
            node.start(self._initial_membership_of(node))

    def has_converged(self) -> bool:
        """Return whether clients are done and members have applied all entries."""
        if not all(client.is_done for client in self.clients):
            return False
        replicas = [n.replica for n in self.surviving_members()]
        applied = {h.applied_index if h else -1 for h in replicas}
        return applied == {len(self.checks.committed)}

    def surviving_members(self) -> list[Node]:
        """Return the members of the leader's membership whose hosts are not lost."""
        leader = self.leader()
        if leader is None or leader.replica is None:
            return list(self.nodes.values())
        ids = [m.id for m in leader.replica.core.log.membership.members]
        return [self.nodes[i] for i in ids if not self.nodes[i].is_lost]

    def check_end(self) -> None:
        """Check the logs and states of all members."""
        for node in self.nodes.values():
            if node.replica is not None:
                self.checks.on_log(node.replica.core)
        if self.lost_hosts > 1:
            self._check_survivors()
            return
        require(self.has_converged(), "the group did not converge after the failures")
        images = [
            list(n.replica.store.image().records()) for n in self.surviving_members()
        ]
        require(all(i == images[0] for i in images), "members hold different states")

    def _check_survivors(self) -> None:
        """Check that a running member holds the last committed entry."""
        last = max(self.checks.committed, default=0)
        term = self.checks.committed[last][0] if last else 0
        alive = [n.replica for n in self.nodes.values() if n.replica is not None]
        held = any(h.core.log.term_at(last) in (term, None) for h in alive)
        enough = any(h.core.log.last_index >= last for h in alive)
        require(held and enough, "a committed entry was lost with the hosts")


FAULT_ACTIONS: Final[Sequence[Callable[[Cluster, Node], None]]] = (
    Cluster._crash,
    Cluster._crash,
    Cluster._crash_at_sync,
    Cluster._crash_at_sync,
    Cluster.isolate,
    Cluster.isolate,
    Cluster._partition,
    Cluster._pause,
    Cluster._fill_disk,
    Cluster._fail_disk,
    Cluster._jump_wall_clock,
    Cluster._hand_over,
    Cluster._change_members,
)


def make_member(name: str) -> pb.Member:
    """Return a member of the group by its name."""
    role = pb.LEARNER if name[0] == "l" else pb.VOTER
    return pb.Member(id=name, address=f"{name}:1", role=role, incarnation=name)


PROFILES: Final[Mapping[str, Profile]] = {
    "mixed failures": Profile(),
    "membership changes": Profile(learners=2, spares=1, mean_fault_interval_s=0.15),
    "leaders that crash early": Profile(
        append_limit_bytes=1,
        mean_fault_interval_s=1.0,
        drop_rate=0.15,
        leader_crash_rate=0.8,
        length_s=4,
    ),
    "five members, leaders that crash early": Profile(
        voters=5,
        append_limit_bytes=1,
        mean_fault_interval_s=1.0,
        drop_rate=0.15,
        leader_crash_rate=0.8,
        length_s=5,
    ),
    "a second host loss during a repair": Profile(
        spares=2, loses_hosts=True, mean_fault_interval_s=0.6
    ),
}
"""Parameters of each kind of schedule, by name."""
