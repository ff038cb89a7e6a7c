"""Comparison of the whole member table with that of a peer, page by page."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.schema import membership_pb2 as mpb

if TYPE_CHECKING:
    from random import Random

    from tanagerturn.coordination.membership._sender import Sender

PAGE_TIMEOUT_MS: Final = 600
"""Time in milliseconds without a page after which the read is given up: a peer whose
byte budget is used up answers no requests."""

REQUEST_INTERVAL_MS: Final = 200
"""Interval in milliseconds at which a request without a response is sent again."""

REPEAT_INTERVAL_MS: Final = 500
"""Interval in milliseconds to the next comparison after one that changed the table,
since peers also learn of further processes, or that was given up."""

PROMPT_REPEATS: Final = 3
"""Number of reads given up in a row after which the interval to the next one doubles
each time: a process that receives nothing must not use up its peers' byte budgets."""


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
        """Monotonic time in milliseconds at which the next comparison is due."""
        self.give_up_ms = 0
        """Monotonic time in milliseconds at which a read without a new page is given
        up."""
        self.next_request_ms = 0
        """Monotonic time in milliseconds at which the next request may be sent."""
        self.given_up_count = 0
        """Number of reads given up since the last page was received."""
        self.digest_at_start = 0
        """Hash of the member table at the start of the last read."""

    def is_due(self, now_ms: int) -> bool:
        """Return whether a comparison is due and no table is being read."""
        return not self.target_address and now_ms >= self.next_sync_ms

    def start(self, address: str, now_ms: int) -> None:
        """Start to read the member table of the process at an IP address and port."""
        self.target_address = address
        self.last_process = ""
        self.digest_at_start = self.sender.table.digest()
        self.give_up_ms = now_ms + PAGE_TIMEOUT_MS
        self.next_request_ms = now_ms
        self._schedule(self.sender.config.sync_interval_ms, now_ms)

    def advance(self, now_ms: int) -> None:
        """Request the next page, if the byte budget allows it."""
        if self.target_address and now_ms >= self.give_up_ms:
            self.target_address = ""
            doublings = max(0, self.given_up_count - PROMPT_REPEATS)
            self.given_up_count += 1
            interval_ms = REPEAT_INTERVAL_MS << min(doublings, 10)
            self._schedule(
                min(interval_ms, self.sender.config.sync_interval_ms), now_ms
            )
        if not self.target_address or now_ms < self.next_request_ms:
            return
        if self.sender.budget.available_bytes <= 0:
            return
        self.next_request_ms = now_ms + REQUEST_INTERVAL_MS
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

    def on_reply(self, reply: mpb.SyncReply, address: str, now_ms: int) -> None:
        """Record that a page arrived; its updates have been applied already."""
        if address != self.target_address:
            return
        self.last_process = reply.last_process
        self.given_up_count = 0
        self.give_up_ms = now_ms + PAGE_TIMEOUT_MS
        self.next_request_ms = now_ms
        if not reply.last:
            return
        self.target_address = ""
        if self.sender.table.digest() != self.digest_at_start:
            self._schedule(REPEAT_INTERVAL_MS, now_ms)

    def _schedule(self, interval_ms: int, now_ms: int) -> None:
        jitter = self.random.uniform(0.8, 1.2)
        self.next_sync_ms = now_ms + round(interval_ms * jitter)
