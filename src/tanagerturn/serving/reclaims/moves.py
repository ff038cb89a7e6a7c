"""Moves of KV caches under way, and what to do next for each.

One export at a time leaves an engine, and one import at a time enters one. A
move that fails is tried at another importer while time is left, and is handed
over otherwise. The stages can be written down and taken up again by another
process: a handle that was exported stays valid until its engine is gone.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

from tanagerturn.serving.reclaims.messages import NO_HANDLE, Fate, LinkLimits
from tanagerturn.serving.reclaims.plan import plan_fates

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from tanagerturn.serving.backends.messages import BackendId, RequestId
    from tanagerturn.serving.reclaims.messages import (
        Importer,
        KvHandle,
        RequestPlan,
        RunningRequest,
    )


class MoveStage(Enum):
    """How far a move is."""

    EXPORTING = "exporting"
    EXPORTED = "exported"
    IMPORTING = "importing"
    IMPORTED = "imported"


@dataclass
class Move:
    """One move under way."""

    request_id: RequestId
    """Request."""
    source: BackendId
    """Engine that exports."""
    importer: BackendId
    """Engine that imports."""
    stage: MoveStage
    """How far it is."""
    since_ms: int
    """When it came to this stage."""
    tokens: int = 0
    """Tokens of KV cache that it carries."""
    handle: KvHandle = NO_HANDLE
    """Handle at the source, then at the importer."""


@dataclass(frozen=True)
class ExportKv:
    """Export at the source; then call `on_exported` or `on_failed`."""

    request_id: RequestId
    """Request."""
    source: BackendId
    """Engine that exports."""


@dataclass(frozen=True)
class ImportKv:
    """Import from the source; then call `on_imported` or `on_failed`."""

    request_id: RequestId
    """Request."""
    source: BackendId
    """Engine that has exported."""
    handle: KvHandle
    """Handle at the source."""
    importer: BackendId
    """Engine that imports."""


@dataclass(frozen=True)
class ResumeAt:
    """Go on with the request at the importer, after its delivered tokens."""

    request_id: RequestId
    """Request."""
    importer: BackendId
    """Engine that has imported."""
    handle: KvHandle
    """Handle at the importer."""


@dataclass(frozen=True)
class HandOver:
    """Go on with the request elsewhere without KV cache."""

    request_id: RequestId
    """Request."""
    reason: str
    """Why it isn't moved."""


ReclaimStep = ExportKv | ImportKv | ResumeAt | HandOver


class ReclaimMoves:
    """Moves of one process's requests off engines under notice.

    Args:
        limits: How fast KV caches can be moved.
    """

    def __init__(self, limits: LinkLimits) -> None:
        self.limits = limits
        """How fast KV caches can be moved."""
        self.moves: dict[RequestId, Move] = {}
        """Moves under way."""
        self.settled: dict[RequestId, BackendId] = {}
        """Requests that were resumed or handed over, to the engine they left."""
        self.failed_at: dict[RequestId, set[BackendId]] = {}
        """Importers at which a request's move has failed."""
        self.plans: list[RequestPlan] = []
        """Last plan, for the state dump."""

    def adopt(self, moves: Iterable[Move]) -> None:
        """Take over recorded moves of a process that has ended.

        Exports and imports under way are done again: both are harmless twice.
        """
        for move in moves:
            self.moves[move.request_id] = move
            if move.stage is MoveStage.EXPORTING:
                del self.moves[move.request_id]
            elif move.stage is MoveStage.IMPORTING:
                move.stage = MoveStage.EXPORTED

    def step(
        self,
        requests: Sequence[RunningRequest],
        importers: Sequence[Importer],
        at_ms: int,
        now_ms: int,
        moves_allowed: bool = True,
    ) -> list[ReclaimStep]:
        """Return what to do now; call it on each event and twice a second.

        Args:
            requests: Requests that still run on engines under notice.
            importers: Engines that may take KV caches, none under notice.
            at_ms: When the engines are gone.
            now_ms: Present time.
            moves_allowed: False hands over all that can't finish.
        """
        running = {request.request_id for request in requests}
        for request_id in [key for key in self.moves if key not in running]:
            del self.moves[request_id]
        usable = {importer.backend_id for importer in importers}
        steps: list[ReclaimStep] = []
        for move in list(self.moves.values()):
            steps += self._advance(move, usable, at_ms, now_ms)
        waiting = [
            replace(
                request,
                excluded=frozenset(self.failed_at.get(request.request_id, ())),
            )
            for request in requests
            if request.request_id not in self.moves
            and self.settled.get(request.request_id) != request.backend_id
        ]
        self.plans = plan_fates(
            waiting,
            importers,
            at_ms,
            self.limits,
            now_ms,
            moves_allowed,
            self._busy_until_ms(),
        )
        for plan in self.plans:
            steps += self._begin(plan, now_ms)
        return steps

    def on_exported(
        self, request_id: RequestId, handle: KvHandle, tokens: int, now_ms: int
    ) -> None:
        """Note the handle of an export."""
        move = self.moves.get(request_id)
        if move is None or move.stage is not MoveStage.EXPORTING:
            return
        move.handle, move.tokens = handle, tokens
        move.stage, move.since_ms = MoveStage.EXPORTED, now_ms

    def on_imported(self, request_id: RequestId, handle: KvHandle, now_ms: int) -> None:
        """Note the handle of an import."""
        move = self.moves.get(request_id)
        if move is None or move.stage is not MoveStage.IMPORTING:
            return
        move.handle = handle
        move.stage, move.since_ms = MoveStage.IMPORTED, now_ms

    def on_failed(self, request_id: RequestId) -> None:
        """Note that an export or import failed; the move begins anew or ends."""
        move = self.moves.pop(request_id, None)
        if move is not None:
            self.failed_at.setdefault(request_id, set()).add(move.importer)

    def forget(self, request_id: RequestId) -> None:
        """Drop a request that ended, or runs on another engine now."""
        self.moves.pop(request_id, None)
        self.settled.pop(request_id, None)
        self.failed_at.pop(request_id, None)

    def _busy_until_ms(self) -> dict[BackendId, int]:
        busy: dict[BackendId, int] = {}
        for move in self.moves.values():
            until_ms = move.since_ms + self.limits.move_ms(move.tokens)
            for engine in (move.source, move.importer):
                busy[engine] = max(until_ms, busy.get(engine, 0))
        return busy

    def _advance(
        self, move: Move, usable: set[BackendId], at_ms: int, now_ms: int
    ) -> list[ReclaimStep]:
        if now_ms >= at_ms:
            del self.moves[move.request_id]
            self.settled[move.request_id] = move.source
            return [HandOver(move.request_id, "its engine is gone")]
        if move.importer not in usable:
            # The next wave has reached the importer, or it is gone.
            self.on_failed(move.request_id)
            return []
        if move.stage is MoveStage.EXPORTED:
            move.stage, move.since_ms = MoveStage.IMPORTING, now_ms
            return [ImportKv(move.request_id, move.source, move.handle, move.importer)]
        if move.stage is MoveStage.IMPORTED:
            del self.moves[move.request_id]
            self.settled[move.request_id] = move.source
            return [ResumeAt(move.request_id, move.importer, move.handle)]
        allowed_ms = 3 * self.limits.move_ms(move.tokens) + self.limits.margin_ms
        if now_ms - move.since_ms > allowed_ms:
            self.on_failed(move.request_id)
        return []

    def _begin(self, plan: RequestPlan, now_ms: int) -> list[ReclaimStep]:
        request = plan.request
        if plan.fate is Fate.FINISH:
            return []
        importer = plan.importer
        if plan.fate is Fate.HAND_OVER or importer is None:
            self.settled[request.request_id] = request.backend_id
            return [HandOver(request.request_id, plan.reason)]
        busy = any(
            request.backend_id == move.source or importer == move.importer
            for move in self.moves.values()
        )
        if busy or plan.start_ms > now_ms:
            return []
        self.moves[request.request_id] = Move(
            request.request_id,
            request.backend_id,
            importer,
            MoveStage.EXPORTING,
            now_ms,
            request.kv_tokens,
        )
        return [ExportKv(request.request_id, request.backend_id)]


def make_reclaim_moves(limits: LinkLimits | None = None) -> ReclaimMoves:
    """Return an empty set of moves.

    Args:
        limits: How fast KV caches can be moved.
    """
    return ReclaimMoves(limits or LinkLimits())
