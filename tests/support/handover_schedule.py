"""Seeded schedules in which all members of a state group are replaced as planned work.

Run one schedule: PYTHONPATH=src:tests python -m support.handover_schedule SEED
"""

from __future__ import annotations

import sys
from dataclasses import replace
from enum import Enum
from random import Random
from typing import TYPE_CHECKING, Final

from loguru import logger

from support.log_checks import require
from support.log_clients import Client
from support.log_cluster import Cluster, Profile
from support.log_node import Node
from tanagerturn.coordination.log.membership import voters
from tanagerturn.coordination.log.membership_changes import is_caught_up
from tanagerturn.coordination.log.ready import Role
from tanagerturn.gateway.state_group import handover
from tanagerturn.gateway.state_group.member import REPLACE_AFTER_S
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.state._repair import GroupHealth, next_membership_change

if TYPE_CHECKING:
    from collections.abc import Iterable

VOTERS: Final = 3
REPAIR_INTERVAL_S: Final = 0.15
MIN_DRAIN_S: Final = 3.0
GRACE_S: Final = 8.0
DRAIN_MARGIN_S: Final = 0.4
MAX_LATE_S: Final = 2.5
"""Longest time in seconds from a stop to the start of the successor."""

SUCCESSORS: Final = ("s1", "s2", "s3", "s4")

DETECTION_S: Final = 2.0
"""Time in seconds after which failure detection no longer finds a host present."""

PROFILE: Final = Profile(
    voters=VOTERS, spares=5, election_timeout_s=0.9, append_limit_bytes=4_000
)


class Builds(Enum):
    """Which hosts run the build that hands over the places of draining voters."""

    ALL = "all hosts"
    SUCCESSORS = "the hosts that come"
    PREDECESSORS = "the hosts that go"


class Trouble(Enum):
    """What happens beside the planned stops, at most once."""

    NONE = "nothing"
    KILL = "a host is killed and restarts"
    LOSE_DISK = "a host is killed and restarts without its disk"
    CUT = "a host is cut off for up to 2 s"


class MemberNode(Node):
    """A host with a member of the group."""

    replaces_draining_voters = True
    is_draining = False
    address = ""

    def __init__(self, cluster: HandoverCluster, member: str) -> None:
        super().__init__(cluster, member)
        self.address = f"{member}:1"
        self.digests: dict[str, tuple[gpb.Digest, float]] = {}
        """Latest digest of each peer by address, and when it was received."""
        self.seen_up_s = 0.0
        """When the host was last up."""


class SlowClient(Client):
    """A client that pauses between its operations."""

    def next(self) -> None:
        """Start the next operation after a pause."""
        self.cluster.at(0.2, super().next)


class HandoverCluster(Cluster):
    """A group of three with a spare, all of whose hosts are replaced by four others."""

    def __init__(self, seed: int, repairs=next_membership_change) -> None:
        random = Random(seed)
        super().__init__(seed, replace(PROFILE, snapshot_entries=40), MemberNode)
        self.repairs = repairs
        """Chooses the leader's membership changes."""
        self.clients = [SlowClient(self, "c0")]
        self.gap_s = random.choice([0.0, random.uniform(0, 3), random.uniform(0, 10)])
        """Time in seconds between two planned stops."""
        self.builds = random.choice(list(Builds))
        self.trouble = random.choice(list(Trouble))
        self.gateways = random.choice([9, 93, 200])
        """Number of gateways, on which the interval of digests depends."""
        self.old = ["v0", "v1", "v2", "s0"]
        random.shuffle(self.old)
        if self.builds is not Builds.ALL:
            if self.trouble is Trouble.LOSE_DISK:
                self.trouble = Trouble.KILL
            are_old = self.builds is Builds.SUCCESSORS
            for name, node in self.nodes.items():
                node.replaces_draining_voters = (name in self.old) is not are_old
        is_late = self.builds is Builds.ALL and random.random() < 0.5
        self.late_s = random.uniform(0.0, MAX_LATE_S) if is_late else None
        """Time in seconds from a host's stop to the start of its successor; None if
        all successors run before the first stop."""
        self.ended: dict[str, float] = {}
        """When each host that was replaced has ended."""

    @property
    def digest_interval_s(self) -> float:
        """Interval between two digests of a gateway in seconds."""
        return max(0.25, self.gateways / 120)

    def run(self) -> None:
        """Replace all hosts, then check that the group serves with the new ones."""
        self.start()
        self.at(0.5, self.clients[0].next)
        for name, node in self.nodes.items():
            if self.late_s is None or name not in SUCCESSORS:
                self._start_host(node)
            else:
                node.replica = None
        self.run_until(4.0)
        at_s = 0.0
        for number, name in enumerate(self.old):
            if number:
                at_s += max(self.gap_s, self._old_build_pause_s(number))
            self.at(at_s, lambda n=self.nodes[name]: self._terminate(n))
            if self.late_s is not None:
                successor = self.nodes[SUCCESSORS[number]]
                self.at(at_s + self.late_s, lambda n=successor: self._start_late(n))
        self.at(self.random.uniform(0, at_s + 4.0), self._start_trouble)
        self.run_until(self.now + at_s + GRACE_S + 1.0)
        self.end_failures()
        self.run_until(self.now + 15.0, self.has_converged)
        self.check_end()

    def _old_build_pause_s(self, number: int) -> float:
        """Return the pause in seconds that stops of the old build need.

        Its voters end without waiting for a successor, and as a leader it replaces only
        silent voters: nothing on the other hosts can make up for that.
        """
        if self.builds is not Builds.SUCCESSORS:
            return 0.0
        if self.trouble is not Trouble.NONE:
            return 10.0
        return 7.5 if number < VOTERS else 0.0

    def check_end(self) -> None:
        """Check that the group serves, with voters on hosts that were not stopped."""
        super().check_end()
        leader = self.leader()
        require(leader is not None, "no leader after the replacement")
        ids = set(voters(leader.replica.core.log.membership))
        left = ids & set(self.ended)
        require(not left, f"hosts that have ended are voters: {left} of {ids}")

    def _start_host(self, node: MemberNode) -> None:
        self.at(self.random.random() * self.digest_interval_s, lambda: self._send(node))
        self.at(self.random.random() * 0.15, lambda: self._check_group(node))

    def _start_late(self, node: MemberNode) -> None:
        node.start()
        self._start_host(node)

    def _send(self, node: MemberNode) -> None:
        """Send a host's digest to the others, and again after the interval."""
        self._send_digest(node)
        if node.member not in self.ended and not node.is_lost:
            self.at(self.digest_interval_s, lambda: self._send(node))

    def _send_digest(self, node: MemberNode) -> None:
        if node.replica is None or node.is_paused:
            return
        core = node.replica.core
        leads = core.role is Role.LEADER
        is_committed = core.log.membership_index <= core.commit_index
        leader = self.nodes.get(core.leader)
        digest = gpb.Digest(
            host=node.address,
            link_address=node.address,
            member=_record(node),
            draining=node.is_draining,
            term=core.term,
            leader_address=leader.address if leader else "",
        )
        if node.replaces_draining_voters:
            digest.replaces_draining_voters = True
            if leads and is_committed:
                digest.voters.extend(voters(core.log.membership))
        batches_s, sent_s = self.gateways / 4 * 0.025, self.now
        for peer in self.nodes.values():
            is_blocked = (node.member, peer.member) in self.blocked
            if peer is node or is_blocked or self.random.random() < 0.1:
                continue
            delay_s = self.random.random() * batches_s

            def receive(peer=peer) -> None:
                known = peer.digests.get(node.address)
                if known is None or known[1] <= sent_s:
                    peer.digests[node.address] = (digest, sent_s)

            self.at(delay_s, receive)

    def _view(self, node: MemberNode) -> handover.GroupView:
        core = node.replica.core
        max_age_s = max(4.0, 4 * self.digest_interval_s)
        recent = [d for d, at_s in node.digests.values() if self.now - at_s < max_age_s]
        for peer in self.nodes.values():
            if peer.replica is not None:
                peer.seen_up_s = self.now
        present = {
            peer.address
            for peer in self.nodes.values()
            if self.now - peer.seen_up_s < DETECTION_S and peer.member not in self.ended
        }
        leader = self.nodes.get(core.leader)
        return handover.GroupView(
            node.member,
            node.is_draining,
            core.log.membership,
            leader.address if leader else "",
            core.role is Role.LEADER,
            recent,
            present - {node.address},
        )

    def _check_group(self, node: MemberNode) -> None:
        """Do what the product does at each check of the group."""
        if node.member in self.ended or node.is_lost:
            return
        self.at(REPAIR_INTERVAL_S, lambda: self._check_group(node))
        if node.replica is None or node.is_paused:
            return
        view = self._view(node)
        if node.replaces_draining_voters and handover.must_take_leadership(view):
            node.act(lambda replica: replica.take_leadership(node.moment()))
            return
        core = node.replica.core
        if core.role is not Role.LEADER:
            return
        ages = {p: self.now - g.last_response_at_s for p, g in core.progress.items()}
        caught_up = {p for p in core.progress if is_caught_up(core, p, self.now)}
        health = handover.with_reported_states(
            GroupHealth(core.log.membership, ages, caught_up), view
        )
        repairs = self.repairs
        if not node.replaces_draining_voters:
            health, repairs = replace(health, draining=frozenset()), _repairs_of_old
        change = repairs(health, handover.spare_members(view), VOTERS, REPLACE_AFTER_S)
        if change is not None:
            step = (change.action, change.member, node.moment(), lambda result: None)
            node.act(lambda replica: replica.change_member(*step))

    def _terminate(self, node: MemberNode) -> None:
        if node.is_lost:
            return
        node.is_draining = True
        self._send_digest(node)
        if not node.replaces_draining_voters:
            node.act(lambda replica: replica.transfer_leadership(node.moment()))
        end_s = self.now + GRACE_S - DRAIN_MARGIN_S
        self.at(MIN_DRAIN_S, lambda: self._end_if_allowed(node, end_s))

    def _end_if_allowed(self, node: MemberNode, end_s: float) -> None:
        if node.is_lost:
            return
        is_waiting = (
            node.replaces_draining_voters
            and self.now < end_s
            and (node.replica is None or not self.may_end(node))
        )
        if is_waiting:
            self.at(0.1, lambda: self._end_if_allowed(node, end_s))
            return
        node.act(lambda replica: replica.transfer_leadership(node.moment()))
        self.at(0.1, lambda: self._end(node))

    def may_end(self, node: MemberNode) -> bool:
        """Return whether a stopping host may end now."""
        return handover.may_end(self._view(node), VOTERS)

    def _end(self, node: MemberNode) -> None:
        node.replica, node.is_lost = None, True
        self.ended[node.member] = self.now
        membership = self._committed_membership()
        ids = voters(membership)
        alive = [v for v in ids if not self.nodes[v].is_lost]
        require(
            2 * len(alive) > len(ids),
            f"{self.now:.2f} s: {node.member} ended, of the voters {ids} only {alive}"
            " are left",
        )

    def _committed_membership(self) -> pb.Membership:
        """Return the newest membership that a member knows to be committed."""
        cores = [n.replica.core for n in self.nodes.values() if n.replica is not None]
        core = max(cores, key=lambda each: each.commit_index)
        return core.log.membership_at(core.commit_index)

    def _start_trouble(self) -> None:
        up = [
            node
            for node in self.nodes.values()
            if node.replica is not None and not node.is_draining
        ]
        if not up:
            return
        node = self.random.choice(up)
        if self.trouble is Trouble.KILL:
            node.crash()
        elif self.trouble is Trouble.CUT:
            others = [name for name in self.nodes if name != node.member]
            pairs = {(node.member, o) for o in others} | {
                (o, node.member) for o in others
            }
            self._block(pairs, self.random.uniform(0.5, 2.0))
        elif self.trouble is Trouble.LOSE_DISK:
            node.lose()
            self.at(1.0, lambda: self._add_successor(node))

    def _add_successor(self, lost: MemberNode) -> None:
        """Start a host with an empty disk at the address of one that lost its disk."""
        node = MemberNode(self, f"{lost.member}-empty")
        node.address, node.digests = lost.address, lost.digests
        self.nodes[node.member] = node
        node.start()
        self.at(0.0, lambda: self._tick(node))
        self._start_host(node)
        if lost.member in self.old:
            self.at(0.5, lambda: self._terminate(node))


def _record(node: MemberNode) -> pb.Member:
    return pb.Member(
        id=node.member,
        address=node.address,
        role=pb.VOTER,
        incarnation=node.member,
    )


def _repairs_of_old(health, spares, wanted_voters, repair_after_s):
    return next_membership_change(health, spares, wanted_voters, repair_after_s)


def failures(seeds: Iterable[int], make=HandoverCluster) -> list[str]:
    """Run schedules; return a text for each one that fails."""
    logger.remove()
    found = []
    for seed in seeds:
        cluster = make(seed)
        try:
            cluster.run()
        except AssertionError as error:
            what = f"{cluster.builds.name} {cluster.trouble.name} {cluster.gateways}"
            found.append(f"seed {seed}, {what}, gap {cluster.gap_s:.2f} s: {error}")
    return found


if __name__ == "__main__":
    first, _, last = sys.argv[1].partition("-")
    for failure in failures(range(int(first), int(last or first) + 1)):
        print(failure)
