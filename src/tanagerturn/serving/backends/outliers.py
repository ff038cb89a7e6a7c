"""Ejection of failing backend servers, whose weight then returns gradually.

Only a limited share of the backend servers of a service is ejected at a time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection

    from tanagerturn.serving.backends.messages import BackendId

FAILURES_TO_EJECT: Final = 3
"""Number of consecutive failures after which a backend server is ejected."""

FIRST_EJECTION_S: Final = 10.0
"""Duration of the first ejection in seconds; the nth ejection lasts n times as long."""

MAX_EJECTION_S: Final = 120.0
"""Longest duration of an ejection, in seconds."""

MAX_EJECTED_SHARE: Final = 0.34
"""Largest share of the backend servers of a service that may be ejected at a time; one
of at least two may always be ejected."""

RECOVERY_S: Final = 20.0
"""Seconds after an ejection within which the weight of a backend server rises to 1."""

MIN_WEIGHT: Final = 0.1
"""Weight of a backend server directly after an ejection."""


@dataclass
class Health:
    """Failures and ejections of one backend server."""

    failures: int = 0
    """Number of consecutive failures."""
    ejections: int = 0
    """Number of ejections since the last success at full weight."""
    ejected_until_s: float = 0.0
    """Monotonic time in seconds at which the last ejection ends; 0 before the first."""

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the backend server is ejected at `now_s`, a monotonic time."""
        return now_s < self.ejected_until_s

    def weight(self, now_s: float) -> float:
        """Return the share of the normal load that the server may get, 0 to 1."""
        if self.ejected_until_s == 0.0:
            return 1.0
        if self.is_ejected(now_s):
            return 0.0
        recovered = (now_s - self.ejected_until_s) / RECOVERY_S
        return min(1.0, max(MIN_WEIGHT, recovered))


class OutlierEjector:
    """Health of the backend servers of one service and their ejections."""

    def __init__(self) -> None:
        self.health: dict[BackendId, Health] = {}
        """Health of each backend server that has failed, by id."""

    def count_success(self, server: BackendId, now_s: float) -> None:
        """Reset the failures of a backend server, and at full weight its ejections.

        Args:
            server: Backend server that responded successfully.
            now_s: Monotonic time in seconds.
        """
        health = self.health.get(server)
        if health is None:
            return
        health.failures = 0
        if health.weight(now_s) == 1.0:
            health.ejections = 0

    def count_failure(
        self,
        server: BackendId,
        servers: Collection[BackendId],
        now_s: float,
    ) -> bool:
        """Count a failure and eject the backend server after several in a row.

        Args:
            server: Backend server that failed.
            servers: All live backend servers of the service.
            now_s: Monotonic time in seconds.

        Returns:
            Whether this failure caused an ejection.
        """
        health = self.health.setdefault(server, Health())
        health.failures += 1
        if health.failures < FAILURES_TO_EJECT or health.is_ejected(now_s):
            return False
        ejected = sum(1 for other in servers if self.is_ejected(other, now_s))
        max_ejected = max(1.0, MAX_EJECTED_SHARE * len(servers))
        if len(servers) < 2 or ejected + 1 > max_ejected:
            return False
        health.ejections += 1
        health.failures = 0
        health.ejected_until_s = now_s + min(
            MAX_EJECTION_S, FIRST_EJECTION_S * health.ejections
        )
        return True

    def is_ejected(self, server: BackendId, now_s: float) -> bool:
        """Return whether a backend server is ejected and gets no new requests."""
        health = self.health.get(server)
        return health is not None and health.is_ejected(now_s)

    def weight(self, server: BackendId, now_s: float) -> float:
        """Return the share of its normal load that a backend server may get, 0 to 1."""
        health = self.health.get(server)
        return health.weight(now_s) if health is not None else 1.0

    def forget(self, server: BackendId) -> None:
        """Remove the state of a backend server that has stopped."""
        self.health.pop(server, None)
