"""Comparison of the whole member table with that of a peer, page by page."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.schema import membership_pb2 as mpb

if TYPE_CHECKING:
    from random import Random

    from tanagerturn.coordination.membership._sender import Sender


class TableSync:
    """Reads the member table of a peer, and replies to the table reads of peers.

    Args:
        sender: Sends packets; owns the member table and the byte budget.
        random: Source of the random factor on the interval between comparisons.
    """

    def __init__(self, sender: Sender, random: Random) -> None:
        self.sender = sender
        """Sends packets; owns the member table and the byte budget."""
        self.random = random
        """Source of the random factor on the interval between comparisons."""
        self.target_address = ""
        """IP address and port of the peer whose table is being read; empty when no
        table is being read."""
        self.last_process = ""
        """Last process id of the last received page; empty before the first page."""
        self.next_sync_ms = 0
        """Monotonic time in milliseconds at which the next comparison is due and an
        unfinished one is given up."""

    def is_due(self, now_ms: int) -> bool:
        """Return whether a comparison is due and no table is being read."""
        return not self.target_address and now_ms >= self.next_sync_ms

    def start(self, address: str, now_ms: int) -> None:
        """Start to read the member table of the process at an IP address and port."""
        self.target_address = address
        self.last_process = ""
        jitter = self.random.uniform(0.8, 1.2)
        interval_ms = self.sender.config.sync_interval_ms
        self.next_sync_ms = now_ms + round(interval_ms * jitter)

    def advance(self, now_ms: int) -> None:
        """Request the next page, if the byte budget allows it."""
        if now_ms >= self.next_sync_ms:
            self.target_address = ""
        if not self.target_address or self.sender.budget.available_bytes <= 0:
            return
        request = mpb.SyncRequest(
            after_process=self.last_process, digest=self.sender.table.digest()
        )
        self.sender.send(self.target_address, mpb.Packet(sync_request=request))

    def on_request(self, request: mpb.SyncRequest, address: str) -> None:
        """Reply with a page, or with an empty page when the tables are equal.

        A request for a page is dropped while the byte budget is used up; the peer
        repeats the request.
        """
        if request.digest == self.sender.table.digest():
            equal = mpb.SyncReply(last=True)
            self.sender.send(address, mpb.Packet(sync_reply=equal))
        elif self.sender.budget.available_bytes > 0:
            self.sender.send_page(address, request.after_process)

    def on_reply(self, reply: mpb.SyncReply, address: str) -> None:
        """Record that a page arrived; its updates have been applied already."""
        if address != self.target_address:
            return
        self.last_process = reply.last_process
        if reply.last:
            self.target_address = ""
