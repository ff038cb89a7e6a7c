"""Runs an engine model on the real clock behind HTTP."""

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
from tanagerturn.standins.faults import FaultCounter

if TYPE_CHECKING:
    from tanagerturn.schema.serving_pb2 import Announcement, Order
    from tanagerturn.standins.engine.config import EngineConfig
    from tanagerturn.standins.engine.messages import Chunk, Generation, KvCache

MS_PER_S: Final = 1000.0
IDLE_WAIT_S: Final = 0.1
LEAVING_GRACE_MS: Final = 2000.0
"""Work that comes later than this after leaving was told is late work."""
WEIGHTS_TIMEOUT_S: Final = 30.0
WEIGHTS_ATTEMPTS: Final = 50


@dataclass
class EngineCounts:
    """What the engine was asked and did; the other end of the outcomes."""

    requests: int = 0
    """Generations asked for."""
    refused: int = 0
    """Generations answered with an error."""
    cancelled: int = 0
    """Generations cancelled."""
    finished: int = 0
    """Generations that ended with all tokens."""
    tokens_generated: int = 0
    """Tokens generated."""
    tokens_recomputed: int = 0
    """Prompt and continuation tokens computed again on resumes."""
    late_work: int = 0
    """Generations asked for more than 2 s after leaving was told."""
    exports: int = 0
    """KV caches exported."""
    imports: int = 0
    """KV caches imported."""


class EngineServer:
    """A running stand-in engine.

    Args:
        config: What the engine is and how fast it works.
    """

    def __init__(self, config: EngineConfig) -> None:
        self.config = config
        """What the engine is and how fast it works."""
        self.model = EngineModel(config)
        """The model; guarded by `changed`."""
        self.changed = threading.Condition()
        """Notified when the model has new work."""
        self.queues: dict[str, SimpleQueue[Chunk]] = {}
        """Where each running request's chunks go."""
        self.faults = FaultCounter(config.faults)
        """Faults committed on requests."""
        self.counts = EngineCounts()
        """What the engine was asked and did."""
        self.asked: Counter[str] = Counter()
        """Generations asked for, by request id."""
        self.stopped = threading.Event()
        """Set when the engine is gone."""
        self.timer: threading.Timer | None = None
        """Ends the engine after a reclaim notice."""
        self.left_at_ms = float("inf")
        """When leaving was told."""
        self.clock_start_ms = time.time() * MS_PER_S - time.monotonic() * MS_PER_S
        """Wall clock when the monotonic clock was 0."""
        handler = type("BoundEngineHandler", (EngineHandler,), {"engine": self})
        self.http = StandinHttpServer(config.ip, config.port, handler)
        """The listener."""
        self.announcer = Announcer(
            config.announce_to,
            config.heartbeat_ms,
            self.build_announcement,
            config.announce_key,
        )
        """Announces the engine."""

    @property
    def address(self) -> str:
        """IP number and port of the engine."""
        return self.http.address

    def now_ms(self) -> float:
        """Return the wall clock, which never steps back."""
        return self.clock_start_ms + time.monotonic() * MS_PER_S

    def start(self) -> None:
        """Serve and announce."""
        self.http.start(f"{self.config.id}-http")
        threading.Thread(
            target=self._run, name=f"{self.config.id}-steps", daemon=True
        ).start()
        self.announcer.start()

    def stop(self) -> None:
        """Say that the engine leaves, then cut what still runs."""
        if self.stopped.is_set():
            return
        self._leave(0.0)
        self.announcer.announce()
        self.kill()

    def kill(self) -> None:
        """Die at once: connections are reset, nothing is announced."""
        if self.timer is not None:
            self.timer.cancel()
        if self.stopped.is_set():
            return
        self.stopped.set()
        self.announcer.stop()
        with self.changed:
            self.changed.notify_all()
        self.http.cut()

    def reclaim(self, notice_ms: float, announced: bool = True) -> None:
        """Take the host back after a notice.

        Args:
            notice_ms: Time until the engine dies.
            announced: Whether the engine tells of it.
        """
        if announced:
            self._leave(notice_ms)
            self.announcer.announce_soon()
        self.timer = threading.Timer(notice_ms / MS_PER_S, self.kill)
        self.timer.daemon = True
        self.timer.start()

    def submit(self, generation: Generation) -> SimpleQueue[Chunk] | None:
        """Take a generation; None when it is refused."""
        now_ms = self.now_ms()
        chunks: SimpleQueue[Chunk] = SimpleQueue()
        with self.changed:
            self.counts.requests += 1
            self.asked[generation.request_id] += 1
            if now_ms > self.left_at_ms + LEAVING_GRACE_MS:
                self.counts.late_work += 1
            self._deliver(self.model.advance(now_ms))
            if not self.model.submit(generation, now_ms):
                self.counts.refused += 1
                return None
            self.queues[generation.request_id] = chunks
            self.changed.notify_all()
        return chunks

    def cancel(self, request_id: str) -> None:
        """End a running generation."""
        with self.changed:
            self._deliver(self.model.advance(self.now_ms()))
            ended = self.model.cancel(request_id)
            if ended is not None:
                self.counts.cancelled += 1
                self._deliver([ended])

    def export_kv(self, request_id: str) -> KvCache | None:
        """Offer the KV cache of a running generation."""
        with self.changed:
            exported = self.model.export_kv(request_id)
            self.counts.exports += exported is not None
        return exported

    def import_kv(self, source: KvCache) -> KvCache | None:
        """Take a fetched KV cache in."""
        with self.changed:
            imported = self.model.import_kv(source)
            self.counts.imports += imported is not None
        return imported

    def order(self, order: Order) -> bool:
        """Carry an order out; False for a stale fencing number."""
        with self.changed:
            known = any(
                o.order_id == order.order_id for o in self.model.orders.accepted
            )
            accepted = self.model.orders.take(order, self.now_ms())
        loads = order.action in (OrderAction.LOAD_MODEL, OrderAction.LOAD_ADAPTER)
        if accepted and not known and loads and self.config.weight_store_url:
            threading.Thread(
                target=self._fetch_weights, args=(order,), daemon=True
            ).start()
        self.announcer.announce_soon()
        return accepted

    def build_announcement(self, cache_after: int) -> Announcement:
        """Build the announcement for a receiver."""
        with self.changed:
            return self.model.announcement(self.address, cache_after, self.now_ms())

    def load_headers(self) -> dict[str, str]:
        """Return the load hints of an answer."""
        batch = self.model.batch
        return {
            "X-Load-Running": str(len(batch.running)),
            "X-Load-Waiting": str(len(batch.waiting)),
        }

    def count_values(self) -> dict[str, object]:
        """Return all counts as JSON values."""
        with self.changed:
            self.counts.tokens_generated = self.model.tokens_generated
            self.counts.tokens_recomputed = self.model.tokens_recomputed
            orders = [order.order_id for order in self.model.orders.accepted]
            faults = {f.value: n for f, n in self.faults.committed.items()}
            values: dict[str, object] = asdict(self.counts)
            return values | {"kind": "engine", "orders": orders, "faults": faults}

    def _leave(self, notice_ms: float) -> None:
        with self.changed:
            now_ms = self.now_ms()
            self.left_at_ms = min(self.left_at_ms, now_ms)
            self.model.leaving_at_ms = now_ms + notice_ms

    def _run(self) -> None:
        with self.changed:
            while not self.stopped.is_set():
                self._deliver(self.model.advance(self.now_ms()))
                ends_at_ms = self.model.step_ends_at_ms
                wait_s = IDLE_WAIT_S
                if ends_at_ms is not None:
                    wait_s = max(0.0, (ends_at_ms - self.now_ms()) / MS_PER_S)
                self.changed.wait(min(wait_s, IDLE_WAIT_S))

    def _deliver(self, chunks: list[Chunk]) -> None:
        for chunk in chunks:
            queue = self.queues.get(chunk.request_id)
            if chunk.finish is not None:
                self.queues.pop(chunk.request_id, None)
                self.counts.finished += chunk.finish.value == "length"
            if queue is not None:
                queue.put(chunk)

    def _fetch_weights(self, order: Order) -> None:
        url = f"{self.config.weight_store_url}/weights/{order.model}/{order.version}"
        pool = urllib3.PoolManager(retries=False, timeout=WEIGHTS_TIMEOUT_S)
        for _ in range(WEIGHTS_ATTEMPTS):
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
            self.model.orders.weights_arrived(order.order_id, self.now_ms())
        self.announcer.announce_soon()


def start_engine(config: EngineConfig) -> EngineServer:
    """Start a stand-in engine.

    Args:
        config: What the engine is and how fast it works.

    Returns:
        The running engine; its `stop` ends it.
    """
    server = EngineServer(config)
    server.start()
    return server
