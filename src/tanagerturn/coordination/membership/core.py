"""Failure detection performed by one process, without I/O.

The caller passes ticks and received packets with the monotonic time in milliseconds,
and sends the packets that are returned.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.coordination.membership._sender import Datagram, Sender
from tanagerturn.coordination.membership._sync import TableSync
from tanagerturn.coordination.membership._view import describe
from tanagerturn.coordination.membership.events import MemberEvent, PeerSettings
from tanagerturn.coordination.membership.links import RegionLinks
from tanagerturn.coordination.membership.probes import (
    Probe,
    ProbeOrder,
    RelayedProbe,
    RelayedProbes,
    choose_helpers,
)
from tanagerturn.coordination.membership.table import LinkState, Member
from tanagerturn.schema import membership_pb2 as mpb

if TYPE_CHECKING:
    from random import Random

    from tanagerturn.coordination.ids import ProcessId
    from tanagerturn.coordination.membership.config import MembershipConfig


class MembershipCore:
    """Failure detection performed by one process.

    Args:
        process: Id of this process.
        info: Address, location and program that this process announces.
        incarnation: Incarnation number of this start, larger than at any earlier
            start, for example the wall-clock time in milliseconds.
        config: Timeouts, intervals and limits of failure detection.
        random: Source of all random choices.
    """

    def __init__(
        self,
        process: ProcessId,
        info: mpb.ProcessInfo,
        incarnation: int,
        config: MembershipConfig,
        random: Random,
    ) -> None:
        self.config = config
        """Timeouts, intervals and limits of failure detection."""
        self.random = random
        """Source of all random choices."""
        self.local_member = Member(process, info, incarnation, mpb.ALIVE, 0)
        """Entry of this process in the member table."""
        self.sender = Sender(self.local_member, config)
        """Builds and counts packets; owns the member table and the gossip."""
        self.table = self.sender.table
        """All processes known to this one, including itself."""
        self.probe_order = ProbeOrder(random)
        """Order in which the processes of this region are probed."""
        self.probe: Probe | None = None
        """Probe of a process of this region that has no response yet, or None."""
        self.relayed_probes = RelayedProbes()
        """Probes sent on behalf of other processes that have no response yet."""
        self.links = RegionLinks(self.local_member, self.table, config, random)
        """Probes of processes in other regions."""
        self.suspects: dict[ProcessId, int] = {}
        """Monotonic time in milliseconds at which a suspect is declared dead, by
        process id."""
        self.sequence = 0
        """Sequence number of the last probe."""
        self.unanswered_since_ms: int | None = None
        """Monotonic time in milliseconds of the first probe after the last response;
        None when no probe was sent since."""
        self.sync = TableSync(self.sender, random)
        """Comparison of the member table with peers."""
        self.last_tick_ms: int | None = None
        self.next_probe_ms = 0
        self.next_seed_ms = 0
        self.leaving = False
        """Whether this process has announced that it leaves."""
        self.duplicate_address = ""
        """IP address and port of another process that uses this one's id; empty when
        none is known."""
        self.events: list[MemberEvent] = []
        """Health changes that the owner has not taken yet."""
        self.peer_settings: list[PeerSettings] = []
        """Newer settings revisions of peers that the owner has not taken yet."""

    def __repr__(self) -> str:
        return (
            f"MembershipCore({self.local_member.process}, "
            f"present={self.table.present_count})"
        )

    def tick(self, now_ms: int) -> list[Datagram]:
        """Run the actions that are due and return the packets to send.

        To be called several times per probe interval.
        """
        self.sender.budget.fill(now_ms)
        self._detect_pause(now_ms)
        self._advance_probe(now_ms)
        if now_ms >= self.next_probe_ms:
            self.next_probe_ms = now_ms + self.config.probe_interval_ms
            self._start_probe(now_ms)
            self._start_region_probe(now_ms)
            self.table.remove_expired(now_ms)
        self._expire_suspicions(now_ms)
        self._ping_missing(now_ms)
        self._compare_tables(now_ms)
        return self.sender.take()

    def receive(self, packet: mpb.Packet, address: str, now_ms: int) -> list[Datagram]:
        """Process an authenticated packet and return the packets to send.

        Args:
            packet: Packet whose HMAC with the cluster's key was correct.
            address: IP address and port of the sender.
            now_ms: Current monotonic time in milliseconds.
        """
        if packet.sender == self.local_member.process:
            self.duplicate_address = (
                address if address != self.local_member.info.address else ""
            )
            return []
        self.sender.budget.fill(now_ms)
        if self.last_tick_ms is not None:
            self._detect_pause(now_ms)
        for update in packet.updates:
            self._apply_update(update, now_ms)
        member = self.table.get(packet.sender)
        if member is not None:
            member.last_packet_at_ms = now_ms
            member.settings_revision_number = packet.settings_number
            if packet.settings_number > self.sender.settings_revision_number:
                peer_settings = PeerSettings(member.process, packet.settings_number)
                self.peer_settings.append(peer_settings)
        elif not self.sync.target_address:
            # The sender is not in the table of this process; read the sender's table.
            self.sync.start(address, now_ms)
        self._handle(packet, address, now_ms)
        return self.sender.take()

    def leave(self) -> list[Datagram]:
        """Return the packets that announce that this process leaves.

        To be called a few times, because packets may be lost.
        """
        self.leaving = True
        self.local_member.health = mpb.LEFT
        alive_peers = [m for m in self._region_peers() if m.health == mpb.ALIVE]
        for member in self.random.sample(alive_peers, min(len(alive_peers), 6)):
            ping = mpb.Ping(sequence=self._next_sequence(), target=member.process)
            self.sender.send(
                member.info.address, mpb.Packet(ping=ping), [self.local_member]
            )
        return self.sender.take()

    def is_isolated(self, now_ms: int) -> bool:
        """Return whether no probe has had a response for three probe intervals.

        False while fewer than three processes are present. An isolated process
        suspects no other process.
        """
        if self.unanswered_since_ms is None or self.table.present_count < 3:
            return False
        silent_ms = now_ms - self.unanswered_since_ms
        return silent_ms > 3 * self.config.probe_interval_ms

    def take_events(self) -> list[MemberEvent]:
        """Return the health changes since the last call and clear them."""
        events, self.events = self.events, []
        return events

    def take_peer_settings(self) -> list[PeerSettings]:
        """Return peers' newer settings revisions since the last call; clear them."""
        newer_settings, self.peer_settings = self.peer_settings, []
        return newer_settings

    def dump(self, now_ms: int) -> dict[str, object]:
        """Return the state of failure detection for a dump."""
        return {
            **describe(self.table, now_ms),
            "incarnation": self.local_member.incarnation,
            "pauses": self.local_member.info.pauses,
            "isolated": self.is_isolated(now_ms),
            "link": self.links.is_link(),
            "separated_regions": self.links.separated_regions(now_ms),
            "duplicate": self.duplicate_address,
            **self.sender.counters(),
        }

    # Probes

    def _region_peers(self) -> list[Member]:
        region = self.local_member.info.region
        return [
            m
            for m in self.table.present_members()
            if m.info.region == region and m is not self.local_member
        ]

    def _next_sequence(self) -> int:
        self.sequence += 1
        return self.sequence

    def _start_probe(self, now_ms: int) -> None:
        target = self.probe_order.next({m.process: m for m in self._region_peers()})
        if target is None:
            return
        self.probe = self._ping(target, now_ms)
        if self.unanswered_since_ms is None:
            self.unanswered_since_ms = now_ms

    def _ping(self, target: Member, now_ms: int) -> Probe:
        sequence = self._next_sequence()
        ping = mpb.Ping(sequence=sequence, target=target.process)
        # The ping tells a suspect or dead target its health, so that it can refute it.
        required = [target] if target.health != mpb.ALIVE else []
        packet = mpb.Packet(ping=ping)
        self.sender.send(target.info.address, packet, required, target.info.region)
        return Probe(target.process, sequence, now_ms)

    def _advance_probe(self, now_ms: int) -> None:
        probe = self.probe
        if probe is None:
            return
        if now_ms >= self.next_probe_ms:
            self.probe = None
            self._on_probe_failed(probe, now_ms)
            return
        waited_ms = now_ms - probe.sent_ms
        if probe.helpers_asked or waited_ms < self.config.probe_timeout_ms:
            return
        probe.helpers_asked = True
        target = self.table.get(probe.target)
        if target is None:
            return
        alive = [m for m in self._region_peers() if m.health == mpb.ALIVE]
        request = mpb.PingRequest(sequence=probe.sequence, target=probe.target)
        count = self.config.helper_count
        for helper in choose_helpers(target, alive, count, self.random):
            packet = mpb.Packet(ping_request=request)
            self.sender.send(helper.info.address, packet, [])

    def _on_probe_failed(self, probe: Probe, now_ms: int) -> None:
        target = self.table.get(probe.target)
        if target is None:
            return
        target.link = LinkState.FAILED
        if target.health != mpb.ALIVE or self.is_isolated(now_ms):
            return
        suspect_update = target.update(with_info=False)
        suspect_update.health = mpb.SUSPECT
        self._apply_update(suspect_update, now_ms)

    def _start_region_probe(self, now_ms: int) -> None:
        target = self.links.next_target(now_ms)
        if target is not None:
            self.links.probe = self._ping(target, now_ms)

    # Packets

    def _handle(self, packet: mpb.Packet, address: str, now_ms: int) -> None:
        kind = packet.WhichOneof("kind")
        if kind == "ping":
            self._on_ping(packet, address, now_ms)
        elif kind == "ping_request":
            self._on_ping_request(packet.ping_request, address)
        elif kind == "ack":
            self._on_ack(packet, address, now_ms)
        elif kind == "sync_request":
            self.sync.on_request(packet.sync_request, address)
        elif kind == "sync_reply":
            self.sync.on_reply(packet.sync_reply, address, now_ms)

    def _on_ping(self, packet: mpb.Packet, address: str, now_ms: int) -> None:
        if packet.ping.target not in ("", self.local_member.process):
            return
        sender = self.table.get(packet.sender)
        required = []
        if not packet.ping.target:
            required.append(self.local_member)
        region = self.local_member.info.region
        if sender is not None:
            region = sender.info.region
            sender.mark_if_one_way(now_ms, 3 * self.config.probe_interval_ms)
            if sender.health != mpb.ALIVE:
                required.append(sender)
        ack = mpb.Ack(sequence=packet.ping.sequence, process=self.local_member.process)
        self.sender.send(address, mpb.Packet(ack=ack), required, region)

    def _on_ping_request(self, request: mpb.PingRequest, address: str) -> None:
        target = self.table.get(request.target)
        if target is None:
            return
        sequence = self._next_sequence()
        self.relayed_probes.add(sequence, RelayedProbe(address, request.sequence))
        ping = mpb.Ping(sequence=sequence, target=request.target)
        self.sender.send(target.info.address, mpb.Packet(ping=ping), [target])

    def _on_ack(self, packet: mpb.Packet, address: str, now_ms: int) -> None:
        ack = packet.ack
        relayed = self.relayed_probes.pop(ack.sequence)
        if relayed is not None:
            answer = mpb.Ack(sequence=relayed.sequence, process=ack.process)
            self.sender.send(relayed.address, mpb.Packet(ack=answer), [])
            return
        self.unanswered_since_ms = None
        if self.probe and self.probe.sequence == ack.sequence:
            self._record_answer(self.probe, packet, now_ms)
            self.probe = None
        elif self.links.probe and self.links.probe.sequence == ack.sequence:
            member = self._record_answer(self.links.probe, packet, now_ms)
            self.links.probe = None
            if member is not None and self.links.on_answer(member, now_ms):
                self.sync.start(member.info.address, now_ms)
        elif self.sync.is_due(now_ms):
            self.sync.start(address, now_ms)

    def _record_answer(
        self, probe: Probe, packet: mpb.Packet, now_ms: int
    ) -> Member | None:
        member = self.table.get(probe.target)
        if member is None or packet.ack.process != probe.target:
            return None
        if packet.sender == probe.target:
            member.link = LinkState.GOOD
            return member
        member.link = LinkState.INDIRECT
        member.mark_if_one_way(now_ms, 3 * self.config.probe_interval_ms)
        return member

    # Health

    def _apply_update(self, update: mpb.Update, now_ms: int) -> None:
        if update.process == self.local_member.process:
            self._refute(update)
            return
        if not self.table.apply(update, now_ms):
            return
        member = self.table.get(update.process)
        if member is None:
            return
        self.sender.queue_gossip(member)
        self.events.append(MemberEvent(member.process, member.health, member.info))
        self.suspects.pop(member.process, None)
        if member.health == mpb.SUSPECT:
            refute_ms = self.config.suspicion_timeout_ms(self.table.present_count)
            self.suspects[member.process] = now_ms + refute_ms

    def _refute(self, update: mpb.Update) -> None:
        if update.health == mpb.ALIVE or self.leaving:
            return
        if update.incarnation >= self.local_member.incarnation:
            self._raise_incarnation(update.incarnation + 1)
            return
        # The sender has not received the earlier refutation; send it again.
        self.sender.queue_gossip(self.local_member)

    def _raise_incarnation(self, incarnation: int) -> None:
        self.local_member.incarnation = incarnation
        self.table.cached_digest = None
        self.sender.queue_gossip(self.local_member)

    def _expire_suspicions(self, now_ms: int) -> None:
        if self.is_isolated(now_ms):
            # Once a process responds, suspects get their full time to refute again.
            refute_ms = self.config.suspicion_timeout_ms(self.table.present_count)
            self.suspects = dict.fromkeys(self.suspects, now_ms + refute_ms)
            return
        region = self.local_member.info.region
        for process, deadline_ms in list(self.suspects.items()):
            member = self.table.get(process)
            if member is None or member.info.region != region:
                # Only processes of the suspect's own region declare it dead.
                del self.suspects[process]
            elif now_ms >= deadline_ms:
                dead_update = member.update(with_info=False)
                dead_update.health = mpb.DEAD
                self._apply_update(dead_update, now_ms)

    def _detect_pause(self, now_ms: int) -> None:
        last_ms, self.last_tick_ms = self.last_tick_ms, now_ms
        if last_ms is None or now_ms - last_ms <= self.config.pause_ms:
            return
        # Responses may have arrived during the pause: drop the probes and suspect
        # none of their targets.
        gap_ms = now_ms - last_ms
        self.probe = None
        self.links.probe = None
        self.unanswered_since_ms = None
        self.suspects = {p: at + gap_ms for p, at in self.suspects.items()}
        self.local_member.info.pauses += 1
        self._raise_incarnation(self.local_member.incarnation + 1)

    # Joining, rejoining and comparing tables

    def _ping_missing(self, now_ms: int) -> None:
        if now_ms < self.next_seed_ms:
            return
        wait_ms = float(self.config.probe_interval_ms)
        if self.table.present_count > 1:
            wait_ms = self.config.seed_interval_ms * self.random.uniform(0.5, 1.5)
        self.next_seed_ms = now_ms + round(wait_ms)
        present = {m.info.address for m in self.table.present_members()}
        seeds = [s for s in self.config.seeds if s not in present]
        if seeds and self.table.present_count > 1:
            seeds = [self.random.choice(seeds)]  # without any peer, ping all seeds
        for seed in seeds:
            ping = mpb.Ping(sequence=self._next_sequence())
            packet = mpb.Packet(ping=ping)
            self.sender.send(seed, packet, [self.local_member])
        dead = [m for m in self.table.members.values() if m.health == mpb.DEAD]
        # All present processes together ping each dead process about three times per
        # interval.
        if self.random.random() * self.table.present_count < 3 * len(dead):
            self._ping(self.random.choice(dead), now_ms)

    def _compare_tables(self, now_ms: int) -> None:
        if self.sync.is_due(now_ms):
            alive_peers = [m for m in self._region_peers() if m.health == mpb.ALIVE]
            if alive_peers:
                self.sync.start(self.random.choice(alive_peers).info.address, now_ms)
        self.sync.advance(now_ms)
