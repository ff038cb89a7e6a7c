"""Fills packets with gossip, within the packet limit and the byte budget."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.ids import ProcessId
from tanagerturn.coordination.membership.codec import CODE_BYTES
from tanagerturn.coordination.membership.config import PACKET_LIMIT_BYTES
from tanagerturn.coordination.membership.gossip import (
    UPDATE_OVERHEAD_BYTES,
    ByteBudget,
    GossipQueue,
)
from tanagerturn.coordination.membership.table import MemberTable
from tanagerturn.schema import membership_pb2 as mpb

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.coordination.membership.config import MembershipConfig
    from tanagerturn.coordination.membership.table import Member

DATAGRAM_OVERHEAD_BYTES: Final = 28
"""IP and UDP headers of one datagram."""


@dataclass(frozen=True)
class Datagram:
    """A packet to an address."""

    address: str
    packet: mpb.Packet


class Sender:
    """The packets of one process, its table and its gossip.

    Args:
        me: This process.
        config: What tunes failure detection.
    """

    def __init__(self, me: Member, config: MembershipConfig) -> None:
        self.me = me
        """This process."""
        self.config = config
        """What tunes failure detection."""
        self.table = MemberTable()
        """All processes that are remembered."""
        self.table.members[me.process] = me
        self.table.present_count = 1
        self.near = GossipQueue()
        """Updates for processes of this region."""
        self.far = GossipQueue()
        """Updates on this region for other regions."""
        self.budget = ByteBudget(config.budget_bytes_per_s)
        """Bytes that may be sent."""
        self.settings_number = 0
        """Number of the settings revision that this process has."""
        self.out: list[Datagram] = []
        """Packets that were not taken yet."""
        self.packets_sent = 0
        self.bytes_sent = 0
        self.gossip(me)

    def gossip(self, member: Member) -> None:
        """Let the state of a process ride on the next packets."""
        self.near.add(member.process)
        if member.info.region == self.me.info.region:
            self.far.add(member.process)

    def send(
        self,
        address: str,
        packet: mpb.Packet,
        first: Sequence[Member] = (),
        region: str = "",
    ) -> None:
        """Send a packet, filled up with gossip.

        Args:
            address: Where it goes.
            packet: The packet with its kind.
            first: Processes whose state has to ride on it.
            region: Region of the receiver; empty for this one.
        """
        self._stamp(packet)
        packet.updates.extend(member.update(with_info=True) for member in first)
        size = packet.ByteSize() + CODE_BYTES
        room = min(PACKET_LIMIT_BYTES - size, int(self.budget.left))
        far = region not in ("", self.me.info.region)
        queue = self.far if far else self.near
        copies = self.config.copies_for(self.table.present_count)
        packet.updates.extend(queue.take(room, copies, self._update))
        self._put(address, packet)

    def send_page(self, address: str, after_process: str) -> None:
        """Send a page of the table, after a process in order."""
        packet = mpb.Packet(sync_reply=mpb.SyncReply(last=True))
        self._stamp(packet)
        room = PACKET_LIMIT_BYTES - CODE_BYTES - packet.ByteSize() - 80
        reply = packet.sync_reply
        names = self.table.members.irange(
            minimum=ProcessId(after_process), inclusive=(False, False)
        )
        for name in names:
            update = self.table.members[name].update(with_info=True)
            room -= update.ByteSize() + UPDATE_OVERHEAD_BYTES
            if room < 0:
                reply.last = False
                break
            packet.updates.append(update)
            reply.last_process = name
        self._put(address, packet)

    def take(self) -> list[Datagram]:
        """Return and forget the packets to send."""
        out, self.out = self.out, []
        return out

    def counters(self) -> dict[str, object]:
        """Return the counters for a dump."""
        return {
            "packets_sent": self.packets_sent,
            "bytes_sent": self.bytes_sent,
            "gossip_waiting": len(self.near) + len(self.far),
        }

    def _stamp(self, packet: mpb.Packet) -> None:
        packet.cluster = self.config.cluster
        packet.sender = self.me.process
        packet.incarnation = self.me.incarnation
        packet.settings_number = self.settings_number

    def _update(self, process: str) -> mpb.Update | None:
        member = self.table.get(process)
        if member is None:
            return None
        # A process that is gone is known by name where it matters.
        with_info = member.health in (mpb.ALIVE, mpb.LEFT)
        return member.update(with_info)

    def _put(self, address: str, packet: mpb.Packet) -> None:
        size = packet.ByteSize() + CODE_BYTES + DATAGRAM_OVERHEAD_BYTES
        self.budget.spend(size)
        self.packets_sent += 1
        self.bytes_sent += size
        self.out.append(Datagram(address, packet))
