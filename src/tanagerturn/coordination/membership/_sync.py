"""Comparison of the whole table with another process, page by page."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.schema import membership_pb2 as mpb

if TYPE_CHECKING:
    from random import Random

    from tanagerturn.coordination.membership._sender import Sender


class TableSync:
    """Reads another process's table, and answers others' reads.

    Args:
        sender: Packets, table and byte budget of this process.
        random: Source of the jitter between comparisons.
    """

    def __init__(self, sender: Sender, random: Random) -> None:
        self.sender = sender
        """Packets, table and byte budget."""
        self.random = random
        """Source of the jitter."""
        self.target = ""
        """Address whose pages are being read; empty when none."""
        self.after = ""
        """Last process of the last page."""
        self.next_ms = 0
        """When the next comparison is due, and an open one is given up."""

    def due(self, now_ms: int) -> bool:
        """Tell whether a comparison is to be started."""
        return not self.target and now_ms >= self.next_ms

    def start(self, address: str, now_ms: int) -> None:
        """Start to read the table of the process at an address."""
        self.target = address
        self.after = ""
        jitter = self.random.uniform(0.8, 1.2)
        interval_ms = self.sender.config.sync_interval_ms
        self.next_ms = now_ms + round(interval_ms * jitter)

    def advance(self, now_ms: int) -> None:
        """Ask for the next page, as far as the byte budget goes."""
        if now_ms >= self.next_ms:
            self.target = ""
        if not self.target or self.sender.budget.left <= 0:
            return
        request = mpb.SyncRequest(
            after_process=self.after, digest=self.sender.table.digest()
        )
        self.sender.send(self.target, mpb.Packet(sync_request=request))

    def on_request(self, request: mpb.SyncRequest, address: str) -> None:
        """Answer with a page, or with nothing when the tables are equal."""
        if request.digest == self.sender.table.digest():
            equal = mpb.SyncReply(last=True)
            self.sender.send(address, mpb.Packet(sync_reply=equal))
        elif self.sender.budget.left > 0:
            self.sender.send_page(address, request.after_process)

    def on_reply(self, reply: mpb.SyncReply, address: str) -> None:
        """Note a page, whose updates were taken before."""
        if address != self.target:
            return
        self.after = reply.last_process
        if reply.last:
            self.target = ""
