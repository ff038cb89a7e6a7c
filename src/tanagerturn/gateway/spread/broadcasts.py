"""Datagrams to all peers, sent at a pace that a host's network link carries."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

BURST_BYTES: Final = 8_000
"""Bytes that may be sent at once; a link of 2.5 Mbit/s carries them in 26 ms, and drops
the end of a queue of 25 KB."""

BYTES_PER_S: Final = 160_000.0
"""Average rate of broadcasts in bytes per second; half of such a link."""

HEADER_BYTES: Final = 28
"""Bytes of the IP and UDP headers of a datagram."""

ORDER_STEP: Final = 0.382
"""Fraction of the recipients by which the first one moves from one broadcast to the
next; the golden section, so that no recipient is last again soon."""

MAX_QUEUED: Final = 4_000
"""Maximum number of queued datagrams of each urgency, some seconds' worth; the oldest
are dropped."""


class Broadcasts:
    """Queue of datagrams, each for one recipient; urgent ones are sent first.

    Args:
        order_fraction: Position of the first recipient of the first broadcast in the
            list of recipients, as a fraction from 0 to 1.
    """

    def __init__(self, order_fraction: float) -> None:
        self.order_fraction = order_fraction
        """Position of the first recipient of the next broadcast."""
        self.urgent: deque[tuple[bytes, str]] = deque(maxlen=MAX_QUEUED)
        """Urgent datagrams with the IP addresses of their recipients."""
        self.others: deque[tuple[bytes, str]] = deque(maxlen=MAX_QUEUED)
        """Other datagrams with the IP addresses of their recipients."""
        self.allowance_bytes = float(BURST_BYTES)
        """Bytes that may be sent now."""
        self.updated_s = -1e9
        """Boot-clock time in seconds as of which `allowance_bytes` applies."""

    def add(self, data: bytes, ips: Sequence[str], *, is_urgent: bool) -> None:
        """Queue a datagram for some recipients.

        Each broadcast begins at another recipient, so that a full link does not drop
        the datagrams to the same ones each time.

        Args:
            data: The datagram.
            ips: IP addresses of the recipients.
            is_urgent: Send it before all others.
        """
        self.order_fraction = (self.order_fraction + ORDER_STEP) % 1.0
        first = int(self.order_fraction * len(ips))
        queue = self.urgent if is_urgent else self.others
        queue.extend((data, ip) for ip in (*ips[first:], *ips[:first]))

    def take(self, now_s: float) -> list[tuple[bytes, str]]:
        """Return the datagrams to send now, with their recipients.

        Args:
            now_s: Current boot-clock time in seconds.
        """
        earned = max(0.0, now_s - self.updated_s) * BYTES_PER_S
        self.allowance_bytes = min(BURST_BYTES, self.allowance_bytes + earned)
        self.updated_s = now_s
        taken = []
        while self.allowance_bytes > 0 and (queue := self.urgent or self.others):
            data, ip = queue.popleft()
            self.allowance_bytes -= len(data) + HEADER_BYTES
            taken.append((data, ip))
        return taken
