"""Which backend servers this process can open connections to; no I/O.

A backend server that does not accept connections may have failed, or this process may
be partitioned from it. A check of several backend servers tells the two apart: if none
of them accepts a connection, this process is cut off from all of them.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping
    from random import Random

    from tanagerturn.serving.backends.messages import BackendId

MIN_FAILED: Final = 3
"""Number of backend servers that must all fail a check before the process counts as cut
off; fewer if fewer are known."""

CHECKED_OF_SERVICE: Final = 3
"""Maximum number of backend servers of the doubted one's service in a check."""

CHECKED_OTHERS: Final = 2
"""Maximum number of further backend servers in a check."""

CHECK_INTERVAL_S: Final = 0.5
"""Minimum interval in seconds between two checks of a process that is cut off."""

SINGLE_CHECK_INTERVAL_S: Final = 1.0
"""Minimum interval in seconds between two checks of single unreached backend servers,
while others are reached."""

DOUBT_INTERVAL_S: Final = 0.25
"""Minimum interval in seconds between two checks that a failure causes."""

REACHED_MAX_AGE_S: Final = 0.5
"""Age in seconds up to which an opened connection shows that the process is not cut
off, so that a failure concerns a single backend server."""


class Doubt(Enum):
    """How strongly a failure suggests that the process is cut off."""

    WEAK = "weak"
    """A response is missing or has broken off, for which there are many reasons."""
    STRONG = "strong"
    """A connection could not be opened, or is slow to open."""


class PathFailure(Enum):
    """How a connection failed."""

    REFUSED = "refused"
    """It was refused or reset at once."""
    SILENT = "silent"
    """Nothing answered within the timeout."""


class Paths:
    """Backend servers that this process fails to open connections to."""

    def __init__(self) -> None:
        self.failures: dict[BackendId, PathFailure] = {}
        """Backend servers that are not reached, and how the last connection failed."""
        self.cut: PathFailure | None = None
        """How connections to all backend servers fail; None if any can be opened."""
        self.checked_s = float("-inf")
        """Monotonic time in seconds at which the last check began."""
        self.opened_since_s = float("-inf")
        """Monotonic time in seconds since which a path is known to have been open: the
        beginning of the last attempt to connect that succeeded. Attempts that began
        before a partition may still succeed after its beginning."""

    def is_open(self, backend_id: BackendId) -> bool:
        """Return whether connections to a backend server are expected to open."""
        return self.cut is None and backend_id not in self.failures

    @property
    def has_failures(self) -> bool:
        """Whether any backend server is not reached."""
        return self.cut is not None or bool(self.failures)

    def failure_of(self, backend_id: BackendId) -> PathFailure | None:
        """Return how connections to a backend server fail; None if they open."""
        return self.failures.get(backend_id, self.cut)

    def on_failed(self, backend_id: BackendId, failure: PathFailure) -> None:
        """Record that a connection could not be opened."""
        self.failures[backend_id] = failure

    def on_opened(self, backend_id: BackendId, begun_s: float) -> None:
        """Record that a connection was opened.

        Args:
            backend_id: Backend server that accepted it.
            begun_s: Monotonic time in seconds at which the attempt began.
        """
        self.failures.pop(backend_id, None)
        self.cut = None
        self.opened_since_s = max(self.opened_since_s, begun_s)

    def on_restarted(self, backend_id: BackendId) -> None:
        """Forget the failures of an earlier start of a backend server."""
        self.failures.pop(backend_id, None)

    def on_checked(
        self,
        opened: Collection[BackendId],
        failed: Mapping[BackendId, PathFailure],
        known_count: int,
    ) -> bool:
        """Apply the result of a check.

        Args:
            opened: Backend servers that accepted a connection.
            failed: Backend servers that did not, and how the connections failed.
            known_count: Number of all known backend servers.

        Returns:
            Whether the process has become cut off, or has a path again.
        """
        was_cut = self.cut is not None
        for backend_id in opened:
            self.on_opened(backend_id, self.checked_s)
        self.failures.update(failed)
        if opened:
            self.cut = None
        elif len(failed) >= max(1, min(MIN_FAILED, known_count)):
            is_silent = PathFailure.SILENT in failed.values()
            self.cut = PathFailure.SILENT if is_silent else PathFailure.REFUSED
        return was_cut != (self.cut is not None)

    def is_check_due(self, doubt: Doubt | None, now_s: float) -> bool:
        """Return whether to check now.

        Args:
            doubt: Failure that has just been seen; None for none.
            now_s: Monotonic time in seconds.
        """
        if doubt is not None:
            interval_s = DOUBT_INTERVAL_S
        elif self.cut is not None:
            interval_s = CHECK_INTERVAL_S
        else:
            interval_s = SINGLE_CHECK_INTERVAL_S
        is_needed = doubt is not None or self.has_failures
        return is_needed and now_s - self.checked_s >= interval_s

    def choose_checked(
        self,
        doubted: BackendId | None,
        doubt: Doubt | None,
        of_service: Iterable[BackendId],
        others: Iterable[BackendId],
        random: Random,
        reached_since_s: float,
    ) -> list[BackendId]:
        """Choose the backend servers of a check.

        Others than the doubted one are checked only while it is open whether any are
        reached.

        Args:
            doubted: Backend server to check in any case; None for none.
            doubt: Failure that causes the check; None for a repeated check.
            of_service: Backend servers of its service.
            others: All other backend servers.
            random: Source of the choice.
            reached_since_s: Monotonic time in seconds; a connection opened after it
                shows that others are reached.
        """
        chosen = [doubted] if doubted is not None else []
        is_reached = self.opened_since_s > reached_since_s
        is_strong = doubt is Doubt.STRONG and not is_reached
        if chosen and not is_strong and self.cut is None:
            return chosen
        for ids, count in ((of_service, CHECKED_OF_SERVICE), (others, CHECKED_OTHERS)):
            remaining = sorted(set(ids) - set(chosen))
            chosen += random.sample(remaining, min(count, len(remaining)))
        return chosen

    def expire(self, known_ids: Collection[BackendId]) -> None:
        """Forget backend servers that are no longer known."""
        for backend_id in self.failures.keys() - set(known_ids):
            del self.failures[backend_id]
