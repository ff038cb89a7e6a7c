"""Measures how late a gateway handles the datagrams of its peers.

A gateway whose event loop is overloaded reads its datagrams late, or loses them when
the receive buffer is full, and then acts on what it knew before.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

LATE_S: Final = 0.25
"""Lag in seconds from which it is logged; ten rounds of the exchange."""

REPORT_INTERVAL_S: Final = 1.0
"""Time in seconds over which the largest values are reported."""


@dataclass(frozen=True)
class LagReport:
    """The largest values of one report interval."""

    lag_s: float
    """Longest time in seconds by which a round of the exchange was late."""
    digest_age_s: float
    """Longest time in seconds from the sending of a digest to its application, by the
    corrected wall clocks of both gateways."""

    @property
    def is_late(self) -> bool:
        """Whether the gateway acted late on what its peers state."""
        return max(self.lag_s, self.digest_age_s) >= LATE_S


class ExchangeLag:
    """Lag of the rounds in which a gateway reads its datagrams.

    Args:
        interval_s: Time in seconds between two rounds of an idle gateway.
    """

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        """Time in seconds between two rounds of an idle gateway."""
        self.previous_round_s: float | None = None
        """Boot-clock time in seconds of the last round; None before the first one."""
        self.next_report_s = 0.0
        """Boot-clock time in seconds from which the next report is due."""
        self.lag_s = 0.0
        """Largest lag in seconds since the last report."""
        self.digest_age_s = 0.0
        """Largest age in seconds of a digest since the last report."""

    def on_round(self, now_s: float) -> None:
        """Record that a round of the exchange begins.

        Args:
            now_s: Current boot-clock time in seconds.
        """
        if self.previous_round_s is not None:
            late_s = now_s - self.previous_round_s - self.interval_s
            self.lag_s = max(self.lag_s, late_s)
        self.previous_round_s = now_s

    def on_digest(self, age_s: float) -> None:
        """Record the digest of a peer, which was sent `age_s` seconds ago."""
        self.digest_age_s = max(self.digest_age_s, age_s)

    def take_report(self, now_s: float) -> LagReport | None:
        """Return the largest values since the last report; None until one is due.

        Args:
            now_s: Current boot-clock time in seconds.
        """
        if now_s < self.next_report_s:
            return None
        report = LagReport(self.lag_s, self.digest_age_s)
        self.next_report_s = now_s + REPORT_INTERVAL_S
        self.lag_s = self.digest_age_s = 0.0
        return report
