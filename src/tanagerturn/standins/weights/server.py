"""Serves weights over HTTP, as many loads as the rate limit allows."""

from __future__ import annotations

import math
import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import Final

from tanagerturn.standins._http import StandinHandler, StandinHttpServer

MS_PER_S: Final = 1000.0
PREFIX: Final = "/weights/"


@dataclass(frozen=True)
class WeightStoreConfig:
    """How much the weight store gives."""

    ip: str = "127.0.0.1"
    """IP number to listen on."""
    port: int = 0
    """Port to listen on; 0 takes a free one."""
    loads_per_s: float = 1.0
    """Loads allowed in the long run."""
    burst: int = 2
    """Loads allowed at once after a rest."""
    weight_bytes: int = 65536
    """Size of each answer."""
    load_ms: float = 0.0
    """Time until an answer begins."""


class LoadLimit:
    """A token bucket on passed-in time.

    Args:
        config: How much is allowed.
        now_ms: Present time.
    """

    def __init__(self, config: WeightStoreConfig, now_ms: float) -> None:
        self.config = config
        """How much is allowed."""
        self.tokens = float(config.burst)
        """Loads allowed now."""
        self.filled_at_ms = now_ms
        """When the tokens were last counted."""

    def take(self, now_ms: float) -> float:
        """Take one load.

        Args:
            now_ms: Present time.

        Returns:
            0 when it is allowed, else the wait in milliseconds.
        """
        passed_s = max(0.0, now_ms - self.filled_at_ms) / MS_PER_S
        filled = self.tokens + passed_s * self.config.loads_per_s
        self.tokens = min(float(self.config.burst), filled)
        self.filled_at_ms = now_ms
        if self.tokens >= 1:
            self.tokens -= 1
            return 0.0
        return (1 - self.tokens) * MS_PER_S / self.config.loads_per_s


class WeightStoreServer:
    """A running weight store.

    Args:
        config: How much it gives.
    """

    def __init__(self, config: WeightStoreConfig) -> None:
        self.config = config
        """How much it gives."""
        self.limit = LoadLimit(config, time.monotonic() * MS_PER_S)
        """Rate limit; guarded by `lock`."""
        self.loads: Counter[str] = Counter()
        """Loads of each MODEL/VERSION."""
        self.refused = 0
        """Loads answered 429."""
        self.lock = threading.Lock()
        """Guards the limit and the counts."""
        handler = type("BoundWeightsHandler", (_WeightsHandler,), {"store": self})
        self.http = StandinHttpServer(config.ip, config.port, handler)
        """The listener."""

    @property
    def address(self) -> str:
        """IP number and port."""
        return self.http.address

    def stop(self) -> None:
        """End it."""
        self.http.cut()

    def take(self, name: str) -> float:
        """Count a load; returns the wait in milliseconds when it is refused."""
        with self.lock:
            wait_ms = self.limit.take(time.monotonic() * MS_PER_S)
            if wait_ms > 0:
                self.refused += 1
            else:
                self.loads[name] += 1
            return wait_ms


class _WeightsHandler(StandinHandler):
    """One connection to the weight store."""

    store: WeightStoreServer

    def dispatch(self) -> None:
        """Answer a load."""
        self.read_body()
        if self.path == "/standin/counts":
            loads = dict(self.store.loads)
            counts = {"kind": "weights", "loads": loads, "refused": self.store.refused}
            self.answer_json(200, counts)
            return
        name = self.path.removeprefix(PREFIX)
        if not self.path.startswith(PREFIX) or name.count("/") != 1:
            self.answer_problem(404, "want /weights/MODEL/VERSION")
            return
        wait_ms = self.store.take(name)
        if wait_ms > 0:
            wait_s = str(math.ceil(wait_ms / MS_PER_S))
            self.answer_problem(429, "too many loads", {"Retry-After": wait_s})
            return
        time.sleep(self.store.config.load_ms / MS_PER_S)
        weights = bytes(self.store.config.weight_bytes)
        self.answer(200, weights, "application/octet-stream")


def start_weight_store(config: WeightStoreConfig) -> WeightStoreServer:
    """Start a stand-in weight store."""
    server = WeightStoreServer(config)
    server.http.start("weights-http")
    return server
