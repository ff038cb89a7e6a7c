"""Requests that began to run, by client account and report window; pure."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

WINDOWS_KEPT: Final = 6
"""Windows that are remembered; a report is due two windows after its end."""


class UsageCounts:
    """Counts of this gateway and of the others.

    Args:
        window_s: Length of a report window.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        """Length of a report window."""
        self.own: dict[int, dict[str, int]] = {}
        """Own requests by window and client account."""
        self.others: dict[int, dict[str, Mapping[str, int]]] = {}
        """Counts of other gateways by window and by gateway and start."""

    def window_at(self, wall_s: float) -> int:
        """Return the number of the window at a time of the wall clock."""
        return int(wall_s // self.window_s)

    def on_begun(self, client_account: str, wall_s: float) -> None:
        """Count a request that a backend server began to run."""
        if not client_account:
            return
        counts = self.own.setdefault(self.window_at(wall_s), {})
        counts[client_account] = counts.get(client_account, 0) + 1
        _forget(self.own)

    def on_told(self, gateway: str, window: int, counts: Mapping[str, int]) -> None:
        """Take the counts of another gateway, which only grow.

        Args:
            gateway: Gateway and its start.
            window: Number of the window.
            counts: Its counts so far.
        """
        self.others.setdefault(window, {})[gateway] = counts
        _forget(self.others)

    def total(self, window: int) -> dict[str, int]:
        """Return the requests of all gateways in a window."""
        total = dict(self.own.get(window, {}))
        for counts in self.others.get(window, {}).values():
            for name, count in counts.items():
                total[name] = total.get(name, 0) + count
        return total


def _forget(windows: dict[int, Any]) -> None:
    while len(windows) > WINDOWS_KEPT:
        del windows[min(windows)]
