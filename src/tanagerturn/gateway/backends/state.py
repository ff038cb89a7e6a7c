"""Requests in flight, cached prompt parts and failures of one backend server."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import xxhash

from tanagerturn.serving.routing.pace import Pace

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

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
    base_s: float = 0.0
    """Expected time to the first event in seconds without the speed of the backend
    server; of a plain request, the multiple of the time at an idle backend server."""
    momentary: float = 0.0
    """Momentary factor of the backend server when the request was sent; 0 if its speed
    is not known."""
    first_event_received: bool = False
    """Whether the first event was received, so that the prompt has been read."""


@dataclass
class BackendState:
    """Requests, KV cache content and failures of one backend server.

    They are as observed by this gateway and reported by its peers.
    """

    in_flight: dict[str, InFlightRequest] = field(default_factory=dict)
    """Requests of this gateway that are in flight, by attempt id."""
    own_work: Work | None = None
    """Outstanding work of `in_flight`; None if it has to be summed again."""
    peer_work: dict[str, tuple[Work, float]] = field(default_factory=dict)
    """Outstanding work of each peer gateway, with the boot-clock time in seconds at
    which its digest was received, by host of the peer."""
    peer_total: Work = NO_WORK
    """Sum of `peer_work` without what is too old, as of the last change."""
    peer_expiry_s: float = math.inf
    """Boot-clock time in seconds at which a part of `peer_total` becomes too old."""
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
        if self.own_work is None:
            self.own_work = self._sum_own_work()
        return self.own_work

    def add_request(self, attempt: str, request: InFlightRequest) -> None:
        """Add a request that is about to be forwarded."""
        self.in_flight[attempt] = request
        self.own_work = None

    def on_first_event(self, attempt: str) -> InFlightRequest | None:
        """Mark the prompt of a request as read; return the request if it is known."""
        request = self.in_flight.get(attempt)
        if request is not None:
            request.first_event_received = True
            self.own_work = None
        return request

    def remove_request(self, attempt: str) -> None:
        """Remove a request that is no longer in flight."""
        self.in_flight.pop(attempt, None)
        self.own_work = None

    def _sum_own_work(self) -> Work:
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
        return _sum(self.local_work(), self.others_work(now_s))

    def others_work(self, now_s: float) -> Work:
        """Return the outstanding work of the requests of peer gateways.

        The sum is kept, since there may be hundreds of peers.
        """
        if now_s >= self.peer_expiry_s:
            self._sum_peer_work(now_s)
        return self.peer_total

    def set_peer_work(self, gateway: str, work: Work | None, now_s: float) -> None:
        """Replace the outstanding work of a peer gateway; None for none."""
        if work is not None:
            self.peer_work[gateway] = (work, now_s)
        elif self.peer_work.pop(gateway, None) is None:
            return
        self.peer_expiry_s = -math.inf

    def _sum_peer_work(self, now_s: float) -> None:
        total, oldest_s = NO_WORK, math.inf
        for work, at_s in self.peer_work.values():
            if now_s - at_s < PEER_WORK_MAX_AGE_S:
                total, oldest_s = _sum(total, work), min(oldest_s, at_s)
        self.peer_total = total
        self.peer_expiry_s = oldest_s + PEER_WORK_MAX_AGE_S

    def cached_tokens(
        self, parts: Sequence[PromptPart], hashes: Sequence[int] | None = None
    ) -> int:
        """Return the tokens of a prompt's longest prefix expected in the KV cache.

        Args:
            parts: Parts of the prompt.
            hashes: Their hashes if these are known; computing them for each of many
                backend servers would be most of the effort.
        """
        cached = 0
        for number, part in zip(hashes or _hashes(parts), parts, strict=True):
            if number not in self.cached_parts:
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


def _sum(one: Work, other: Work) -> Work:
    return Work(
        one.running + other.running,
        one.prompt_tokens + other.prompt_tokens,
        one.kv_tokens + other.kv_tokens,
    )


def _hashes(parts: Sequence[PromptPart]) -> Iterator[int]:
    return (part_hash(part.id) for part in parts)


def part_hash(part_id: PromptPartId) -> int:
    """Return the hash that stands for a prompt part in digests."""
    return xxhash.xxh32_intdigest(part_id.encode())
