"""KV cache migrations in progress and the next step of each.

An engine runs at most one export and one import at a time. After a failed migration,
another importer is tried while there is time; otherwise the request is handed over. The
stages can be recorded so that another process continues the migrations, because the
handle of an exported KV cache stays valid until its engine stops.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

from tanagerturn.serving.reclaims.messages import NO_HANDLE, LinkLimits, ReclaimAction
from tanagerturn.serving.reclaims.plan import plan_actions

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from tanagerturn.serving.backends.messages import BackendId, RequestId
    from tanagerturn.serving.reclaims.messages import (
        Importer,
        KvHandle,
        RequestPlan,
        RunningRequest,
    )


class MigrationStage(Enum):
    """Stage of a migration."""

    EXPORTING = "exporting"
    EXPORTED = "exported"
    IMPORTING = "importing"
    IMPORTED = "imported"


@dataclass
class Migration:
    """One migration of a request's KV cache in progress."""

    request_id: RequestId
    """Id of the request."""
    source: BackendId
    """Engine that exports the KV cache."""
    importer: BackendId
    """Engine that imports the KV cache."""
    stage: MigrationStage
    """Current stage of the migration."""
    since_ms: int
    """Time in milliseconds at which the current stage began."""
    tokens: int = 0
    """Number of KV cache tokens to transfer."""
    handle: KvHandle = NO_HANDLE
    """Handle of the KV cache at the source or, after the import, at the importer."""


@dataclass(frozen=True)
class ExportKv:
    """Export the KV cache at the source; then call `on_exported` or `on_failed`."""

    request_id: RequestId
    """Id of the request."""
    source: BackendId
    """Engine that exports the KV cache."""


@dataclass(frozen=True)
class ImportKv:
    """Import the KV cache from the source; then call `on_imported` or `on_failed`."""

    request_id: RequestId
    """Id of the request."""
    source: BackendId
    """Engine that has exported the KV cache."""
    handle: KvHandle
    """Handle of the KV cache at the source."""
    importer: BackendId
    """Engine that imports the KV cache."""


@dataclass(frozen=True)
class ResumeAt:
    """Resume the request at the importer after its last delivered token."""

    request_id: RequestId
    """Id of the request."""
    importer: BackendId
    """Engine that has imported the KV cache."""
    handle: KvHandle
    """Handle of the KV cache at the importer."""


@dataclass(frozen=True)
class HandOver:
    """Resume the request at another engine without its KV cache."""

    request_id: RequestId
    """Id of the request."""
    reason: str
    """Reason why the request is not migrated."""


ReclaimStep = ExportKv | ImportKv | ResumeAt | HandOver


class ReclaimMigrations:
    """Migrations of the local requests from engines under notice.

    Args:
        limits: Limits on the transfer of KV caches.
    """

    def __init__(self, limits: LinkLimits) -> None:
        self.limits = limits
        """Limits on the transfer of KV caches."""
        self.migrations: dict[RequestId, Migration] = {}
        """Migrations in progress, by request."""
        self.settled: dict[RequestId, BackendId] = {}
        """Requests that were resumed or handed over, with the engine that each left."""
        self.failed_importers: dict[RequestId, set[BackendId]] = {}
        """Importers of the failed migrations of each request."""
        self.plans: list[RequestPlan] = []
        """Plans that the last call of `step` made, for inspection."""

    def adopt(self, migrations: Iterable[Migration]) -> None:
        """Continue the recorded migrations of a process that has stopped.

        Exports and imports in progress are repeated; repeating them is harmless.
        """
        for migration in migrations:
            self.migrations[migration.request_id] = migration
            if migration.stage is MigrationStage.EXPORTING:
                del self.migrations[migration.request_id]
            elif migration.stage is MigrationStage.IMPORTING:
                migration.stage = MigrationStage.EXPORTED

    def step(
        self,
        requests: Sequence[RunningRequest],
        importers: Sequence[Importer],
        reclaim_at_ms: int,
        now_ms: int,
        migrations_allowed: bool = True,
    ) -> list[ReclaimStep]:
        """Return the steps that are due now.

        The caller calls this method on each event and twice a second.

        Args:
            requests: Local requests that still run on engines under notice.
            importers: Engines that may import KV caches, none of them under notice.
            reclaim_at_ms: Time in milliseconds at which the engines are reclaimed.
            now_ms: Current time in milliseconds.
            migrations_allowed: Whether requests may be migrated; if not, all requests
                that can't finish in time are handed over.
        """
        running = {request.request_id for request in requests}
        for request_id in [key for key in self.migrations if key not in running]:
            del self.migrations[request_id]
        available = {importer.backend_id for importer in importers}
        steps: list[ReclaimStep] = []
        for migration in list(self.migrations.values()):
            steps += self._advance_migration(
                migration, available, reclaim_at_ms, now_ms
            )
        waiting = [
            replace(
                request,
                excluded=frozenset(self.failed_importers.get(request.request_id, ())),
            )
            for request in requests
            if request.request_id not in self.migrations
            and self.settled.get(request.request_id) != request.backend_id
        ]
        self.plans = plan_actions(
            waiting,
            importers,
            reclaim_at_ms,
            self.limits,
            now_ms,
            migrations_allowed,
            self._busy_until_ms(),
        )
        for plan in self.plans:
            steps += self._start_planned(plan, now_ms)
        return steps

    def on_exported(
        self, request_id: RequestId, handle: KvHandle, tokens: int, now_ms: int
    ) -> None:
        """Record a completed export.

        Args:
            request_id: The request.
            handle: Handle of the KV cache at the source.
            tokens: Number of exported KV cache tokens.
            now_ms: Current time in milliseconds.
        """
        migration = self.migrations.get(request_id)
        if migration is None or migration.stage is not MigrationStage.EXPORTING:
            return
        migration.handle, migration.tokens = handle, tokens
        migration.stage, migration.since_ms = MigrationStage.EXPORTED, now_ms

    def on_imported(self, request_id: RequestId, handle: KvHandle, now_ms: int) -> None:
        """Record a completed import.

        Args:
            request_id: The request.
            handle: Handle of the KV cache at the importer.
            now_ms: Current time in milliseconds.
        """
        migration = self.migrations.get(request_id)
        if migration is None or migration.stage is not MigrationStage.IMPORTING:
            return
        migration.handle = handle
        migration.stage, migration.since_ms = MigrationStage.IMPORTED, now_ms

    def on_failed(self, request_id: RequestId) -> None:
        """Record a failed export or import; the next `step` plans the request again.

        The importer of the failed migration is not chosen again for the request.
        """
        migration = self.migrations.pop(request_id, None)
        if migration is not None:
            self.failed_importers.setdefault(request_id, set()).add(migration.importer)

    def forget(self, request_id: RequestId) -> None:
        """Remove the state of a request that ended or now runs on another engine."""
        self.migrations.pop(request_id, None)
        self.settled.pop(request_id, None)
        self.failed_importers.pop(request_id, None)

    def _busy_until_ms(self) -> dict[BackendId, int]:
        busy_until_ms: dict[BackendId, int] = {}
        for migration in self.migrations.values():
            until_ms = migration.since_ms + self.limits.migration_ms(migration.tokens)
            for engine in (migration.source, migration.importer):
                busy_until_ms[engine] = max(until_ms, busy_until_ms.get(engine, 0))
        return busy_until_ms

    def _advance_migration(
        self,
        migration: Migration,
        available: set[BackendId],
        reclaim_at_ms: int,
        now_ms: int,
    ) -> list[ReclaimStep]:
        if now_ms >= reclaim_at_ms:
            del self.migrations[migration.request_id]
            self.settled[migration.request_id] = migration.source
            return [HandOver(migration.request_id, "its engine was reclaimed")]
        if migration.importer not in available:
            # The importer is under notice itself or has stopped.
            self.on_failed(migration.request_id)
            return []
        if migration.stage is MigrationStage.EXPORTED:
            migration.stage, migration.since_ms = MigrationStage.IMPORTING, now_ms
            return [
                ImportKv(
                    migration.request_id,
                    migration.source,
                    migration.handle,
                    migration.importer,
                )
            ]
        if migration.stage is MigrationStage.IMPORTED:
            del self.migrations[migration.request_id]
            self.settled[migration.request_id] = migration.source
            return [
                ResumeAt(migration.request_id, migration.importer, migration.handle)
            ]
        allowed_ms = (
            3 * self.limits.migration_ms(migration.tokens) + self.limits.margin_ms
        )
        if now_ms - migration.since_ms > allowed_ms:
            self.on_failed(migration.request_id)
        return []

    def _start_planned(self, plan: RequestPlan, now_ms: int) -> list[ReclaimStep]:
        request = plan.request
        if plan.action is ReclaimAction.FINISH:
            return []
        importer = plan.importer
        if plan.action is ReclaimAction.HAND_OVER or importer is None:
            self.settled[request.request_id] = request.backend_id
            return [HandOver(request.request_id, plan.reason)]
        busy_until_ms = any(
            request.backend_id == migration.source or importer == migration.importer
            for migration in self.migrations.values()
        )
        if busy_until_ms or plan.start_ms > now_ms:
            return []
        self.migrations[request.request_id] = Migration(
            request.request_id,
            request.backend_id,
            importer,
            MigrationStage.EXPORTING,
            now_ms,
            request.kv_tokens,
        )
        return [ExportKv(request.request_id, request.backend_id)]


def make_reclaim_migrations(limits: LinkLimits | None = None) -> ReclaimMigrations:
    """Return the state of a process without migrations.

    Args:
        limits: Limits on the transfer of KV caches; None for the default limits.
    """
    return ReclaimMigrations(limits or LinkLimits())
