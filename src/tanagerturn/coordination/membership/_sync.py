"""Comparison of the whole table with a peer, page by page."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.schema import membership_pb2 as mpb

if TYPE_CHECKING:
    from random import Random

    from tanagerturn.coordination.membership._sender import Sender


class TableSync:
    """Reads the table of a peer, and answers such reads of peers.

    Args:
        sender: Packets, table and byte budget of this process.
        random: Source of the jitter between comparisons.
    """

    def __init__(self, sender: Sender, random: Random) -> None:
        self.sender = sender
        """Packets, table and byte budget of this process."""
        self.random = random
        """Source of the jitter."""
        self.target = ""
        """Address of the peer whose table is being read; empty when none is."""
        self.last_process = ""
        """Last process id of the last received page; empty before the first page."""
        self.next_sync_ms = 0
        """Time in milliseconds of the next comparison; an unfinished one ends then."""

    def due(self, now_ms: int) -> bool:
        """Whether a comparison is due."""
        return not self.target and now_ms >= self.next_sync_ms

    def start(self, address: str, now_ms: int) -> None:
        """Start to read the table of the process at an address."""
        self.target = address
        self.last_process = ""
        jitter = self.random.uniform(0.8, 1.2)
        interval_ms = self.sender.config.sync_interval_ms
        self.next_sync_ms = now_ms + round(interval_ms * jitter)

    def advance(self, now_ms: int) -> None:
        """Request the next page, if the byte budget allows it."""
        if now_ms >= self.next_sync_ms:
            self.target = ""
        if not self.target or self.sender.budget.available <= 0:
            return
        request = mpb.SyncRequest(
            after_process=self.last_process, digest=self.sender.table.digest()
        )
        self.sender.send(self.target, mpb.Packet(sync_request=request))

    def on_request(self, request: mpb.SyncRequest, address: str) -> None:
        """Answer with a page, or with an empty reply when the tables are equal."""
        if request.digest == self.sender.table.digest():
            equal = mpb.SyncReply(last=True)
            self.sender.send(address, mpb.Packet(sync_reply=equal))
        elif self.sender.budget.available > 0:
            self.sender.send_page(address, request.after_process)

    def on_reply(self, reply: mpb.SyncReply, address: str) -> None:
        """Record a page, whose updates were applied before."""
        if address != self.target:
            return
        self.last_process = reply.last_process
        if reply.last:
            self.target = ""
