"""Ejects backend servers that fail, with a floor, and lets them return slowly."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection

    from tanagerturn.serving.backends.messages import BackendId

FAILURES_IN_A_ROW: Final = 3
EJECT_S: Final = 10.0
"""Time of the first ejection; it grows with each that follows."""

LONGEST_EJECT_S: Final = 120.0
MOST_EJECTED: Final = 0.34
"""Share of the backend servers of a service that may be ejected; one at least,
if there are others."""

RETURN_S: Final = 20.0
"""Time over which a backend server's weight grows back."""

LEAST_WEIGHT: Final = 0.1


@dataclass
class Health:
    """Failures of one backend server."""

    failures: int = 0
    """Failures in a row."""
    ejections: int = 0
    """Ejections since the last long run of successes."""
    back_at_s: float = 0.0
    """End of the last ejection; 0 when there was none."""

    def ejected(self, now_s: float) -> bool:
        """Tell whether it is ejected now."""
        return now_s < self.back_at_s

    def weight(self, now_s: float) -> float:
        """Return the share of the usual load that it may get."""
        if self.back_at_s == 0.0:
            return 1.0
        if self.ejected(now_s):
            return 0.0
        grown = (now_s - self.back_at_s) / RETURN_S
        return min(1.0, max(LEAST_WEIGHT, grown))


class OutlierEjector:
    """Ejection among the backend servers of one service."""

    def __init__(self) -> None:
        self.health: dict[BackendId, Health] = {}
        """Failures by backend server."""

    def succeeded(self, server: BackendId, now_s: float) -> None:
        """Count a success."""
        health = self.health.get(server)
        if health is None:
            return
        health.failures = 0
        if health.weight(now_s) == 1.0:
            health.ejections = 0

    def failed(
        self,
        server: BackendId,
        servers: Collection[BackendId],
        now_s: float,
    ) -> bool:
        """Count a failure.

        Args:
            server: Backend server that failed.
            servers: All backend servers of the service that are up.
            now_s: Present monotonic clock in seconds.

        Returns:
            True when it is ejected by this failure.
        """
        health = self.health.setdefault(server, Health())
        health.failures += 1
        if health.failures < FAILURES_IN_A_ROW or health.ejected(now_s):
            return False
        ejected = sum(1 for other in servers if self.is_ejected(other, now_s))
        most = max(1.0, MOST_EJECTED * len(servers))
        if len(servers) < 2 or ejected + 1 > most:
            return False
        health.ejections += 1
        health.failures = 0
        health.back_at_s = now_s + min(LONGEST_EJECT_S, EJECT_S * health.ejections)
        return True

    def is_ejected(self, server: BackendId, now_s: float) -> bool:
        """Tell whether a backend server gets no new requests now."""
        health = self.health.get(server)
        return health is not None and health.ejected(now_s)

    def weight(self, server: BackendId, now_s: float) -> float:
        """Return the share of the usual load that a backend server may get."""
        health = self.health.get(server)
        return health.weight(now_s) if health is not None else 1.0

    def forget(self, server: BackendId) -> None:
        """Drop what is known of a backend server that is gone."""
        self.health.pop(server, None)
