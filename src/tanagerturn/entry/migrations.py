"""Actor that migrates this process's streams off leaving engines.

Each entry process decides about its own streams, from the announcements of engines
and the recorded notices, so that a reclaim proceeds without a control process. It
exports the KV cache at the leaving engine, imports the cache at another engine and
resumes the stream there. Streams that can't be migrated are handed over at once: they
resume at any engine, which recomputes the KV cache.
"""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any, Final

import orjson
import pykka

from tanagerturn.actors import ask
from tanagerturn.clocks import wall_ms
from tanagerturn.entry.directory import GetReclaimState
from tanagerturn.entry.transport import (
    BackendRequest,
    BrokenCallError,
    NothingSentError,
)
from tanagerturn.observe.logs import component_logger
from tanagerturn.schema.settings_pb2 import HAND_OVER
from tanagerturn.serving.backends.messages import RequestId
from tanagerturn.serving.reclaims.messages import KvHandle, LinkLimits
from tanagerturn.serving.reclaims.migrations import (
    ExportKv,
    HandOver,
    ImportKv,
    ReclaimMigrations,
    ResumeAt,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.entry.directory import ReclaimState
    from tanagerturn.entry.generation_run import GenerationRun
    from tanagerturn.entry.transport import BackendTransport
    from tanagerturn.serving.backends.messages import BackendId
    from tanagerturn.shared.resolved_settings import ResolvedSettings

log = component_logger("moves")

PLANNING_PERIOD_S: Final = 0.2
MIGRATION_THREADS: Final = 8
EXPORT_TIMEOUT_S: Final = 2.0
IMPORT_TIMEOUT_S: Final = 10.0


@dataclass(frozen=True)
class MigrationTarget:
    """Engine and KV cache with which a stream resumes."""

    importer: BackendId | None
    """Engine that imported the KV cache; None for any engine, without the cache."""
    handle: KvHandle
    """Handle of the KV cache at the importer; empty without an importer."""


@dataclass(frozen=True)
class Tick:
    """Periodic trigger of the planning."""


@dataclass(frozen=True)
class Exported:
    """Reports the end of an export."""

    pool: Pool
    """Engines among which the stream migrates."""
    request_id: RequestId
    """Id of the stream's request."""
    handle: KvHandle | None
    """Handle of the KV cache at the source; None if the export failed."""
    tokens: int
    """Size of the KV cache in tokens; 0 if the export failed."""


@dataclass(frozen=True)
class Imported:
    """Reports the end of an import."""

    pool: Pool
    """Engines among which the stream migrates."""
    request_id: RequestId
    """Id of the stream's request."""
    handle: KvHandle | None
    """Handle of the KV cache at the importer; None if the import failed."""


@dataclass(frozen=True)
class Dump:
    """Requests the actor's state for a dump."""


@dataclass(frozen=True)
class Pool:
    """Engines of one service and model, among which streams can migrate."""

    service: str
    """Name of the service."""
    model: str
    """Name of the model."""


class RunningGenerations:
    """Set of the running streams; thread-safe."""

    def __init__(self) -> None:
        self.runs: dict[RequestId, GenerationRun] = {}
        """Streams by request id."""
        self.lock = threading.Lock()
        """Guards `runs`."""

    def add(self, run: GenerationRun) -> None:
        """Add a stream that begins."""
        with self.lock:
            self.runs[RequestId(run.call.request_id)] = run

    def remove(self, run: GenerationRun) -> None:
        """Remove a stream that has ended."""
        with self.lock:
            self.runs.pop(RequestId(run.call.request_id), None)

    def list(self) -> list[GenerationRun]:
        """Return a copy of the list of running streams."""
        with self.lock:
            return list(self.runs.values())


class MovesActor(pykka.ThreadingActor):
    """Plans and runs the migrations of this process's streams.

    Args:
        directory: Actor that tracks the backend servers.
        transport: Sends requests to backend servers.
        generations: Running streams of this process.
        current_settings: Function that returns the resolved settings in force.
    """

    use_daemon_thread = True

    def __init__(
        self,
        directory: pykka.ActorRef[Any],
        transport: BackendTransport,
        generations: RunningGenerations,
        current_settings: Callable[[], ResolvedSettings],
    ) -> None:
        super().__init__()
        self.directory = directory
        """Actor that tracks the backend servers."""
        self.transport = transport
        """Sends requests to backend servers."""
        self.generations = generations
        """Running streams of this process."""
        self.current_settings = current_settings
        """Function that returns the resolved settings in force."""
        self.migrations: dict[Pool, ReclaimMigrations] = {}
        """Migrations by pool of engines."""
        self.threads = ThreadPoolExecutor(MIGRATION_THREADS, "moves")
        """Threads that run exports and imports."""
        self.counts = {"moved": 0, "handed_over": 0, "failed": 0}
        """Number of streams migrated and handed over, and of failed transfers."""

    def on_stop(self) -> None:
        """Stop the threads."""
        self.threads.shutdown(wait=False, cancel_futures=True)

    def on_receive(self, message: Any) -> Any:
        """Handle a message."""
        return self.handle(message)

    @singledispatchmethod
    def handle(self, message: object) -> Any:
        """Handle one kind of message."""
        raise TypeError(f"unknown message {message!r}")

    @handle.register(Tick)
    def on_tick(self, message: Tick) -> None:
        """Plan the streams on leaving engines and run the decided steps."""
        pools: dict[Pool, list[GenerationRun]] = {}
        for run in self.generations.list():
            pool = Pool(run.call.service.name, str(run.call.payload["model"]))
            pools.setdefault(pool, []).append(run)
        for pool in [pool for pool in self.migrations if pool not in pools]:
            del self.migrations[pool]
        for pool, runs in pools.items():
            self._plan_and_apply(pool, runs)

    @handle.register(Exported)
    def on_exported(self, message: Exported) -> None:
        """Continue a migration, or plan again if the export failed."""
        migrations = self.migrations.get(message.pool)
        if migrations is None:
            return
        if message.handle is None:
            self.counts["failed"] += 1
            migrations.on_failed(message.request_id)
        else:
            migrations.on_exported(
                message.request_id, message.handle, message.tokens, wall_ms()
            )
        self.on_tick(Tick())

    @handle.register(Imported)
    def on_imported(self, message: Imported) -> None:
        """Resume the stream at the importer, or plan again if the import failed."""
        migrations = self.migrations.get(message.pool)
        if migrations is None:
            return
        if message.handle is None:
            self.counts["failed"] += 1
            migrations.on_failed(message.request_id)
        else:
            migrations.on_imported(message.request_id, message.handle, wall_ms())
        self.on_tick(Tick())

    @handle.register(Dump)
    def on_dump(self, message: Dump) -> dict[str, Any]:
        """Return the state for a dump."""
        in_progress = [
            list(migrations.migrations.values())
            for migrations in self.migrations.values()
        ]
        return {"counts": dict(self.counts), "under_way": in_progress}

    def _plan_and_apply(self, pool: Pool, runs: list[GenerationRun]) -> None:
        self._forget_ended(pool, runs)
        now_ms = wall_ms()
        running_requests = [run.make_running_request(now_ms) for run in runs]
        mean_tokens = sum(each.kv_tokens for each in running_requests) / len(
            running_requests
        )
        reclaim_state = ask(
            self.directory, GetReclaimState(pool.service, pool.model, mean_tokens)
        )
        leaving_runs = [run for run in runs if run.backend_id in reclaim_state.sources]
        if not leaving_runs:
            return
        migrations = self.migrations.setdefault(pool, ReclaimMigrations(LinkLimits()))
        migrations.limits = LinkLimits().share(reclaim_state.fraction)
        at_ms = min(
            reclaim_state.sources[run.backend_id].stops_at_ms for run in leaving_runs
        )
        steps = migrations.step(
            [
                each
                for each in running_requests
                if each.backend_id in reclaim_state.sources
            ],
            reclaim_state.importers,
            at_ms,
            now_ms,
            self.current_settings().settings.policies.reclaim != HAND_OVER,
        )
        runs_by_id = {run.call.request_id: run for run in leaving_runs}
        for step in steps:
            run = runs_by_id.get(step.request_id)
            if run is not None:
                self.apply_step(step, pool, run, reclaim_state)

    def _forget_ended(self, pool: Pool, runs: list[GenerationRun]) -> None:
        migrations = self.migrations.get(pool)
        if migrations is None:
            return
        running = {run.call.request_id for run in runs}
        for request_id in (
            migrations.settled.keys() | migrations.failed_importers.keys()
        ) - running:
            migrations.forget(request_id)

    @singledispatchmethod
    def apply_step(
        self, step: object, pool: Pool, run: GenerationRun, reclaim_state: ReclaimState
    ) -> None:
        """Apply one planned step to its stream."""
        raise TypeError(f"unknown step {step!r}")

    @apply_step.register(ExportKv)
    def _(
        self,
        step: ExportKv,
        pool: Pool,
        run: GenerationRun,
        reclaim_state: ReclaimState,
    ) -> None:
        address = reclaim_state.sources[step.source].address
        self.threads.submit(self._export, step, pool, address)

    @apply_step.register(ImportKv)
    def _(
        self,
        step: ImportKv,
        pool: Pool,
        run: GenerationRun,
        reclaim_state: ReclaimState,
    ) -> None:
        source = reclaim_state.sources[step.source].address
        importer = reclaim_state.addresses[step.importer]
        self.threads.submit(self._import, step, pool, source, importer)

    @apply_step.register(ResumeAt)
    def _(
        self,
        step: ResumeAt,
        pool: Pool,
        run: GenerationRun,
        reclaim_state: ReclaimState,
    ) -> None:
        self.counts["moved"] += 1
        run.migration_target = MigrationTarget(step.importer, step.handle)
        log.info("Stream {} resumes at importer {}.", step.request_id, step.importer)

    @apply_step.register(HandOver)
    def _(
        self,
        step: HandOver,
        pool: Pool,
        run: GenerationRun,
        reclaim_state: ReclaimState,
    ) -> None:
        self.counts["handed_over"] += 1
        run.migration_target = MigrationTarget(None, KvHandle(""))
        log.info(
            "Stream {} is handed over without its KV cache: {}.",
            step.request_id,
            step.reason,
        )

    def _export(self, step: ExportKv, pool: Pool, address: str) -> None:
        body = {"request_id": step.request_id}
        found = self._post(address, "/engine/kv/export", body, EXPORT_TIMEOUT_S)
        handle = KvHandle(str(found["handle"])) if found else None
        tokens = int(found.get("tokens", 0)) if found else 0
        self.actor_ref.tell(Exported(pool, step.request_id, handle, tokens))

    def _import(self, step: ImportKv, pool: Pool, source: str, importer: str) -> None:
        body = {
            "source": source,
            "handle": step.handle,
            "request_id": step.request_id,
        }
        found = self._post(importer, "/engine/kv/import", body, IMPORT_TIMEOUT_S)
        handle = KvHandle(str(found["handle"])) if found else None
        self.actor_ref.tell(Imported(pool, step.request_id, handle))

    def _post(
        self, address: str, path: str, body: dict[str, Any], timeout_s: float
    ) -> dict[str, Any] | None:
        headers = {"Content-Type": "application/json"}
        request = BackendRequest(
            address, "POST", path, headers, orjson.dumps(body), timeout_s
        )
        try:
            response = self.transport.call(request)
            found = orjson.loads(response.body) if response.status == 200 else None
        except (NothingSentError, BrokenCallError, orjson.JSONDecodeError) as error:
            log.warning("Export or import of a KV cache failed: {}", error)
            return None
        return found if isinstance(found, dict) and "handle" in found else None


class MigrationTicker:
    """Triggers the planning of `MovesActor` periodically.

    Args:
        migrations: The `MovesActor`.
    """

    def __init__(self, migrations: pykka.ActorRef[Any]) -> None:
        self.migrations = migrations
        """The `MovesActor`."""
        self.stopping = threading.Event()
        """Set to stop the thread."""
        self.thread = threading.Thread(target=self._run, name="moves", daemon=True)
        """Thread that sends the ticks."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the ticks."""
        self.stopping.set()
        self.thread.join()

    def _run(self) -> None:
        while not self.stopping.wait(PLANNING_PERIOD_S):
            if self.migrations.is_alive():
                self.migrations.tell(Tick())
