"""Configuration of a stand-in engine."""

from __future__ import annotations

from dataclasses import dataclass, field

from tanagerturn.schema.serving_pb2 import BackendRole
from tanagerturn.standins.faults import FaultPlan


@dataclass(frozen=True)
class EngineConfig:
    """Configuration of a stand-in engine."""

    id: str = "engine"
    """Id of the backend server."""
    ip: str = "127.0.0.1"
    """IP address to listen on."""
    port: int = 0
    """Port to listen on; 0 selects a free one."""
    announce_to: tuple[str, ...] = ()
    """IP address and port of each entry host's announcement listener."""
    announce_key: str = ""
    """Bearer key of announcements; empty to send none."""
    heartbeat_ms: int = 1000
    """Longest time between two announcements, in milliseconds."""
    availability_zone: str = "a"
    """Availability zone of the host."""
    host_class: str = "standard"
    """Class of the host."""
    price_per_hour: float = 1.0
    """Price of the host per hour."""
    reclaimable: bool = True
    """Whether the cloud may reclaim the host."""
    services: tuple[str, ...] = ("drafting",)
    """Services that the engine serves."""
    model: str = "draft"
    """Name of the model that is loaded at the start."""
    version: str = "1"
    """Version of the model that is loaded at the start."""
    role: BackendRole.ValueType = BackendRole.BOTH
    """Stages of a request that the engine runs at first: prefill, decode or both."""
    slots: int = 32
    """Maximum number of requests that run concurrently, in one batch."""
    max_waiting: int = 256
    """Maximum number of requests that wait for a slot; further requests are refused
    with status 503."""
    kv_tokens: int = 65536
    """KV cache capacity in tokens, for running requests and cached prefixes."""
    kv_bytes_per_token: int = 16
    """Size of an exported KV cache, in bytes per token."""
    step_ms: float = 15.0
    """Duration of a step without any sequence, in milliseconds."""
    sequence_step_ms: float = 0.3
    """Time that each decoding sequence adds to a step, in milliseconds."""
    prefill_tokens_per_s: float = 8000.0
    """Prefill rate, in tokens per second."""
    prefill_chunk_tokens: int = 1024
    """Maximum number of tokens that one step prefills, over all sequences."""
    load_lag_ms: float = 500.0
    """Time between two updates of the reported load, in milliseconds."""
    reports_zero_load: bool = False
    """Whether the load is always reported as zero; simulates stuck measurements."""
    cache_event_delay_ms: float = 200.0
    """Time until a cache event is announced, in milliseconds."""
    cache_event_loss: float = 0.0
    """Fraction of cache events that are never announced."""
    max_cache_events: int = 1024
    """Maximum number of cache events retained for announcements; older events are
    dropped."""
    load_model_ms: float = 200.0
    """Time to load a model after its weights are fetched, in milliseconds."""
    weight_store_url: str = ""
    """URL of the weight store; empty to load models without fetching weights."""
    checks_fencing: bool = True
    """Whether orders with a stale fencing number are refused."""
    faults: FaultPlan = field(default_factory=FaultPlan)
    """Faults to inject into generations."""
    seed: int = 0
    """Seed that selects the lost cache events."""
