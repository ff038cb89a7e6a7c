"""Counts the started requests by client account and report window; pure."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_WINDOWS: Final = 6
"""Report windows whose counts are kept; a report is due two windows after the end of
its window."""


class UsageCounts:
    """Counts of started requests at this gateway and its peers.

    Args:
        window_s: Length of a report window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        """Length of a report window in seconds."""
        self.local_counts: dict[int, dict[str, int]] = {}
        """Requests of this gateway by window and client account."""
        self.peer_counts: dict[int, dict[str, Mapping[str, int]]] = {}
        """Counts by client account of peer gateways, by window and by the gateway's
        name with its start time: counts begin at 0 with each start."""

    def window_at(self, wall_s: float) -> int:
        """Return the number of the window that contains a wall-clock time."""
        return int(wall_s // self.window_s)

    def on_run_started(self, client_account: str, wall_s: float) -> None:
        """Count a request that a backend server began to run.

        Args:
            client_account: Client account; requests without one are not counted.
            wall_s: Current wall-clock time in seconds.
        """
        if not client_account:
            return
        counts = self.local_counts.setdefault(self.window_at(wall_s), {})
        counts[client_account] = counts.get(client_account, 0) + 1
        _drop_oldest(self.local_counts)

    def on_peer_counts(
        self, gateway: str, window: int, counts: Mapping[str, int]
    ) -> None:
        """Replace the counts of a peer gateway; they never decrease.

        Args:
            gateway: Name of the gateway with its start time.
            window: Number of the window.
            counts: Its counts so far by client account.
        """
        self.peer_counts.setdefault(window, {})[gateway] = counts
        _drop_oldest(self.peer_counts)

    def total(self, window: int) -> dict[str, int]:
        """Return the requests of all gateways in a window by client account."""
        total = dict(self.local_counts.get(window, {}))
        for counts in self.peer_counts.get(window, {}).values():
            for name, count in counts.items():
                total[name] = total.get(name, 0) + count
        return total


def _drop_oldest(windows: dict[int, Any]) -> None:
    while len(windows) > MAX_WINDOWS:
        del windows[min(windows)]
