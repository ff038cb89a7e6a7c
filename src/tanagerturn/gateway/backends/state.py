"""Requests in flight, cached prompt parts and failures of one backend server."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import xxhash

from tanagerturn.serving.routing.pace import Pace

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.gateway.messages import PromptPart, PromptPartId

PEER_WORK_MAX_AGE_S: Final = 3.0
"""Age in seconds from which the outstanding work in a peer's digest is ignored."""


@dataclass(frozen=True)
class Work:
    """Outstanding work at one backend server."""

    running: int = 0
    """Number of requests in flight."""
    prompt_tokens: int = 0
    """Tokens of the sent prompts that the engine is not known to have read yet."""
    kv_tokens: int = 0
    """Tokens that the requests in flight are expected to occupy in the KV cache."""


NO_WORK: Final = Work()


@dataclass
class InFlightRequest:
    """One request of this gateway that a backend server has not finished."""

    sent_at_s: float
    """Boot-clock time in seconds at which the request was forwarded."""
    prompt_tokens: int
    """Prompt tokens that the engine has to read: those not expected in its KV
    cache."""
    kv_tokens: int
    """Tokens that the request is expected to occupy in the KV cache."""
    expected_s: float = 0.0
    """Expected time from the forwarding to the first event in seconds, at pace 1; 0 if
    unknown."""
    first_event_received: bool = False
    """Whether the first event was received, so that the prompt has been read."""


@dataclass
class BackendState:
    """Requests, KV cache content and failures of one backend server.

    They are as observed by this gateway and reported by its peers.
    """

    in_flight: dict[str, InFlightRequest] = field(default_factory=dict)
    """Requests of this gateway that are in flight, by attempt id."""
    peer_work: dict[str, tuple[Work, float]] = field(default_factory=dict)
    """Outstanding work of each peer gateway, with the boot-clock time in seconds at
    which its digest was received, by host of the peer."""
    consecutive_unreachable: int = 0
    """Number of consecutive attempts at which the backend server was unreachable."""
    blocked_until_s: float = 0.0
    """Boot-clock time in seconds until which the backend server gets no requests; 0 if
    it is not blocked."""
    doubted_since_s: float = -1e9
    """Boot-clock time in seconds of the last broken or failed connection; until it
    announces itself again, another start may have taken its place."""
    cached_parts: OrderedDict[int, int] = field(default_factory=OrderedDict)
    """Size in tokens of each prompt part that is expected in the KV cache because it
    was sent, by part hash; the most recently used part is last."""
    cached_part_tokens: int = 0
    """Total size of `cached_parts` in tokens."""
    last_success_s: float = -1e9
    """Boot-clock time in seconds of the last successful response to this gateway; -1e9
    before the first one."""
    pace: Pace = field(default_factory=Pace)
    """Ratio of observed to expected time to the first event."""

    def local_work(self) -> Work:
        """Return the outstanding work of this gateway's requests."""
        running = len(self.in_flight)
        if not running:
            return NO_WORK
        prompt = sum(
            request.prompt_tokens
            for request in self.in_flight.values()
            if not request.first_event_received
        )
        return Work(
            running,
            prompt,
            sum(request.kv_tokens for request in self.in_flight.values()),
        )

    def total_work(self, now_s: float) -> Work:
        """Return the outstanding work of the requests of all gateways.

        Work that a peer reported `PEER_WORK_MAX_AGE_S` ago or earlier is left out.
        """
        local = self.local_work()
        running, prompt, kv = local.running, local.prompt_tokens, local.kv_tokens
        for work, at_s in self.peer_work.values():
            if now_s - at_s < PEER_WORK_MAX_AGE_S:
                running += work.running
                prompt += work.prompt_tokens
                kv += work.kv_tokens
        return Work(running, prompt, kv)

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of a prompt's longest prefix expected in the KV cache."""
        cached = 0
        for part in parts:
            if part_hash(part.id) not in self.cached_parts:
                break
            cached += part.tokens
        return cached

    def record_part(self, part: int, tokens: int, capacity_tokens: int) -> bool:
        """Record that a prompt part was sent to the engine.

        The least recently used parts are dropped while the parts exceed the capacity.

        Args:
            part: Hash of the part's id.
            tokens: Size of the part in tokens.
            capacity_tokens: Maximum total size of the prompt parts in the engine's KV
                cache, in tokens.

        Returns:
            Whether the part was not expected in the KV cache before.
        """
        was_absent = part not in self.cached_parts
        if was_absent:
            self.cached_part_tokens += tokens
        self.cached_parts[part] = tokens
        self.cached_parts.move_to_end(part)
        while self.cached_part_tokens > capacity_tokens and self.cached_parts:
            _, evicted_tokens = self.cached_parts.popitem(last=False)
            self.cached_part_tokens -= evicted_tokens
        return was_absent


def part_hash(part_id: PromptPartId) -> int:
    """Return the hash that stands for a prompt part in digests."""
    return xxhash.xxh32_intdigest(part_id.encode())
