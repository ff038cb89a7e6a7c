"""Tells when an open link has gone silent for good; pure.

Answers the pattern of a connection that stays open while its bytes vanish, as after
a middlebox forgot it: the kernel sees every byte acknowledged, and only what is not
answered shows it. Frames without an answer are accompanied by a probe now and then.
"""

from __future__ import annotations

from typing import Final

PROBE_AFTER_S: Final = 0.5
"""Time without a frame from the other side after which one is asked for."""

SILENT_S: Final = 1.0
"""Time without an answer after which a link is opened anew: many round trips, and
short against the 4 s within which gateways have to agree again."""

SLOWEST_BYTES_PER_S: Final = 400_000.0
"""Rate below the slowest link of a host, 5 Mbit/s: bytes that were sent may still be
on their way for as long."""


class LinkSilence:
    """What one open connection owes.

    Args:
        now_s: Present time, when it was opened.
    """

    def __init__(self, now_s: float) -> None:
        self.heard_s = now_s
        """When the last frame came."""
        self.asked_s: float | None = None
        """When the oldest unanswered question was sent; None when there is none."""
        self.sent_bytes = 0
        """Bytes sent since the last frame came."""

    def on_sent(self, size_bytes: int, *, asks: bool, now_s: float) -> None:
        """Note a frame that is sent; `asks` tells that it will be answered."""
        self.sent_bytes += size_bytes
        if asks and self.asked_s is None:
            self.asked_s = now_s

    def on_frame(self, now_s: float) -> None:
        """Note a frame that came."""
        self.heard_s, self.asked_s, self.sent_bytes = now_s, None, 0

    def needs_probe(self, now_s: float) -> bool:
        """Tell whether an answer has to be asked for."""
        return self.asked_s is None and now_s - self.heard_s > PROBE_AFTER_S

    def is_silent(self, now_s: float) -> bool:
        """Tell whether the answer is overdue."""
        if self.asked_s is None:
            return False
        return now_s - self.asked_s > SILENT_S + self.sent_bytes / SLOWEST_BYTES_PER_S
