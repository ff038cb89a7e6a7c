"""Pure model of an engine; the present time is passed in, in milliseconds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.schema.serving_pb2 import Announcement, LoadReport
from tanagerturn.serving.cache.blocks import BLOCK_TOKENS
from tanagerturn.standins.engine._batch import MS_PER_S, Batch
from tanagerturn.standins.engine._orders import OrderBook
from tanagerturn.standins.engine._sequence import Sequence
from tanagerturn.standins.engine.cache import PrefixCache
from tanagerturn.standins.engine.messages import Chunk, FinishReason, KvCache

if TYPE_CHECKING:
    from tanagerturn.standins.engine.config import EngineConfig
    from tanagerturn.standins.engine.messages import Generation


class EngineModel:
    """Continuous batching with a prefix cache; safe for one thread.

    Args:
        config: What the engine is and how fast it works.
    """

    def __init__(self, config: EngineConfig) -> None:
        self.config = config
        """What the engine is and how fast it works."""
        self.cache = PrefixCache(config)
        """Prefix cache."""
        self.batch = Batch(config, self.cache, self._imported_tokens)
        """Waiting and running requests."""
        self.orders = OrderBook(config)
        """Orders and loaded models."""
        self.exported: dict[str, KvCache] = {}
        """KV caches that others may fetch, by handle."""
        self.imported: dict[str, KvCache] = {}
        """KV caches fetched from others, by handle."""
        self.step_ends_at_ms: float | None = None
        """End of the present step; None while idle."""
        self.leaving_at_ms: float | None = None
        """Time at which the host goes; None while it stays."""
        self.load = LoadReport()
        """Load as last read."""
        self.load_read_at_ms = float("-inf")
        """When the load was last read."""
        self.tokens_generated = 0
        """Tokens generated in all."""
        self.tokens_recomputed = 0
        """Prompt and continuation tokens computed again on resumes."""
        self.tokens_at_reading = 0
        """Tokens generated when the load was last read."""
        self.submitted = 0
        """Requests taken in all."""

    def submit(self, generation: Generation, now_ms: float) -> bool:
        """Take a request.

        Args:
            generation: What to generate, at least one token; an id that is
                running is refused.
            now_ms: Present time.

        Returns:
            False when the queue is full, the id is already there, or no token is
            left to generate.
        """
        if len(self.batch.waiting) >= self.config.queue_limit:
            return False
        if self._find(generation.request_id) is not None:
            return False
        if generation.resume_from >= generation.max_tokens:
            return False
        self.submitted += 1
        self.batch.waiting.append(Sequence(generation, self.submitted))
        if self.step_ends_at_ms is None:
            self._begin_step(now_ms)
        return True

    def advance(self, now_ms: float) -> list[Chunk]:
        """Run the steps that end by now.

        Args:
            now_ms: Present time.

        Returns:
            Tokens and ends, in the order in which they came about.
        """
        chunks: list[Chunk] = []
        self.orders.advance(now_ms)
        while self.step_ends_at_ms is not None and self.step_ends_at_ms <= now_ms:
            ended_at_ms = self.step_ends_at_ms
            chunks += self._end_step(ended_at_ms)
            self._begin_step(ended_at_ms)
        self._read_load(now_ms)
        return chunks

    def cancel(self, request_id: str) -> Chunk | None:
        """End a request; None when it is not there."""
        sequence = self._find(request_id)
        if sequence is None:
            return None
        return self._finish(sequence, FinishReason.CANCELLED)

    def export_kv(self, request_id: str) -> KvCache | None:
        """Offer the KV cache of a running request; None when there is none."""
        sequence = self._find(request_id)
        if sequence is None or sequence not in self.batch.running:
            return None
        if sequence.to_prefill > 0:
            return None
        handle = f"{self.config.id}-{len(self.exported) + 1}"
        tokens = sequence.prompt_tokens + sequence.next_token
        exported = KvCache(handle, request_id, sequence.digest, tokens)
        self.exported[handle] = exported
        return exported

    def import_kv(self, source: KvCache) -> KvCache | None:
        """Take a KV cache in; None when there is no room."""
        held = sum(imported.tokens for imported in self.imported.values())
        used = held + self.batch.kv_used_tokens
        if used + source.tokens > self.config.kv_tokens:
            return None
        handle = f"{self.config.id}-in-{self.submitted}-{len(self.imported) + 1}"
        taken = KvCache(handle, source.request_id, source.prompt_digest, source.tokens)
        self.imported[handle] = taken
        return taken

    def announcement(
        self, address: str, cache_after: int, now_ms: float
    ) -> Announcement:
        """Build the announcement for a receiver.

        Args:
            address: IP number and port of the engine.
            cache_after: Last cache event that the receiver has without a gap.
            now_ms: Present time, as wall clock.

        Returns:
            The announcement without incarnation and sequence.
        """
        config = self.config
        leaving_in_ms = 0.0
        if self.leaving_at_ms is not None:
            leaving_in_ms = max(0.0, self.leaving_at_ms - now_ms)
        return Announcement(
            id=config.id,
            address=address,
            services=config.services,
            models=self.orders.models.values(),
            role=self.orders.role,
            availability_zone=config.availability_zone,
            host_class=config.host_class,
            reclaimable=config.reclaimable,
            price_per_hour=config.price_per_hour,
            checks_fencing=config.checks_fencing,
            load=self.load,
            cache_events=self.cache.events_after(cache_after, now_ms),
            leaving=self.leaving_at_ms is not None,
            leaving_in_ms=int(leaving_in_ms),
            slots=config.slots,
            kv_tokens=config.kv_tokens,
            orders=self.orders.outcomes,
        )

    def _imported_tokens(self, sequence: Sequence) -> int:
        imported = self.imported.pop(sequence.generation.kv_handle, None)
        if imported is None or imported.prompt_digest != sequence.digest:
            return 0
        return imported.tokens

    def _find(self, request_id: str) -> Sequence | None:
        for sequence in (*self.batch.running, *self.batch.waiting):
            if sequence.generation.request_id == request_id:
                return sequence
        return None

    def _begin_step(self, now_ms: float) -> None:
        if not self.batch.running and not self.batch.waiting:
            self.step_ends_at_ms = None
            return
        self.step_ends_at_ms = now_ms + self.batch.begin_step(now_ms)

    def _end_step(self, now_ms: float) -> list[Chunk]:
        chunks = []
        for sequence in self.batch.end_step(now_ms):
            generation = sequence.generation
            self.tokens_generated += 1
            chunks.append(
                Chunk(
                    generation.request_id,
                    generation.attempt,
                    offset=sequence.next_token - 1,
                    tokens=1,
                )
            )
            if sequence.done:
                chunks.append(self._finish(sequence, FinishReason.LENGTH))
        return chunks + self._expire(now_ms)

    def _expire(self, now_ms: float) -> list[Chunk]:
        sequences = (*self.batch.running, *self.batch.waiting)
        return [
            self._finish(sequence, FinishReason.DEADLINE)
            for sequence in sequences
            if sequence.generation.deadline_at_ms < now_ms
        ]

    def _finish(self, sequence: Sequence, reason: FinishReason) -> Chunk:
        self.batch.remove(sequence)
        usage = sequence.usage()
        self.tokens_recomputed += usage.recomputed_tokens
        generation = sequence.generation
        return Chunk(
            generation.request_id,
            generation.attempt,
            offset=sequence.next_token,
            tokens=0,
            finish=reason,
            usage=usage,
        )

    def _read_load(self, now_ms: float) -> None:
        passed_ms = now_ms - self.load_read_at_ms
        if passed_ms < self.config.load_lag_ms:
            return
        self.load_read_at_ms = now_ms
        generated = self.tokens_generated - self.tokens_at_reading
        self.tokens_at_reading = self.tokens_generated
        if self.config.load_stuck:
            self.load = LoadReport(read_at_ms=int(now_ms))
            return
        cached = len(self.cache.blocks) * BLOCK_TOKENS
        used = self.batch.kv_used_tokens + cached
        self.load = LoadReport(
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            kv_used=min(1.0, used / self.config.kv_tokens),
            tokens_per_s=generated * MS_PER_S / passed_ms,
            read_at_ms=int(now_ms),
        )
