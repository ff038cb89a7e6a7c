"""Seeded first starts: hosts are lost, frozen, wiped and cut off while one is founded.

Run some: PYTHONPATH=src:tests python -m support.founding_explorer FIRST-LAST
"""

from __future__ import annotations

import heapq
import sys
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.founding.core import FoundingCore, FoundingOptions
from tanagerturn.coordination.founding.first_members import FirstMembers, decode_value
from tanagerturn.coordination.founding.messages import Answer, Ballot, Order
from tanagerturn.coordination.founding.votes import Vote, decode_vote
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

TICK_S: Final = 0.15
DIGEST_INTERVAL_S: Final = 0.2
GROUP_CHECK_S: Final = 0.1
CALL_TIMEOUT_S: Final = 3.0
FAULTS_UNTIL_S: Final = 10.0

CATCH_UP_S: Final = 2.0
"""Time in seconds for which a host that is back still counts as lost."""

CONFIRMED_AFTER_S: Final = 7.0
"""Time in seconds from the end of the last fault within which the group accepts:
`contact_ms` and `ack_ms` of the users' platform."""


class Fault(Enum):
    """What happens to a host."""

    REMOVED = "killed for good"
    RESTARTED = "killed, and back as at a first start"
    RESTARTED_LATER = "killed, and back as at a later start"
    WIPED = "back with an empty disk"
    FROZEN = "frozen"
    CUT_OFF = "cut off from all others"


RETURNS: Final = (Fault.RESTARTED, Fault.RESTARTED_LATER, Fault.WIPED)
LOSES_DISK: Final = frozenset({Fault.REMOVED, Fault.WIPED})


@dataclass
class Disk:
    """What a host's disk holds."""

    incarnation: int = 0
    vote: bytes | None = None
    started: str = ""
    """Value with which the member has started the group; empty if it has not."""


@dataclass
class Node:
    """A gateway process on a host."""

    name: str
    has_disk: bool
    zone: str
    disk: Disk = field(default_factory=Disk)
    core: FoundingCore | None = None
    """None while the process is down, and on hosts without a disk."""
    known_disks: dict[str, str] = field(default_factory=dict)
    starts: int = 0
    is_up: bool = False
    frozen_until_s: float = 0.0
    synced_s: float = 0.0
    """Time of the last pending sync of the disk."""
    lost_until_s: float = 0.0
    """Time until which the host counts as lost; infinite after a removal."""
    knows_leader: bool = False

    @property
    def own(self) -> pb.Member:
        """The host's member on the present disk."""
        return pb.Member(
            id=f"{self.name}-{self.disk.incarnation}",
            address=self.name,
            availability_zone=self.zone,
            incarnation=str(self.disk.incarnation),
        )


class FirstStart:
    """Hosts at the first start of a deployment."""

    def __init__(self, seed: int) -> None:
        self.random = random = Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.tolerated_losses = random.choice((1, 1, 2))
        fewest = 2 * self.tolerated_losses + 1
        disks = random.choice((fewest, random.randrange(fewest, 12)))
        self.has_spare = disks > fewest
        # Two halves that can each found a group know of each other through a relay.
        relays = random.randrange(disks >= 2 * fewest, 4)
        self.nodes = {
            name: Node(name, name[0] == "h", f"z{random.randrange(3)}")
            for name in [
                *(f"h{n}" for n in range(disks)),
                *(f"r{n}" for n in range(relays)),
            ]
        }
        self.disks = [n for n in self.nodes.values() if n.has_disk]
        self.seeds = random.sample([n.name for n in self.disks], 3)
        self.absent_seeds = 0
        if random.random() < 0.15:
            self.seeds[random.randrange(3)] = "absent"
            self.absent_seeds = 1
        elif relays and random.random() < 0.2:
            self.seeds[random.randrange(3)] = "r0"
        self.losses_left = self.tolerated_losses - self.absent_seeds
        self.disks_lost = 0
        self.loss_share = random.choice((0.0, 0.0, 0.2, 0.5))
        self.loss_until_s = random.uniform(0.5, 6.0) if self.loss_share else 0.0
        """Time until which messages are lost."""
        self.last_fault_s = self.loss_until_s
        self.halves: tuple[float, frozenset[str]] = (0.0, frozenset())
        """Time until which the hosts with a disk are split, and those of one half."""
        self.cut_until_s: dict[str, float] = {}
        self.unreached: set[str] = set()
        """Hosts that messages do not reach until `unreached_until_s`."""
        self.unreached_until_s = 0.0
        self.started: set[str] = set()
        """Values with which any host has ever started a group."""
        self.accepted_s: float | None = None
        self.log: list[str] = []

    def run(self) -> list[str]:
        """Run the first start; return what is wrong."""
        for node in self.nodes.values():
            self.at(self.random.uniform(0, 0.3), lambda n=node: self.start(n, True))
        if self.random.random() < 0.3:
            begin_s = self.random.choice((0.0, self.random.uniform(0, 8)))
            self.at(begin_s, self._split)
        for _ in range(self.random.randrange(1, 5)):
            self.at(self.random.uniform(0, FAULTS_UNTIL_S), self._start_fault)
        self.at(0, self._check_group)
        while self.events and self.now < self._end_s():
            self.now, _, action = heapq.heappop(self.events)
            action()
        wrong = []
        if len(self.started) > 1:
            wrong.append(f"{len(self.started)} groups: {sorted(self.started)}")
        if self.accepted_s is None:
            wrong.append("no group accepts")
        return wrong

    def _end_s(self) -> float:
        return max(self.last_fault_s, FAULTS_UNTIL_S) + CONFIRMED_AFTER_S

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay_s, self.event_count, action))

    def run_on(self, node: Node, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action in the present process of a node, later if it is frozen."""
        start = node.starts

        def run() -> None:
            if node.starts != start or not node.is_up:
                return
            if self.now < node.frozen_until_s:
                self.at(node.frozen_until_s - self.now + self._delay(), run)
            else:
                action()

        self.at(delay_s, run)

    def reaches(self, a: str, b: str) -> bool:
        """Return whether messages between two nodes pass now."""
        if max(self.cut_until_s.get(a, 0), self.cut_until_s.get(b, 0)) > self.now:
            return False
        until_s, half = self.halves
        both = self.nodes[a].has_disk and self.nodes[b].has_disk
        return self.now >= until_s or not both or (a in half) == (b in half)

    def send(self, sender: str, receiver: str, action: Callable[[], None]) -> None:
        """Deliver a message, once or twice, unless the nodes can't reach each other."""
        node = self.nodes.get(receiver)
        if node is None:
            return
        if self.now < self.unreached_until_s and receiver in self.unreached:
            return

        def deliver() -> None:
            if self.reaches(sender, receiver):
                self.run_on(node, 0, action)

        for _ in range(1 + (self.random.random() < 0.05)):
            if self.now < self.loss_until_s and self.random.random() < self.loss_share:
                continue
            self.at(self._delay(), deliver)

    def _delay(self) -> float:
        return 0.001 + self.random.random() ** 6 * 0.4

    # Processes

    def start(self, node: Node, is_first_start: bool) -> None:
        """Start a node's process, which opens its disk a little later."""
        node.starts += 1
        node.is_up = True
        node.knows_leader = False
        node.known_disks = {}
        node.core = None
        if node.has_disk:
            self.run_on(node, self._delay(), lambda: self._open(node, is_first_start))
        self.run_on(node, 0.1, lambda: self._send_digests(node))

    def _open(self, node: Node, is_first_start: bool) -> None:
        disk = node.disk
        has_group = bool(disk.started)
        if disk.vote is None and is_first_start and not has_group:
            disk.vote = Vote().to_bytes()
        options = FoundingOptions(
            node.name,
            node.own,
            tuple(self.seeds),
            self.tolerated_losses,
            may_vote=disk.vote is not None and not has_group,
        )
        vote = decode_vote(disk.vote) if disk.vote is not None else Vote()
        node.core = FoundingCore(options, vote, self.random)
        if has_group:
            node.core.on_started()
        self._tick(node)

    def _tick(self, node: Node) -> None:
        self.run_on(node, TICK_S, lambda: self._tick(node))
        assert node.core is not None
        node.core.tick(self.now)
        self._process(node)

    def _process(self, node: Node, respond: Callable[[], None] | None = None) -> None:
        """Sync the vote if it has changed, and let the output take effect then."""
        core = node.core
        assert core is not None
        ready, stored = core.take_ready(), core.vote.to_bytes()
        delay_s = 0.0
        if stored != node.disk.vote and (core.vote != Vote() or node.disk.vote):
            delay_s = 0.001 + self.random.random() ** 4 * 0.2
        node.synced_s = max(node.synced_s, self.now + delay_s)

        for receiver, ballot in ready.ballots:
            if not ballot.value:
                self._call(node, receiver, ballot)

        def take_effect() -> None:
            if core.vote != Vote() or node.disk.vote is not None:
                node.disk.vote = stored
            if respond is not None:
                respond()
            if any(ballot.value for _, ballot in ready.ballots):
                self._tempt_fate(node, node)
                if self.random.random() < 0.15:
                    self._leave_one_acceptor(node)
            for receiver, ballot in ready.ballots:
                if ballot.value:
                    self._call(node, receiver, ballot)
            for receiver, order in ready.orders:
                self._order(node, receiver, order)
            if ready.start and not node.disk.started:
                self._start_member(node)

        if delay_s or node.synced_s > self.now:
            self.run_on(node, node.synced_s - self.now, take_effect)
        else:
            take_effect()

    def _start_member(self, node: Node) -> None:
        def started() -> None:
            assert node.core is not None
            if not node.disk.started:
                node.disk.started = node.core.vote.agreed
                self.started.add(node.disk.started)
                self.log.append(f"{self.now:.2f} {node.own.id} starts")
            node.core.on_started()

        self.run_on(node, 0.005 + self.random.random() ** 4 * 0.3, started)

    def _call(self, caller: Node, receiver: str, ballot: Ballot) -> None:
        asked_s, start = self.now, caller.starts

        def on_answer(answer: Answer) -> None:
            if caller.core is None or self.now - asked_s > CALL_TIMEOUT_S:
                return
            if caller.starts == start:
                caller.core.on_answer(receiver, ballot, answer, self.now)
                self._process(caller)

        def serve() -> None:
            callee = self.nodes[receiver]
            if not callee.has_disk:
                answer = Answer(False, Vote(), dict(callee.known_disks))
                self.send(receiver, caller.name, lambda: on_answer(answer))
            elif callee.core is not None:
                answer = callee.core.on_ballot(ballot, self.now)
                if answer.granted and ballot.value:
                    self._tempt_fate(callee, caller)
                self._process(
                    callee,
                    lambda: self.send(receiver, caller.name, lambda: on_answer(answer)),
                )

        self.send(caller.name, receiver, serve)

    def _order(self, sender: Node, receiver: str, order: Order) -> None:
        def serve() -> None:
            callee = self.nodes[receiver]
            if callee.core is not None:
                callee.core.on_order(order, self.now)
                self._process(callee)

        self.send(sender.name, receiver, serve)

    def _send_digests(self, node: Node) -> None:
        self.run_on(node, DIGEST_INTERVAL_S, lambda: self._send_digests(node))
        core, own, may_vote = node.core, None, False
        if core is not None:
            may_vote = core.options.may_vote or core.has_started
            own = None if core.has_started else node.own
        is_open = core is not None
        leader = node.knows_leader
        for other in self.nodes.values():
            if other is not node:
                self.send(
                    node.name,
                    other.name,
                    lambda o=other: self._on_digest(
                        o, node, is_open, own, may_vote, leader
                    ),
                )

    def _on_digest(
        self,
        node: Node,
        sender: Node,
        is_open: bool,
        member: pb.Member | None,
        may_vote: bool,
        leader: bool,
    ) -> None:
        if is_open and may_vote:
            node.known_disks[sender.name] = sender.name
        core = node.core
        if core is None:
            return
        if is_open:
            core.on_report(sender.name, sender.name, member, may_vote=may_vote)
        elif not sender.has_disk:
            core.add_witnesses([sender.name])
        if leader:
            core.on_group_known()

    # The group

    def _check_group(self) -> None:
        """Let the started members of a majority elect a leader, and tell the others."""
        self.at(GROUP_CHECK_S, self._check_group)
        for value in self.started:
            founding = decode_value(value)
            assert isinstance(founding, FirstMembers)
            ids = {m.id for m in founding.members}
            if len(ids) <= 2 * self.tolerated_losses:
                continue
            present = [
                n
                for n in self.disks
                if n.is_up and self.now >= n.frozen_until_s and n.own.id in ids
            ]
            started = [n for n in present if n.disk.started == value]
            for node in started:
                peers = [n for n in started if n is node or self._linked(n, node)]
                if 2 * len(peers) <= len(ids):
                    continue
                if self.accepted_s is None:
                    self.accepted_s = self.now
                    self.log.append(f"{self.now:.2f} accepts")
                node.knows_leader = True
                if node.core is not None:
                    node.core.on_group_known()
                for other in present:
                    if other not in started and other.core is not None:
                        self._order(node, other.name, Order(value))

    def _linked(self, a: Node, b: Node) -> bool:
        return self.reaches(a.name, b.name)

    # Faults

    def _leave_one_acceptor(self, proposer: Node) -> None:
        """Let one host accept a value, which then forgets it if a fault makes it."""
        others = [n for n in self.disks if n is not proposer]
        acceptor = self.random.choice(others)
        self.unreached = {n.name for n in others if n is not acceptor}
        self.unreached_until_s = self.now + 1.0
        self.last_fault_s = max(self.last_fault_s, self.unreached_until_s)
        self.at(self.random.uniform(0.05, 0.5), lambda: self._split(proposer))
        delay_s = self.random.uniform(0.1, 0.6)
        self.at(delay_s, lambda: self._start_fault(acceptor, RETURNS))

    def _split(self, first: Node | None = None) -> None:
        if self.now > FAULTS_UNTIL_S or self.now < self.halves[0]:
            return
        names = [n.name for n in self.disks]
        self.random.shuffle(names)
        if first is not None:
            names.sort(key=lambda name: name != first.name)
        half = frozenset(names[: len(names) // 2])
        length_s = self.random.uniform(1.0, 6.0)
        self.halves = (self.now + length_s, half)
        self.last_fault_s = max(self.last_fault_s, self.now + length_s)
        self.log.append(f"{self.now:.2f} split {sorted(half)} for {length_s:.2f}")

    def _tempt_fate(self, node: Node, proposer: Node) -> None:
        """Perhaps begin faults, as a node proposes a value or accepts one."""
        kind = self.random.random()
        if kind < 0.25:
            delay_s = self.random.random() ** 2 * 0.5
            self.at(delay_s, lambda: self._start_fault(node))
        if 0.05 < kind < 0.3 and not self.halves[1]:
            delay_s = self.random.random() ** 2 * 0.1
            self.at(delay_s, lambda: self._split(proposer))

    def _start_fault(
        self, target: Node | None = None, faults: Sequence[Fault] = tuple(Fault)
    ) -> None:
        lost = [n for n in self.disks if n.lost_until_s > self.now]
        free = [n for n in self.disks if n.lost_until_s <= self.now and n.is_up]
        if len(lost) >= self.losses_left or not free:
            return
        node = target or self.random.choice(free)
        if node not in free:
            return
        if node.core is None and self.random.random() < 0.7:
            return
        fault = self.random.choice(faults)
        if fault in LOSES_DISK and self.disks_lost >= self.losses_left:
            return
        if fault is Fault.REMOVED and not self.has_spare:
            return
        length_s = self.random.choice((1.0, self.random.uniform(0.3, 6.0)))
        self.log.append(f"{self.now:.2f} {node.name} {fault.value}, {length_s:.2f} s")
        self.last_fault_s = max(self.last_fault_s, self.now + length_s)
        node.lost_until_s = self.now + length_s + CATCH_UP_S
        if fault is Fault.FROZEN:
            node.frozen_until_s = self.now + length_s
            return
        if fault is Fault.CUT_OFF:
            self.cut_until_s[node.name] = self.now + length_s
            return
        node.is_up = False
        node.starts += 1
        node.core = None
        node.synced_s = 0.0
        if fault in LOSES_DISK:
            self.disks_lost += 1
            node.disk = Disk(incarnation=node.disk.incarnation + 1)
        if fault is Fault.REMOVED:
            self.last_fault_s = max(self.last_fault_s, self.now)
            node.lost_until_s = float("inf")
            return
        has_vote = node.disk.vote is not None
        if fault is Fault.WIPED or (fault is Fault.RESTARTED_LATER and not has_vote):
            # It has no vote any more until the group exists.
            node.lost_until_s = float("inf")
        is_first = fault is Fault.RESTARTED
        self.at(length_s, lambda: self.start(node, is_first))


def failures(seeds: Iterable[int]) -> list[str]:
    """Run first starts; return a text for each one without exactly one group."""
    found = []
    for seed in seeds:
        run = FirstStart(seed)
        wrong = run.run()
        if wrong:
            found.append(f"seed {seed}: {'; '.join(wrong)}; {run.log}")
    return found


if __name__ == "__main__":
    first, _, last = sys.argv[1].partition("-")
    for failure in failures(range(int(first), int(last or first) + 1)):
        print(failure)
