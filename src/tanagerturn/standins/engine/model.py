"""Model of an engine without I/O; callers pass the current time in milliseconds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.schema.serving_pb2 import Announcement, LoadReport
from tanagerturn.serving.cache.blocks import BLOCK_TOKENS
from tanagerturn.standins.engine._batch import MS_PER_S, Batch
from tanagerturn.standins.engine._orders import OrderExecutor
from tanagerturn.standins.engine._sequence import Sequence
from tanagerturn.standins.engine.cache import PrefixCache
from tanagerturn.standins.engine.messages import Chunk, FinishReason, KvCache

if TYPE_CHECKING:
    from tanagerturn.standins.engine.config import EngineConfig
    from tanagerturn.standins.engine.messages import Generation


class EngineModel:
    """Continuous batching with a prefix cache; not thread-safe.

    Args:
        config: Configuration of the engine.
    """

    def __init__(self, config: EngineConfig) -> None:
        self.config = config
        """Configuration of the engine."""
        self.cache = PrefixCache(config)
        """Prefix cache."""
        self.batch = Batch(config, self.cache, self._consume_imported_tokens)
        """Waiting and running sequences."""
        self.orders = OrderExecutor(config)
        """Executes orders; holds the models and the role that they set."""
        self.exported: dict[str, KvCache] = {}
        """KV caches that other engines may fetch, by handle."""
        self.imported: dict[str, KvCache] = {}
        """KV caches from other engines that no sequence has used yet, by handle."""
        self.step_ends_at_ms: float | None = None
        """Time at which the current step ends, in milliseconds; None while idle."""
        self.leaving_at_ms: float | None = None
        """Time at which the engine stops, in milliseconds; None if it is not
        leaving."""
        self.load = LoadReport()
        """Announced load, as of the last update."""
        self.load_updated_at_ms = float("-inf")
        """Time of the last update of `load`, in milliseconds."""
        self.tokens_generated = 0
        """Number of tokens generated for all requests."""
        self.tokens_recomputed = 0
        """Number of tokens of ended requests that were computed again after a resume or
        a preemption."""
        self.tokens_at_load_update = 0
        """Value of `tokens_generated` at the last update of `load`."""
        self.submitted_count = 0
        """Number of accepted requests."""

    def submit(self, generation: Generation, now_ms: float) -> bool:
        """Accept or refuse a request.

        Args:
            generation: The requested generation.
            now_ms: Current time, in milliseconds.

        Returns:
            False if the queue is full, a request of this id waits or runs, or no
            token is left to generate.
        """
        if len(self.batch.waiting) >= self.config.max_waiting:
            return False
        if self._find(generation.request_id) is not None:
            return False
        if generation.resume_from >= generation.max_tokens:
            return False
        self.submitted_count += 1
        self.batch.waiting.append(Sequence(generation, self.submitted_count))
        if self.step_ends_at_ms is None:
            self._begin_step(now_ms)
        return True

    def advance(self, now_ms: float) -> list[Chunk]:
        """Run the steps that end by `now_ms`, complete loads and update the load.

        Args:
            now_ms: Current time, in milliseconds.

        Returns:
            The chunks of all requests, in the order in which they were produced.
        """
        chunks: list[Chunk] = []
        self.orders.advance(now_ms)
        while self.step_ends_at_ms is not None and self.step_ends_at_ms <= now_ms:
            ended_at_ms = self.step_ends_at_ms
            chunks += self._end_step(ended_at_ms)
            self._begin_step(ended_at_ms)
        self._update_load(now_ms)
        return chunks

    def cancel(self, request_id: str) -> Chunk | None:
        """Cancel a request.

        Returns:
            The last chunk of the request; None if the request neither waits nor runs.
        """
        sequence = self._find(request_id)
        if sequence is None:
            return None
        return self._finish(sequence, FinishReason.CANCELLED)

    def export_kv(self, request_id: str) -> KvCache | None:
        """Export the KV cache of a running request for other engines to fetch.

        Returns:
            The KV cache; None if the request does not run or is still in prefill.
        """
        sequence = self._find(request_id)
        if sequence is None or sequence not in self.batch.running:
            return None
        if sequence.tokens_to_prefill > 0:
            return None
        handle = f"{self.config.id}-{len(self.exported) + 1}"
        tokens = sequence.prompt_tokens + sequence.next_token
        exported = KvCache(handle, request_id, sequence.digest, tokens)
        self.exported[handle] = exported
        return exported

    def import_kv(self, source: KvCache) -> KvCache | None:
        """Import a KV cache for a later request.

        Args:
            source: The KV cache as its source engine exported it.

        Returns:
            The KV cache with its handle at this engine; None if the KV cache exceeds
            the free capacity.
        """
        imported_tokens = sum(cache.tokens for cache in self.imported.values())
        used_tokens = imported_tokens + self.batch.kv_used_tokens
        if used_tokens + source.tokens > self.config.kv_tokens:
            return None
        handle = f"{self.config.id}-in-{self.submitted_count}-{len(self.imported) + 1}"
        imported = KvCache(
            handle, source.request_id, source.prompt_digest, source.tokens
        )
        self.imported[handle] = imported
        return imported

    def announcement(
        self, address: str, cache_after: int, now_ms: float
    ) -> Announcement:
        """Build the announcement for one receiver.

        Args:
            address: IP address and port of the engine.
            cache_after: Sequence up to which the receiver has all cache events.
            now_ms: Current time, in milliseconds.

        Returns:
            The announcement; its incarnation, sequence and heartbeat are not set.
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

    def _consume_imported_tokens(self, sequence: Sequence) -> int:
        """Remove the KV cache that a sequence imports; return its number of tokens.

        Returns 0 if there is no KV cache, or if it was computed for another prompt.
        """
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
            if sequence.is_done:
                chunks.append(self._finish(sequence, FinishReason.LENGTH))
        return chunks + self._finish_expired(now_ms)

    def _finish_expired(self, now_ms: float) -> list[Chunk]:
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

    def _update_load(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self.load_updated_at_ms
        if elapsed_ms < self.config.load_lag_ms:
            return
        self.load_updated_at_ms = now_ms
        generated = self.tokens_generated - self.tokens_at_load_update
        self.tokens_at_load_update = self.tokens_generated
        if self.config.reports_zero_load:
            self.load = LoadReport(read_at_ms=int(now_ms))
            return
        cached_tokens = len(self.cache.blocks) * BLOCK_TOKENS
        used_tokens = self.batch.kv_used_tokens + cached_tokens
        self.load = LoadReport(
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            kv_used=min(1.0, used_tokens / self.config.kv_tokens),
            tokens_per_s=generated * MS_PER_S / elapsed_ms,
            read_at_ms=int(now_ms),
        )
