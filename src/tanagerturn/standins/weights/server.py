"""HTTP server of a weight store, which limits the rate of loads."""

from __future__ import annotations

import math
import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import Final

from tanagerturn.standins._http import StandinHandler, StandinHttpServer

MS_PER_S: Final = 1000.0
WEIGHTS_PREFIX: Final = "/weights/"


@dataclass(frozen=True)
class WeightStoreConfig:
    """Configuration of a stand-in weight store."""

    ip: str = "127.0.0.1"
    """IP address to listen on."""
    port: int = 0
    """Port to listen on; 0 selects a free one."""
    loads_per_s: float = 1.0
    """Sustained rate limit, in loads per second."""
    burst: int = 2
    """Number of loads allowed at once after idle time."""
    weight_bytes: int = 65536
    """Size of the weights of every model version, in bytes."""
    load_ms: float = 0.0
    """Time before a response is sent, in milliseconds."""


class LoadRateLimiter:
    """A token bucket that limits loads; callers pass the current time.

    Args:
        config: Rate and burst size.
        now_ms: Current time, in milliseconds.
    """

    def __init__(self, config: WeightStoreConfig, now_ms: float) -> None:
        self.config = config
        """Rate and burst size."""
        self.tokens = float(config.burst)
        """Number of loads allowed at `updated_at_ms`."""
        self.updated_at_ms = now_ms
        """Time at which `tokens` was last computed, in milliseconds."""

    def charge(self, now_ms: float) -> float:
        """Charge one load to the bucket, if a load is allowed.

        Args:
            now_ms: Current time, in milliseconds.

        Returns:
            0 if the load is allowed, else the time until one is, in milliseconds.
        """
        elapsed_s = max(0.0, now_ms - self.updated_at_ms) / MS_PER_S
        refilled = self.tokens + elapsed_s * self.config.loads_per_s
        self.tokens = min(float(self.config.burst), refilled)
        self.updated_at_ms = now_ms
        if self.tokens >= 1:
            self.tokens -= 1
            return 0.0
        return (1 - self.tokens) * MS_PER_S / self.config.loads_per_s


class WeightStoreServer:
    """A stand-in weight store that serves over HTTP.

    Args:
        config: Configuration of the weight store.
    """

    def __init__(self, config: WeightStoreConfig) -> None:
        self.config = config
        """Configuration of the weight store."""
        self.limiter = LoadRateLimiter(config, time.monotonic() * MS_PER_S)
        """Rate limiter of all loads; guarded by `lock`."""
        self.loads: Counter[str] = Counter()
        """Number of allowed loads by MODEL/VERSION."""
        self.refused = 0
        """Number of loads refused with status 429."""
        self.lock = threading.Lock()
        """Guards `limiter`, `loads` and `refused`."""
        handler = type("BoundWeightsHandler", (_WeightsHandler,), {"store": self})
        self.http = StandinHttpServer(config.ip, config.port, handler)
        """HTTP server of the weights."""

    @property
    def address(self) -> str:
        """IP address and port of the weight store."""
        return self.http.address

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.http.abort()

    def charge_load(self, name: str) -> float:
        """Charge and count one load.

        Args:
            name: MODEL/VERSION of the weights.

        Returns:
            0 if the load is allowed, else the time until one is, in milliseconds.
        """
        with self.lock:
            wait_ms = self.limiter.charge(time.monotonic() * MS_PER_S)
            if wait_ms > 0:
                self.refused += 1
            else:
                self.loads[name] += 1
            return wait_ms


class _WeightsHandler(StandinHandler):
    """Handles the requests of one connection to the weight store."""

    store: WeightStoreServer
    """The weight store; set by the subclass that its server makes."""

    def dispatch(self) -> None:
        """Send the weights of a model version, or the counts of loads."""
        self.read_body()
        if self.path == "/standin/counts":
            loads = dict(self.store.loads)
            counts = {"kind": "weights", "loads": loads, "refused": self.store.refused}
            self.respond_json(200, counts)
            return
        name = self.path.removeprefix(WEIGHTS_PREFIX)
        if not self.path.startswith(WEIGHTS_PREFIX) or name.count("/") != 1:
            self.respond_problem(404, "want /weights/MODEL/VERSION")
            return
        wait_ms = self.store.charge_load(name)
        if wait_ms > 0:
            wait_s = str(math.ceil(wait_ms / MS_PER_S))
            self.respond_problem(429, "too many loads", {"Retry-After": wait_s})
            return
        time.sleep(self.store.config.load_ms / MS_PER_S)
        weights = bytes(self.store.config.weight_bytes)
        self.respond(200, weights, "application/octet-stream")


def start_weight_store(config: WeightStoreConfig) -> WeightStoreServer:
    """Start a stand-in weight store; the caller stops the returned server."""
    server = WeightStoreServer(config)
    server.http.start("weights-http")
    return server
