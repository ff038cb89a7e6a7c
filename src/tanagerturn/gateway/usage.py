"""Counts the started requests by client account and report window; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_WINDOWS: Final = 6
"""Number of report windows whose counts are kept; a report is due two windows after the
end of its window."""


class UsageCounts:
    """Counts of started requests at this gateway and its peers.

    Args:
        window_s: Length of a report window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        """Length of a report window in seconds."""
        self.local_counts: dict[int, dict[str, int]] = {}
        """Number of requests of this gateway by window number and client account."""
        self.peer_counts: dict[int, dict[str, Mapping[str, int]]] = {}
        """Counts of peer gateways by window number, by the host of the gateway with its
        start time, and by client account. Each start begins counting at 0."""

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
            gateway: Host of the peer gateway with its start time.
            window: Number of the window.
            counts: Number of requests in the window so far by client account.
        """
        self.peer_counts.setdefault(window, {})[gateway] = counts
        _drop_oldest(self.peer_counts)

    def total(self, window: int) -> dict[str, int]:
        """Return the request count of all gateways in a window by client account."""
        total = dict(self.local_counts.get(window, {}))
        for counts in self.peer_counts.get(window, {}).values():
            for name, count in counts.items():
                total[name] = total.get(name, 0) + count
        return total


def _drop_oldest(windows: dict[int, Any]) -> None:
    while len(windows) > MAX_WINDOWS:
        del windows[min(windows)]
