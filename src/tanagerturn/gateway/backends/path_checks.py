"""Checks which backend servers this gateway can open connections to."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.backends.pool import BackendConnection
from tanagerturn.gateway.connection import connect
from tanagerturn.gateway.fleet import service_of
from tanagerturn.gateway.logs import component_log
from tanagerturn.serving.backends.paths import (
    REACHED_MAX_AGE_S,
    Doubt,
    PathFailure,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import BackendId
    from tanagerturn.serving.backends.paths import Paths

CHECK_TIMEOUT_S: Final = 0.35
"""Timeout in seconds of a check's connections: many round trips within a region."""

CONFIRMED_MAX_AGE_S: Final = 2.0
"""Age in seconds up to which an opened connection shows that a failure found by a
repeated check concerns a single backend server."""

log = component_log("paths")


class PathChecker:
    """Opens connections to backend servers to find out which ones are reached.

    Args:
        state: State of the gateway.
        on_changed: Called when backend servers may be reached again.
    """

    def __init__(self, state: GatewayState, on_changed: Callable[[], None]) -> None:
        self.state = state
        """State of the gateway."""
        self.on_changed = on_changed
        """Called when backend servers may be reached again."""
        self.check: asyncio.Task[None] | None = None
        """Check in progress; None between checks."""

    def on_doubted(self, backend_id: BackendId, doubt: Doubt, now_s: float) -> None:
        """Check a backend server whose response or connection failed.

        Args:
            backend_id: The backend server.
            doubt: How strongly the failure suggests that this gateway is cut off.
            now_s: Current boot-clock time in seconds.
        """
        if self.check is None and self.paths.is_check_due(doubt, now_s):
            self._start(backend_id, doubt, now_s, now_s - REACHED_MAX_AGE_S)

    async def is_cut_off(self, backend_id: BackendId, since_s: float) -> bool:
        """Check whether this gateway reaches any backend server.

        Args:
            backend_id: Backend server whose connections broke.
            since_s: Boot-clock time in seconds at which they broke; a connection to any
                backend server that is begun later and opens shows that this gateway is
                not cut off.
        """
        while self.paths.opened_since_s <= since_s:
            if self.check is None:
                self._start(backend_id, Doubt.STRONG, boot_s(), since_s)
                await self.wait()
                break
            await self.wait()
        return self.paths.cut is not None

    def on_open_failed(
        self, backend_id: BackendId, error: OSError, now_s: float
    ) -> None:
        """Record that a connection could not be opened, and check others.

        Args:
            backend_id: The backend server.
            error: Why the connection could not be opened.
            now_s: Current boot-clock time in seconds.
        """
        self.paths.on_failed(backend_id, _failure_of(error))
        self.on_doubted(backend_id, Doubt.STRONG, now_s)

    def tick(self, now_s: float) -> None:
        """Check unreached backend servers again at intervals."""
        self.paths.expire(self.state.fleet.view.backends.keys())
        if self.check is None and self.paths.is_check_due(None, now_s):
            failed = sorted(self.paths.failures)
            chosen = self.state.random.choice(failed) if failed else None
            self._start(chosen, None, now_s, now_s)

    async def wait(self) -> None:
        """Wait for the check in progress, if any."""
        if self.check is not None:
            await asyncio.wait((self.check,))

    @property
    def paths(self) -> Paths:
        """Backend servers that this gateway does not reach."""
        return self.state.fleet.paths

    def _start(
        self,
        doubted: BackendId | None,
        doubt: Doubt | None,
        now_s: float,
        reached_since_s: float,
    ) -> None:
        chosen = self._choose(doubted, doubt, reached_since_s)
        if not chosen:
            return
        self.paths.checked_s = now_s
        self.check = asyncio.create_task(self._check(chosen))
        self.check.add_done_callback(self._on_check_done)

    def _choose(
        self, doubted: BackendId | None, doubt: Doubt | None, reached_since_s: float
    ) -> list[Backend]:
        backends = self.state.fleet.view.backends
        known = backends.get(doubted) if doubted is not None else None
        service = service_of(known) if known is not None else ""
        of_service = {b.id for b in backends.values() if service_of(b) == service}
        chosen = self.paths.choose_checked(
            known.id if known is not None else None,
            doubt,
            of_service,
            backends.keys() - of_service,
            self.state.random,
            reached_since_s,
        )
        return [backends[backend_id] for backend_id in chosen]

    def _on_check_done(self, task: asyncio.Task[None]) -> None:
        self.check = None
        if not task.cancelled() and task.exception() is not None:
            log.error("path_check_failed", reason=repr(task.exception()))

    async def _check(self, backends: list[Backend]) -> None:
        """Check backend servers; if a single one fails, check others as well."""
        await self._check_once(backends)
        if len(backends) > 1 or self.paths.is_open(backends[0].id):
            return
        now_s = boot_s()
        others = self._choose(backends[0].id, Doubt.STRONG, now_s - CONFIRMED_MAX_AGE_S)
        if len(others) > 1:
            self.paths.checked_s = now_s
            await self._check_once(others)

    async def _check_once(self, backends: list[Backend]) -> None:
        results = await asyncio.gather(*(self._open(b) for b in backends))
        ids = [backend.id for backend in backends]
        failed = {i: r for i, r in zip(ids, results, strict=True) if r is not None}
        opened = [i for i in ids if i not in failed]
        paths, fleet = self.paths, self.state.fleet
        for backend_id in opened:
            fleet.on_path_opened(backend_id, paths.checked_s)
        has_changed = paths.on_checked(opened, failed, len(fleet.view.backends))
        if paths.cut is PathFailure.SILENT:
            # Their other ends may be gone, and a request on them would only time out.
            self.state.pool.drop_all()
        if has_changed and paths.cut is not None:
            silent = sum(f is PathFailure.SILENT for f in failed.values())
            log.warning("paths_lost", checked=len(ids), silent=silent)
        elif has_changed:
            log.warning("paths_restored", checked=len(ids), opened=len(opened))
        self.on_changed()

    async def _open(self, backend: Backend) -> PathFailure | None:
        """Open a connection and keep it; return how that failed, None if it opened."""
        try:
            tcp = await connect(backend.address, CHECK_TIMEOUT_S)
        except OSError as error:
            return _failure_of(error)
        connection = BackendConnection(backend.id, backend.address, tcp)
        self.state.pool.release(connection, None, boot_s())
        return None


def _failure_of(error: OSError) -> PathFailure:
    is_silent = isinstance(error, TimeoutError)
    return PathFailure.SILENT if is_silent else PathFailure.REFUSED
