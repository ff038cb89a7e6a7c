"""Token demand of callers over all gateways; without I/O.

Only requests within the limits of their client account count, and each request counts
once: the retry of a refused request adds no demand.
"""

from __future__ import annotations

import math
from typing import Final

TIME_CONSTANT_S: Final = 2.0
"""Time constant of the moving average in seconds; `CountPlanner` smooths it further."""

PEER_MAX_AGE_S: Final = 4.0
"""Age in seconds from which the reported average of a peer gateway is ignored."""


class TokenDemand:
    """Tokens per second that callers request from this gateway and its peers."""

    def __init__(self) -> None:
        self.local_per_s = 0.0
        """Moving average of the demand at this gateway, in tokens per second."""
        self.updated_s = 0.0
        """Monotonic time of the last update of `local_per_s` in seconds."""
        self.peer_averages: dict[str, tuple[float, float]] = {}
        """Last reported average of each peer gateway in tokens per second, with the
        monotonic time of the report in seconds."""

    def on_requested(self, tokens: float, now_s: float) -> None:
        """Count a request that is within its limit and is not a retry.

        Args:
            tokens: Number of tokens that the request asks for.
            now_s: Monotonic time in seconds.
        """
        self._decay(now_s)
        self.local_per_s += tokens / TIME_CONSTANT_S

    def on_peer_report(self, gateway: str, tokens_per_s: float, now_s: float) -> None:
        """Record the average demand that a peer gateway reports.

        Args:
            gateway: Id of the peer gateway.
            tokens_per_s: Its average demand in tokens per second.
            now_s: Monotonic time in seconds.
        """
        self.peer_averages[gateway] = (tokens_per_s, now_s)

    def local_tokens_per_s(self, now_s: float) -> float:
        """Return the average demand at this gateway, in tokens per second."""
        self._decay(now_s)
        return self.local_per_s

    def total_tokens_per_s(self, now_s: float) -> float:
        """Return the sum of the averages of all gateways, in tokens per second.

        Averages that peers reported `PEER_MAX_AGE_S` ago or earlier are ignored.
        """
        reported = [
            n
            for n, updated_s in self.peer_averages.values()
            if now_s - updated_s < PEER_MAX_AGE_S
        ]
        return self.local_tokens_per_s(now_s) + sum(reported)

    def _decay(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self.updated_s)
        self.local_per_s *= math.exp(-passed_s / TIME_CONSTANT_S)
        self.updated_s = now_s
