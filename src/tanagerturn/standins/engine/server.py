"""HTTP server that runs an engine model in real time."""

from __future__ import annotations

import threading
import time
from collections import Counter
from dataclasses import asdict, dataclass
from queue import SimpleQueue
from typing import TYPE_CHECKING, Final

import urllib3

from tanagerturn.schema.serving_pb2 import OrderAction
from tanagerturn.standins._http import StandinHttpServer
from tanagerturn.standins.announcer import Announcer
from tanagerturn.standins.engine._handler import EngineHandler
from tanagerturn.standins.engine.model import EngineModel
from tanagerturn.standins.faults import FaultInjector

if TYPE_CHECKING:
    from tanagerturn.schema.serving_pb2 import Announcement, Order
    from tanagerturn.standins.engine.config import EngineConfig
    from tanagerturn.standins.engine.messages import Chunk, Generation, KvCache

MS_PER_S: Final = 1000.0
MAX_STEP_WAIT_S: Final = 0.1
"""Longest wait of the step thread for the end of a step or new work, in seconds."""
LEAVING_GRACE_MS: Final = 2000.0
"""Time after the engine announced that it is leaving, in milliseconds; generations
that arrive later count as late work."""
WEIGHTS_FETCH_TIMEOUT_S: Final = 30.0
"""Timeout for fetching weights from the weight store, in seconds."""
MAX_WEIGHTS_ATTEMPTS: Final = 50
"""Maximum number of attempts to fetch the weights of one order."""


@dataclass
class EngineCounts:
    """Counters of an engine, to compare with the outcomes that callers saw."""

    requests: int = 0
    """Number of submitted generations, refused generations included."""
    refused: int = 0
    """Number of generations that the engine's model refused."""
    cancelled: int = 0
    """Number of cancelled generations."""
    finished: int = 0
    """Number of generations that ended with all their tokens."""
    tokens_generated: int = 0
    """Number of generated tokens."""
    tokens_recomputed: int = 0
    """Number of tokens of ended requests that were computed again after a resume or a
    preemption."""
    late_work: int = 0
    """Number of generations submitted more than `LEAVING_GRACE_MS` after the engine
    announced that it is leaving."""
    exports: int = 0
    """Number of exported KV caches."""
    imports: int = 0
    """Number of imported KV caches."""


class EngineServer:
    """A stand-in engine that serves over HTTP.

    Args:
        config: Configuration of the engine.
    """

    def __init__(self, config: EngineConfig) -> None:
        self.config = config
        """Configuration of the engine."""
        self.model = EngineModel(config)
        """Model of the engine; guarded by `changed`."""
        self.changed = threading.Condition()
        """Guards `model` and `counts`; notified when the model has new work."""
        self.chunk_queues: dict[str, SimpleQueue[Chunk]] = {}
        """Queue of each waiting or running request's chunks, by request id."""
        self.faults = FaultInjector(config.faults)
        """Faults to inject into generations."""
        self.counts = EngineCounts()
        """Counters of the engine."""
        self.submissions_by_id: Counter[str] = Counter()
        """Number of submissions by request id."""
        self.stopped = threading.Event()
        """Set when the engine has stopped."""
        self.reclaim_timer: threading.Timer | None = None
        """Stops the engine at the end of a reclaim notice; None without a notice."""
        self.leaving_since_ms = float("inf")
        """Time at which the engine first announced that it is leaving, in
        milliseconds; infinite if it did not."""
        self.clock_offset_ms = time.time() * MS_PER_S - time.monotonic() * MS_PER_S
        """Wall-clock time at which the monotonic clock was 0, in milliseconds."""
        handler = type("BoundEngineHandler", (EngineHandler,), {"engine": self})
        self.http = StandinHttpServer(config.ip, config.port, handler)
        """HTTP server of the engine."""
        self.announcer = Announcer(
            config.announce_to,
            config.heartbeat_ms,
            self.build_announcement,
            config.announce_key,
        )
        """Announces the engine to entry hosts."""

    @property
    def address(self) -> str:
        """IP address and port of the engine."""
        return self.http.address

    def now_ms(self) -> float:
        """Return the wall-clock time in milliseconds; it never goes backwards."""
        return self.clock_offset_ms + time.monotonic() * MS_PER_S

    def start(self) -> None:
        """Start the HTTP server, the step thread and the announcements."""
        self.http.start(f"{self.config.id}-http")
        threading.Thread(
            target=self._run, name=f"{self.config.id}-steps", daemon=True
        ).start()
        self.announcer.start()

    def stop(self) -> None:
        """Announce that the engine is leaving, then stop it.

        Requests in flight are aborted.
        """
        if self.stopped.is_set():
            return
        self._mark_leaving(0.0)
        self.announcer.announce()
        self.kill()

    def kill(self) -> None:
        """Stop at once: reset all connections, without an announcement."""
        if self.reclaim_timer is not None:
            self.reclaim_timer.cancel()
        if self.stopped.is_set():
            return
        self.stopped.set()
        self.announcer.stop()
        with self.changed:
            self.changed.notify_all()
        self.http.abort()

    def reclaim(self, notice_ms: float, announced: bool = True) -> None:
        """Stop the engine after a reclaim notice.

        Args:
            notice_ms: Time until the engine is killed, in milliseconds.
            announced: Whether the engine announces that it is leaving.
        """
        if announced:
            self._mark_leaving(notice_ms)
            self.announcer.announce_soon()
        self.reclaim_timer = threading.Timer(notice_ms / MS_PER_S, self.kill)
        self.reclaim_timer.daemon = True
        self.reclaim_timer.start()

    def submit(self, generation: Generation) -> SimpleQueue[Chunk] | None:
        """Submit a generation to the model.

        Returns:
            Queue of the generation's chunks; None if the model refused it.
        """
        now_ms = self.now_ms()
        chunks: SimpleQueue[Chunk] = SimpleQueue()
        with self.changed:
            self.counts.requests += 1
            self.submissions_by_id[generation.request_id] += 1
            if now_ms > self.leaving_since_ms + LEAVING_GRACE_MS:
                self.counts.late_work += 1
            self._deliver(self.model.advance(now_ms))
            if not self.model.submit(generation, now_ms):
                self.counts.refused += 1
                return None
            self.chunk_queues[generation.request_id] = chunks
            self.changed.notify_all()
        return chunks

    def cancel(self, request_id: str) -> None:
        """Cancel a generation; a generation that neither waits nor runs is ignored."""
        with self.changed:
            self._deliver(self.model.advance(self.now_ms()))
            last_chunk = self.model.cancel(request_id)
            if last_chunk is not None:
                self.counts.cancelled += 1
                self._deliver([last_chunk])

    def export_kv(self, request_id: str) -> KvCache | None:
        """Export the KV cache of a running generation; see `EngineModel`."""
        with self.changed:
            exported = self.model.export_kv(request_id)
            self.counts.exports += exported is not None
        return exported

    def import_kv(self, source: KvCache) -> KvCache | None:
        """Import a fetched KV cache; see `EngineModel`."""
        with self.changed:
            imported = self.model.import_kv(source)
            self.counts.imports += imported is not None
        return imported

    def execute_order(self, order: Order) -> bool:
        """Execute an order; a new thread fetches the weights that the order needs.

        Returns:
            Whether the order is accepted; False if its fencing number is stale and
            the engine checks fencing numbers.
        """
        with self.changed:
            is_repeated = any(
                o.order_id == order.order_id for o in self.model.orders.accepted
            )
            is_accepted = self.model.orders.execute(order, self.now_ms())
        is_load = order.action in (OrderAction.LOAD_MODEL, OrderAction.LOAD_ADAPTER)
        if is_accepted and not is_repeated and is_load and self.config.weight_store_url:
            threading.Thread(
                target=self._fetch_weights, args=(order,), daemon=True
            ).start()
        self.announcer.announce_soon()
        return is_accepted

    def build_announcement(self, cache_after: int) -> Announcement:
        """Build the announcement for one receiver.

        Args:
            cache_after: Sequence up to which the receiver has all cache events.
        """
        with self.changed:
            return self.model.announcement(self.address, cache_after, self.now_ms())

    def load_headers(self) -> dict[str, str]:
        """Return the response headers that report the current load."""
        batch = self.model.batch
        return {
            "X-Load-Running": str(len(batch.running)),
            "X-Load-Waiting": str(len(batch.waiting)),
        }

    def count_values(self) -> dict[str, object]:
        """Return all counts as the JSON object of /standin/counts."""
        with self.changed:
            self.counts.tokens_generated = self.model.tokens_generated
            self.counts.tokens_recomputed = self.model.tokens_recomputed
            orders = [order.order_id for order in self.model.orders.accepted]
            faults = {f.value: n for f, n in self.faults.injected.items()}
            values: dict[str, object] = asdict(self.counts)
            return values | {"kind": "engine", "orders": orders, "faults": faults}

    def _mark_leaving(self, notice_ms: float) -> None:
        """Make the announcements state that the engine stops in `notice_ms`."""
        with self.changed:
            now_ms = self.now_ms()
            self.leaving_since_ms = min(self.leaving_since_ms, now_ms)
            self.model.leaving_at_ms = now_ms + notice_ms

    def _run(self) -> None:
        with self.changed:
            while not self.stopped.is_set():
                self._deliver(self.model.advance(self.now_ms()))
                ends_at_ms = self.model.step_ends_at_ms
                wait_s = MAX_STEP_WAIT_S
                if ends_at_ms is not None:
                    wait_s = max(0.0, (ends_at_ms - self.now_ms()) / MS_PER_S)
                self.changed.wait(min(wait_s, MAX_STEP_WAIT_S))

    def _deliver(self, chunks: list[Chunk]) -> None:
        for chunk in chunks:
            queue = self.chunk_queues.get(chunk.request_id)
            if chunk.finish is not None:
                self.chunk_queues.pop(chunk.request_id, None)
                self.counts.finished += chunk.finish.value == "length"
            if queue is not None:
                queue.put(chunk)

    def _fetch_weights(self, order: Order) -> None:
        """Fetch an order's weights, then start to load them.

        After a refusal, waits as long as Retry-After states. If every attempt
        fails, the load never completes and the order gets no outcome.
        """
        url = f"{self.config.weight_store_url}/weights/{order.model}/{order.version}"
        pool = urllib3.PoolManager(retries=False, timeout=WEIGHTS_FETCH_TIMEOUT_S)
        for _ in range(MAX_WEIGHTS_ATTEMPTS):
            if self.stopped.is_set():
                return
            try:
                response = pool.request("GET", url)
            except urllib3.exceptions.HTTPError:
                self.stopped.wait(1.0)
                continue
            if response.status == 200:
                break
            self.stopped.wait(float(response.headers.get("Retry-After", "1")))
        else:
            return
        with self.changed:
            self.model.orders.on_weights_fetched(order.order_id, self.now_ms())
        self.announcer.announce_soon()


def start_engine(config: EngineConfig) -> EngineServer:
    """Start a stand-in engine.

    Args:
        config: Configuration of the engine.

    Returns:
        The running engine; the caller stops it.
    """
    server = EngineServer(config)
    server.start()
    return server
