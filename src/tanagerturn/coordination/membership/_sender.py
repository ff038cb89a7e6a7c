"""Fills packets with gossip, within the packet size limit and the byte budget."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.coordination.ids import ProcessId
from tanagerturn.coordination.membership.codec import HMAC_BYTES
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
"""Size of the IPv4 and UDP headers of one datagram, in bytes."""


@dataclass(frozen=True)
class Datagram:
    """A packet, and the IP address and port of its receiver."""

    address: str
    packet: mpb.Packet


class Sender:
    """Builds and counts the packets of one process; owns its member table and gossip.

    Args:
        local_member: Entry of this process in the member table.
        config: Timeouts, intervals and limits of failure detection.
    """

    def __init__(self, local_member: Member, config: MembershipConfig) -> None:
        self.local_member = local_member
        """Entry of this process in the member table."""
        self.config = config
        """Timeouts, intervals and limits of failure detection."""
        self.table = MemberTable()
        """All processes known to this one, including itself."""
        self.table.members[local_member.process] = local_member
        self.table.present_count = 1
        self.region_queue = GossipQueue()
        """Processes whose updates are to be sent within this region."""
        self.other_regions_queue = GossipQueue()
        """Processes of this region whose updates are to be sent to other regions."""
        self.budget = ByteBudget(config.budget_bytes_per_s)
        """Token bucket of the bytes that may be sent."""
        self.settings_revision_number = 0
        """Number of this process's settings revision in force; 0 before the first."""
        self.outgoing: list[Datagram] = []
        """Packets that the owner has not taken yet, oldest first."""
        self.packets_sent = 0
        self.bytes_sent = 0
        self.queue_gossip(local_member)

    def queue_gossip(self, member: Member) -> None:
        """Queue the state of a process to be piggybacked on the next packets."""
        self.region_queue.add(member.process)
        if member.info.region == self.local_member.info.region:
            self.other_regions_queue.add(member.process)

    def send(
        self,
        address: str,
        packet: mpb.Packet,
        required: Sequence[Member] = (),
        region: str = "",
    ) -> None:
        """Queue a packet; gossip fills the free bytes within limit and budget.

        Args:
            address: IP address and port of the receiver.
            packet: Packet with its kind set; header and updates are added.
            required: Processes whose state must be in the packet.
            region: Region of the receiver; empty for the region of this process.
        """
        self._set_header(packet)
        packet.updates.extend(member.update(with_info=True) for member in required)
        size = packet.ByteSize() + HMAC_BYTES
        free_bytes = min(PACKET_LIMIT_BYTES - size, int(self.budget.available_bytes))
        is_other_region = region not in ("", self.local_member.info.region)
        queue = self.other_regions_queue if is_other_region else self.region_queue
        max_sends = self.config.update_send_count(self.table.present_count)
        packet.updates.extend(queue.take(free_bytes, max_sends, self._make_update))
        self._enqueue(address, packet)

    def send_page(self, address: str, after_process: str) -> None:
        """Queue a reply with the page of the member table that follows a process id.

        Args:
            address: IP address and port of the receiver.
            after_process: Process id before the page; empty for the first page.
        """
        packet = mpb.Packet(sync_reply=mpb.SyncReply(last=True))
        self._set_header(packet)
        free_bytes = PACKET_LIMIT_BYTES - HMAC_BYTES - packet.ByteSize() - 80
        reply = packet.sync_reply
        names = self.table.members.irange(
            minimum=ProcessId(after_process), inclusive=(False, False)
        )
        for name in names:
            update = self.table.members[name].update(with_info=True)
            free_bytes -= update.ByteSize() + UPDATE_OVERHEAD_BYTES
            if free_bytes < 0:
                reply.last = False
                break
            packet.updates.append(update)
            reply.last_process = name
        self._enqueue(address, packet)

    def take(self) -> list[Datagram]:
        """Return the queued packets and clear the queue."""
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    def counters(self) -> dict[str, object]:
        """Return the numbers of packets, bytes and queued updates for a dump."""
        return {
            "packets_sent": self.packets_sent,
            "bytes_sent": self.bytes_sent,
            "gossip_waiting": len(self.region_queue) + len(self.other_regions_queue),
        }

    def _set_header(self, packet: mpb.Packet) -> None:
        packet.cluster = self.config.cluster
        packet.sender = self.local_member.process
        packet.incarnation = self.local_member.incarnation
        packet.settings_number = self.settings_revision_number

    def _make_update(self, process: str) -> mpb.Update | None:
        member = self.table.get(process)
        if member is None:
            return None
        # Receivers that need the health of a suspect or dead process know its info,
        # so it is omitted.
        with_info = member.health in (mpb.ALIVE, mpb.LEFT)
        return member.update(with_info)

    def _enqueue(self, address: str, packet: mpb.Packet) -> None:
        size = packet.ByteSize() + HMAC_BYTES + DATAGRAM_OVERHEAD_BYTES
        self.budget.spend(size)
        self.packets_sent += 1
        self.bytes_sent += size
        self.outgoing.append(Datagram(address, packet))
