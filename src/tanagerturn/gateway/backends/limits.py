"""Obeys the limits that backend servers name for all gateways together.

Each limit is owned by one gateway, which its peers ask before each request, as they do
for limits of client accounts. Without the owner's response, no request is sent.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s, to_ms
from tanagerturn.gateway.limits import AccountLimits
from tanagerturn.gateway.logs import component_log
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.limits.named import LimitKey, NamedLimit, NamedLimits
from tanagerturn.serving.limits.terms import Admitted, Exceeded, Tolerance

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from tanagerturn.gateway.links import Links
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import BackendId

NO_TOLERANCE: Final = Tolerance(units=0.0, share=0.0, window_s=4.0)
"""A backend server in need must not get more than it takes."""

ACQUIRE_TIMEOUT_S: Final = 0.1
"""Time in seconds without a response of the owner after which the request is sent to
another backend server."""

UNVERIFIED_BACKOFF_S: Final = 0.5
"""Time in seconds for which a backend server gets no requests of this gateway after the
owner of its limit did not respond."""

log = component_log("limits")


class BackendLimits:
    """Limits of backend servers at one gateway.

    Args:
        host: Host of this gateway.
    """

    def __init__(self, host: str) -> None:
        self.named = NamedLimits()
        """Latest statements of the backend servers."""
        self.limits = AccountLimits(host, NO_TOLERANCE, is_backend=True)
        """Enforcement of the limits in force, by backend server."""
        self.exhausted_until_s: dict[BackendId, float] = {}
        """Boot-clock time in seconds until which a limited backend server gets no
        requests of this gateway."""

        self.paused_until_s: dict[BackendId, float] = {}
        """Boot-clock time in seconds until which a backend server that asked for a
        pause gets no requests of this gateway."""

    def on_response(
        self, backend: Backend, rate_per_s: float | None, sent_s: float, now_s: float
    ) -> None:
        """Apply the limit that a response names.

        Args:
            backend: Backend server.
            rate_per_s: Limit in requests per second; None if none is named.
            sent_s: Boot-clock time in seconds at which the request was sent.
            now_s: Current boot-clock time in seconds.
        """
        if rate_per_s is None and not self.named.statements:
            return
        key = limit_key(backend)
        if self.named.on_response(key, rate_per_s, sent_s, now_s):
            log.info("limit_named", backend=backend.id, limit_per_s=rate_per_s)
            self._apply(now_s)

    def on_reported(
        self, reported_limits: Iterable[gpb.NamedLimit], now_s: float
    ) -> None:
        """Apply limits that a peer reported."""
        has_changed = False
        for reported in reported_limits:
            rate_per_s = None if reported.ended else reported.rate_per_s
            named_s = now_s - reported.named_ago_ms / 1000
            statement = NamedLimit(rate_per_s, named_s)
            if self.named.merge(LimitKey(reported.backend), statement):
                has_changed = True
                backend_id = reported.backend.rpartition("@")[0]
                log.info("limit_named", backend=backend_id, limit_per_s=rate_per_s)
        if has_changed:
            self._apply(now_s)

    def encode(self, keys: Iterable[LimitKey], now_s: float) -> gpb.NamedLimits:
        """Return statements of backend servers as a message to peers."""
        message = gpb.NamedLimits()
        for key in keys:
            statement = self.named.statements[key]
            message.limits.add(
                backend=key,
                rate_per_s=statement.rate_per_s or 0.0,
                ended=statement.rate_per_s is None,
                named_ago_ms=max(0, to_ms(now_s - statement.named_s)),
            )
        return message

    def exhausted_ids(self, now_s: float) -> set[BackendId]:
        """Return the backend servers that get no requests of this gateway now."""
        return {
            b for b, until_s in self.unavailable_until_s().items() if now_s < until_s
        }

    def unavailable_until_s(self) -> Mapping[BackendId, float]:
        """Return until when backend servers get no requests of this gateway.

        Boot-clock times in seconds by id; some may be in the past.
        """
        if not self.paused_until_s:
            return self.exhausted_until_s
        merged = dict(self.paused_until_s)
        for backend_id, until_s in self.exhausted_until_s.items():
            merged[backend_id] = max(until_s, merged.get(backend_id, 0.0))
        return merged

    def on_pause_asked(self, backend: Backend, pause_s: float, now_s: float) -> None:
        """Send no requests to a backend server that asked for a pause.

        Args:
            backend: The backend server.
            pause_s: Length of the pause in seconds.
            now_s: Current boot-clock time in seconds.
        """
        until_s = max(now_s + pause_s, self.paused_until_s.get(backend.id, 0.0))
        self.paused_until_s[backend.id] = until_s
        log.info("pause_asked", backend=backend.id, pause_s=round(pause_s, 3))

    def is_paused(self, backend_id: BackendId, now_s: float) -> bool:
        """Return whether a backend server asked for a pause that has not ended."""
        return now_s < self.paused_until_s.get(backend_id, 0.0)

    async def acquire(self, backend: Backend, links: Links) -> bool:
        """Return whether a request may be sent to a backend server, and charge it.

        Args:
            backend: Backend server.
            links: Links to peer gateways.
        """
        key = limit_key(backend)
        if key not in self.limits.owned.limits_by_account:
            return True
        retry_after_s = UNVERIFIED_BACKOFF_S
        try:
            async with asyncio.timeout(ACQUIRE_TIMEOUT_S):
                taken = await self.limits.charge(key, 1.0, links)
        except TimeoutError:
            taken = None
        if isinstance(taken, Admitted):
            return True
        if isinstance(taken, Exceeded):
            retry_after_s = taken.retry_after_s
        self.exhausted_until_s[backend.id] = boot_s() + retry_after_s
        return False

    def expire(self, backends: Iterable[Backend], now_s: float) -> None:
        """Forget limits that ended, and those of backend servers that are gone."""
        if self.exhausted_until_s:
            self.exhausted_until_s = _unexpired(self.exhausted_until_s, now_s)
        if self.paused_until_s:
            self.paused_until_s = _unexpired(self.paused_until_s, now_s)
        if not self.named.statements:
            return
        if self.named.expire({limit_key(b) for b in backends}, now_s):
            self._apply(now_s)

    def _apply(self, now_s: float) -> None:
        self.limits.set_terms(self.named.in_force(), now_s)
        # The limit may be higher than before.
        self.exhausted_until_s = {}


def _unexpired(
    until_s: Mapping[BackendId, float], now_s: float
) -> dict[BackendId, float]:
    return {b: end_s for b, end_s in until_s.items() if now_s < end_s}


def limit_key(backend: Backend) -> LimitKey:
    """Return the key of the limit of one start of a backend server."""
    return LimitKey(f"{backend.id}@{backend.announcement.born_ms}")
