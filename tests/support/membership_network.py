"""Membership cores on a simulated network with a seeded random source."""

from __future__ import annotations

import heapq
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

from tanagerturn.coordination.membership.codec import encode_datagram
from tanagerturn.coordination.membership.config import MembershipConfig
from tanagerturn.coordination.membership.core import MembershipCore
from tanagerturn.schema import membership_pb2 as mpb

if TYPE_CHECKING:
    from collections.abc import Callable

NEAR_DELAY_MS = (1, 5)
FAR_DELAY_MS = (20, 40)


def address_of(name: str) -> str:
    """Return the fake address of a process."""
    return f"ip:{name}"


class Node:
    """A process, with the packets that arrive while it is paused."""

    def __init__(self, core: MembershipCore) -> None:
        self.core = core
        self.running = True
        self.paused = False
        self.waiting: list[tuple[mpb.Packet, str]] = []
        self.bytes_at: dict[int, int] = {}
        self.deaths: list[str] = []


class Network:
    """Processes in zones and regions, with loss, delay, duplicates and blocked paths.

    Args:
        seed: Seed of all random choices.
        zones: Zone names by region; processes are assigned to them in turn.
        config: Configuration of the processes; the default one when None.
        tick_ms: Interval between ticks in milliseconds.
    """

    def __init__(
        self,
        seed: int,
        zones: dict[str, list[str]],
        config: MembershipConfig | None = None,
        tick_ms: int = 100,
    ) -> None:
        self.random = Random(seed)
        self.zone_assignments = [
            (z, region) for region, names in zones.items() for z in names
        ]
        self.config = config or MembershipConfig("test")
        self.tick_ms = tick_ms
        self.now = 0
        self.nodes: dict[str, Node] = {}
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.counter = 0
        self.loss = 0.0
        self.duplicates = 0.0
        self.blocked: Callable[[str, str], bool] = lambda a, b: False
        self.starts = 0
        self.packets = 0
        self.measure = False

    def start(self, count: int, seeds: int = 2) -> None:
        """Start `count` processes that join through the first `seeds` ones."""
        names = [f"entry-{n}" for n in range(count)]
        addresses = tuple(address_of(name) for name in names[:seeds])
        self.config = replace(self.config, seeds=addresses)
        for name in names:
            self.start_one(name)

    def start_one(self, name: str) -> Node:
        """Start a process, or restart it without its state."""
        position = int(name.split("-")[1]) % len(self.zone_assignments)
        zone, region = self.zone_assignments[position]
        info = mpb.ProcessInfo(
            address=address_of(name),
            region=region,
            availability_zone=zone,
            program="entry",
            relay_address="10.0.0.10:7400",
        )
        self.starts += 1
        incarnation = 1_790_000_000_000 + self.now + self.starts
        core = MembershipCore(
            name, info, incarnation, self.config, Random(self.random.random())
        )
        node = Node(core)
        self.nodes[name] = node
        self.at(self.now + self.random.randrange(self.tick_ms), lambda: self.tick(node))
        return node

    def know_all(self) -> None:
        """Make all processes known to each other, as after a long time."""
        for node in self.nodes.values():
            for other in self.nodes.values():
                node.core.table.apply(other.core.local_member.update(True), self.now)

    def at(self, time_ms: int, act: Callable[[], None]) -> None:
        """Schedule an event."""
        self.counter += 1
        heapq.heappush(self.events, (time_ms, self.counter, act))

    def run(self, length_ms: int) -> None:
        """Advance the time."""
        end = self.now + length_ms
        while self.events and self.events[0][0] <= end:
            self.now, _, act = heapq.heappop(self.events)
            act()
        self.now = end

    def tick(self, node: Node) -> None:
        """Run due actions of a process."""
        if not node.running:
            return
        self.at(self.now + self.tick_ms, lambda: self.tick(node))
        if node.paused:
            return
        while node.waiting:
            packet, address = node.waiting.pop(0)
            self.send_datagrams(node, node.core.receive(packet, address, self.now))
        self.send_datagrams(node, node.core.tick(self.now))
        for event in node.core.take_events():
            if event.health == mpb.DEAD:
                node.deaths.append(event.process)

    def send_datagrams(self, node: Node, datagrams: list) -> None:
        """Send datagrams."""
        source = node.core.local_member.process
        for datagram in datagrams:
            size = (
                len(encode_datagram(datagram.packet, b"k" * 16)) if self.measure else 0
            )
            assert size <= 1200, size
            second = self.now // 1000
            node.bytes_at[second] = node.bytes_at.get(second, 0) + size + 28
            self.packets += 1
            target = datagram.address.removeprefix("ip:")
            copies = 1 + (self.random.random() < self.duplicates)
            for _ in range(copies):
                self.send_packet(source, target, datagram.packet)

    def send_packet(self, source: str, target: str, packet: mpb.Packet) -> None:
        """Schedule the delivery of a packet, unless it is lost."""
        if self.blocked(source, target) or self.random.random() < self.loss:
            return
        node = self.nodes.get(target)
        if node is None:
            return
        far = self.region(source) != self.region(target)
        delay = self.random.randint(*(FAR_DELAY_MS if far else NEAR_DELAY_MS))
        if self.random.random() < self.loss:
            delay += self.random.randrange(2000)
        self.at(self.now + delay, lambda: self.deliver(target, source, packet))

    def deliver(self, target: str, source: str, packet: mpb.Packet) -> None:
        """Deliver a packet; a paused process receives it later."""
        node = self.nodes[target]
        if not node.running:
            return
        if node.paused:
            node.waiting.append((packet, address_of(source)))
            return
        datagrams = node.core.receive(packet, address_of(source), self.now)
        self.send_datagrams(node, datagrams)

    def region(self, name: str) -> str:
        """Return the region of a process."""
        return self.nodes[name].core.local_member.info.region

    def zone(self, name: str) -> str:
        """Return the zone of a process."""
        return self.nodes[name].core.local_member.info.availability_zone

    def kill(self, name: str) -> None:
        """Crash a process."""
        self.nodes[name].running = False

    def leave(self, name: str) -> None:
        """Make a process leave and stop."""
        node = self.nodes[name]
        for _ in range(3):
            self.send_datagrams(node, node.core.leave())
        node.running = False

    def health_seen_by(self, viewer: str, name: str) -> str:
        """Return the health of a process as known by another, or "ABSENT"."""
        member = self.nodes[viewer].core.table.get(name)
        return mpb.Health.Name(member.health) if member else "ABSENT"

    def running(self) -> list[str]:
        """Return the running processes."""
        return [name for name, node in self.nodes.items() if node.running]

    def disagreements(self) -> list[tuple[str, str, str]]:
        """Return viewer, process and health of each wrong entry in a table."""
        wrong = []
        for viewer in self.running():
            for name, node in self.nodes.items():
                health_seen_by = self.health_seen_by(viewer, name)
                right = ("ALIVE",) if node.running else ("DEAD", "LEFT", "ABSENT")
                if health_seen_by not in right:
                    wrong.append((viewer, name, health_seen_by))
        return wrong

    def deaths(self) -> set[str]:
        """Return the processes that any running process has declared dead."""
        return {d for name in self.running() for d in self.nodes[name].deaths}
