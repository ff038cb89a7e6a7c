"""Detects an open link whose bytes no longer reach the other side; no I/O.

A connection can stay open while its bytes are dropped, for instance after a middlebox
lost its state: the kernel sees every byte acknowledged, and only missing responses
reveal the fault. One-way frames are therefore accompanied by an occasional probe.
"""

from __future__ import annotations

from typing import Final

PROBE_AFTER_S: Final = 0.5
"""Time in seconds without a frame from the other side after which a probe is sent."""

RESPONSE_TIMEOUT_S: Final = 1.0
"""Time in seconds without a response after which a link is reopened: many round trips,
and short compared to the 4 s within which gateways have to agree again."""

MIN_LINK_BYTES_PER_S: Final = 400_000.0
"""Rate in bytes per second below that of a host's slowest network link, 5 Mbit/s. The
response timeout grows by the time that the sent bytes take at this rate."""


class LinkLiveness:
    """Detects whether one open connection still carries responses.

    Args:
        now_s: Boot-clock time in seconds at which the connection was opened.
    """

    def __init__(self, now_s: float) -> None:
        self.last_received_s = now_s
        """Boot-clock time in seconds at which the last frame was received, or at which
        the connection was opened."""
        self.awaiting_since_s: float | None = None
        """Boot-clock time in seconds at which the oldest frame without a response was
        sent; None if no response is awaited."""
        self.sent_bytes = 0
        """Number of bytes sent since the last frame was received."""

    def on_sent(self, size_bytes: int, *, expects_response: bool, now_s: float) -> None:
        """Record a sent frame; `expects_response` is False for a one-way frame."""
        self.sent_bytes += size_bytes
        if expects_response and self.awaiting_since_s is None:
            self.awaiting_since_s = now_s

    def on_received(self, now_s: float) -> None:
        """Record a received frame."""
        self.last_received_s, self.awaiting_since_s, self.sent_bytes = now_s, None, 0

    def needs_probe(self, now_s: float) -> bool:
        """Return whether a probe is due because no frame has been received lately."""
        return (
            self.awaiting_since_s is None
            and now_s - self.last_received_s > PROBE_AFTER_S
        )

    def is_silent(self, now_s: float) -> bool:
        """Return whether an awaited response has exceeded its timeout."""
        if self.awaiting_since_s is None:
            return False
        return (
            now_s - self.awaiting_since_s
            > RESPONSE_TIMEOUT_S + self.sent_bytes / MIN_LINK_BYTES_PER_S
        )
