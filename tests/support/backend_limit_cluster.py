"""Many gateways that enforce the limit of one backend server, in simulated time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import mock

from support.limit_cluster import FakeLinks, Faults, LimitCluster
from tanagerturn.gateway.backends import limits as backend_limits
from tanagerturn.gateway.backends.limits import BackendLimits, limit_key
from tanagerturn.schema import serving_pb2
from tanagerturn.serving.backends.backend import Backend
from tanagerturn.serving.limits.terms import AccountLimit, Tolerance

if TYPE_CHECKING:
    from tanagerturn.gateway.limits import AccountLimits

BACKEND = Backend(serving_pb2.Announcement(id="i-1", incarnation="b1", born_ms=1), 0)


class BackendLimitCluster(LimitCluster):
    """Gateways that know the limit of one backend server.

    Args:
        count: Number of gateways.
        faults: Faults that delay or separate the gateways.
        seed: Seed of all random choices.
        rate_per_s: Limit that the backend server named.
    """

    key = limit_key(BACKEND)
    tolerance = Tolerance(units=5.0, share=0.5, window_s=4.0)
    sizes_units = (1.0,)

    def __init__(
        self, count: int, faults: Faults, seed: int, rate_per_s: float
    ) -> None:
        self.backends: dict[str, BackendLimits] = {}
        super().__init__(count, faults, seed)
        self.rate_per_s = rate_per_s
        self.limit = AccountLimit(rate_per_s, 0.0)

    def make_limits(self, host: str) -> AccountLimits:
        """Return the limits at one gateway."""
        self.backends[host] = BackendLimits(host)
        return self.backends[host].limits

    def run(self, times: float, duration_s: float) -> None:
        """Send requests at a multiple of the limit."""
        with mock.patch.object(
            backend_limits, "boot_s", lambda: asyncio.get_running_loop().time()
        ):
            super().run(times, duration_s)

    async def admit(self, host: str, units: float) -> bool:
        """Return whether a gateway sends a request to the backend server."""
        limits, now_s = self.backends[host], asyncio.get_running_loop().time()
        if BACKEND.id in limits.exhausted_ids(now_s):
            return False
        return await limits.acquire(BACKEND, FakeLinks(self, host))

    def set_terms(self, now_s: float) -> None:
        """Let each gateway receive a response that names the limit."""
        for limits in self.backends.values():
            limits.on_response(BACKEND, self.rate_per_s, now_s, now_s)
