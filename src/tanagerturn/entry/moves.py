"""Actor that moves this process's streams off engines that leave.

Each entry process decides for its own streams, from what engines and notices
tell it, so that a reclaim goes on when no control process is there. It exports
the KV cache at the leaving engine, imports it at another one, and lets the
stream go on there; streams that can't be moved are handed over at once.
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
from tanagerturn.entry.directory import Reclaiming
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

    from tanagerturn.entry.directory import Situation
    from tanagerturn.entry.draft_run import DraftRun
    from tanagerturn.entry.transport import BackendTransport
    from tanagerturn.serving.backends.messages import BackendId
    from tanagerturn.shared.resolved_settings import ResolvedSettings

log = component_logger("moves")

PERIOD_S: Final = 0.2
MOVE_THREADS: Final = 8
EXPORT_TIMEOUT_S: Final = 2.0
IMPORT_TIMEOUT_S: Final = 10.0


@dataclass(frozen=True)
class Moved:
    """Where a stream goes on."""

    importer: BackendId | None
    """Engine that has the KV cache; None: any engine, without it."""
    handle: KvHandle
    """Handle of the KV cache at that engine."""


@dataclass(frozen=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True)
class Exported:
    """An export has ended."""

    pool: Pool
    """Engines of the move."""
    request_id: RequestId
    """Request of the stream."""
    handle: KvHandle | None
    """Handle at the source; None when it failed."""
    tokens: int
    """Tokens of KV cache."""


@dataclass(frozen=True)
class Imported:
    """An import has ended."""

    pool: Pool
    """Engines of the move."""
    request_id: RequestId
    """Request of the stream."""
    handle: KvHandle | None
    """Handle at the importer; None when it failed."""


@dataclass(frozen=True)
class Dump:
    """Asks for the actor's state."""


@dataclass(frozen=True)
class Pool:
    """Engines among which a stream can move."""

    service: str
    """Service."""
    model: str
    """Model."""


class RunningDrafts:
    """Streams that run now; safe for several threads."""

    def __init__(self) -> None:
        self.runs: dict[RequestId, DraftRun] = {}
        """Streams by request."""
        self.lock = threading.Lock()
        """Guards the streams."""

    def add(self, run: DraftRun) -> None:
        """Note a stream that begins."""
        with self.lock:
            self.runs[RequestId(run.call.request_id)] = run

    def remove(self, run: DraftRun) -> None:
        """Forget a stream that has ended."""
        with self.lock:
            self.runs.pop(RequestId(run.call.request_id), None)

    def list(self) -> list[DraftRun]:
        """Return the streams."""
        with self.lock:
            return list(self.runs.values())


class MovesActor(pykka.ThreadingActor):
    """Plans and carries out the moves of this process's streams.

    Args:
        directory: Actor that knows the backend servers.
        transport: Sends requests to them.
        drafts: Streams that run now.
        site: Returns the settings in force.
    """

    use_daemon_thread = True

    def __init__(
        self,
        directory: pykka.ActorRef[Any],
        transport: BackendTransport,
        drafts: RunningDrafts,
        current_settings: Callable[[], ResolvedSettings],
    ) -> None:
        super().__init__()
        self.directory = directory
        """Actor that knows the backend servers."""
        self.transport = transport
        """Sends requests to them."""
        self.drafts = drafts
        """Streams that run now."""
        self.current_settings = current_settings
        """Returns the settings in force."""
        self.moves: dict[Pool, ReclaimMigrations] = {}
        """Moves under way by the engines among which they go."""
        self.threads = ThreadPoolExecutor(MOVE_THREADS, "moves")
        """Threads of exports and imports."""
        self.counts = {"moved": 0, "handed_over": 0, "failed": 0}
        """Streams by what became of them."""

    def on_stop(self) -> None:
        """End the threads."""
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
        """Decide about the streams on engines that leave."""
        pools: dict[Pool, list[DraftRun]] = {}
        for run in self.drafts.list():
            pool = Pool(run.call.service.name, str(run.call.payload["model"]))
            pools.setdefault(pool, []).append(run)
        for pool in [pool for pool in self.moves if pool not in pools]:
            del self.moves[pool]
        for pool, runs in pools.items():
            self._step(pool, runs)

    @handle.register(Exported)
    def on_exported(self, message: Exported) -> None:
        """Go on with a move, or try it elsewhere."""
        moves = self.moves.get(message.pool)
        if moves is None:
            return
        if message.handle is None:
            self.counts["failed"] += 1
            moves.on_failed(message.request_id)
        else:
            moves.on_exported(
                message.request_id, message.handle, message.tokens, wall_ms()
            )
        self.on_tick(Tick())

    @handle.register(Imported)
    def on_imported(self, message: Imported) -> None:
        """Let the stream go on at the importer, or try elsewhere."""
        moves = self.moves.get(message.pool)
        if moves is None:
            return
        if message.handle is None:
            self.counts["failed"] += 1
            moves.on_failed(message.request_id)
        else:
            moves.on_imported(message.request_id, message.handle, wall_ms())
        self.on_tick(Tick())

    @handle.register(Dump)
    def on_dump(self, message: Dump) -> dict[str, Any]:
        """Return the state."""
        under_way = [list(moves.moves.values()) for moves in self.moves.values()]
        return {"counts": dict(self.counts), "under_way": under_way}

    def _step(self, pool: Pool, runs: list[DraftRun]) -> None:
        self._forget_ended(pool, runs)
        now_ms = wall_ms()
        described = [run.describe(now_ms) for run in runs]
        mean_tokens = sum(each.kv_tokens for each in described) / len(described)
        situation = ask(
            self.directory, Reclaiming(pool.service, pool.model, mean_tokens)
        )
        leaving = [run for run in runs if run.backend_id in situation.sources]
        if not leaving:
            return
        moves = self.moves.setdefault(pool, ReclaimMigrations(LinkLimits()))
        moves.limits = LinkLimits().share(situation.fraction)
        at_ms = min(situation.sources[run.backend_id].stops_at_ms for run in leaving)
        steps = moves.step(
            [each for each in described if each.backend_id in situation.sources],
            situation.importers,
            at_ms,
            now_ms,
            self.current_settings().settings.policies.reclaim != HAND_OVER,
        )
        by_id = {run.call.request_id: run for run in leaving}
        for step in steps:
            run = by_id.get(step.request_id)
            if run is not None:
                self.carry_out(step, pool, run, situation)

    def _forget_ended(self, pool: Pool, runs: list[DraftRun]) -> None:
        moves = self.moves.get(pool)
        if moves is None:
            return
        running = {run.call.request_id for run in runs}
        for request_id in (
            moves.settled.keys() | moves.failed_importers.keys()
        ) - running:
            moves.forget(request_id)

    @singledispatchmethod
    def carry_out(
        self, step: object, pool: Pool, run: DraftRun, situation: Situation
    ) -> None:
        """Carry one decision out."""
        raise TypeError(f"unknown step {step!r}")

    @carry_out.register(ExportKv)
    def _(
        self, step: ExportKv, pool: Pool, run: DraftRun, situation: Situation
    ) -> None:
        address = situation.sources[step.source].address
        self.threads.submit(self._export, step, pool, address)

    @carry_out.register(ImportKv)
    def _(
        self, step: ImportKv, pool: Pool, run: DraftRun, situation: Situation
    ) -> None:
        source = situation.sources[step.source].address
        importer = situation.addresses[step.importer]
        self.threads.submit(self._import, step, pool, source, importer)

    @carry_out.register(ResumeAt)
    def _(
        self, step: ResumeAt, pool: Pool, run: DraftRun, situation: Situation
    ) -> None:
        self.counts["moved"] += 1
        run.moved = Moved(step.importer, step.handle)
        log.info("Stream {} goes on at {}.", step.request_id, step.importer)

    @carry_out.register(HandOver)
    def _(
        self, step: HandOver, pool: Pool, run: DraftRun, situation: Situation
    ) -> None:
        self.counts["handed_over"] += 1
        run.moved = Moved(None, KvHandle(""))
        log.info("Stream {} is handed over: {}.", step.request_id, step.reason)

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
            answer = self.transport.call(request)
            found = orjson.loads(answer.body) if answer.status == 200 else None
        except (NothingSentError, BrokenCallError, orjson.JSONDecodeError) as error:
            log.warning("Move failed: {}", error)
            return None
        return found if isinstance(found, dict) and "handle" in found else None


class MovesTicker:
    """Tells the moves actor that time passes.

    Args:
        moves: The actor.
    """

    def __init__(self, moves: pykka.ActorRef[Any]) -> None:
        self.moves = moves
        """The actor."""
        self.stopping = threading.Event()
        """Set at the end."""
        self.thread = threading.Thread(target=self._run, name="moves", daemon=True)
        """Thread that waits between ticks."""
        self.thread.start()

    def stop(self) -> None:
        """End the ticks."""
        self.stopping.set()
        self.thread.join()

    def _run(self) -> None:
        while not self.stopping.wait(PERIOD_S):
            if self.moves.is_alive():
                self.moves.tell(Tick())
