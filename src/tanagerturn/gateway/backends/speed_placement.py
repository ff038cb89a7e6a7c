"""Chooses the backend server of a request to a service with reported speeds; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from tanagerturn.gateway.backends.state import part_hash
from tanagerturn.serving.routing.completion import PromptNeed, choose_engine
from tanagerturn.serving.routing.prompt_parts import (
    PER_QUEUED_REQUEST_MS,
    PREFILL_TOKENS_PER_MS,
)
from tanagerturn.serving.routing.spread import (
    plain_load,
    sample_size,
    spread_choice,
    unknown_requests,
)

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from tanagerturn.gateway.backends.state import BackendState
    from tanagerturn.gateway.fleet import Fleet
    from tanagerturn.gateway.messages import Prompt
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.backends.messages import BackendId
    from tanagerturn.serving.routing.speed import ServiceSpeeds

MAX_HOLDERS: Final = 2
"""Number of candidates that are added because they hold most of the prompt."""

MAX_COMPARED_HOLDERS: Final = 6
"""Number of holders of a part of the prompt that are compared by how much they hold."""

HASH_FACTOR: Final = 0x9E3779B97F4A7C15
"""Odd number whose products spread the hashes of an engine and a prompt part."""

HASH_MASK: Final = (1 << 64) - 1

CROSS_ZONE_LOAD: Final = 0.1
"""Load, as a multiple of the time at an idle backend server, that is added to those in
another availability zone than the gateway's."""

MAX_REQUESTS_PER_SLOT: Final = 1.5
"""Requests per slot from which a backend server of a plain service counts as full."""


class Chosen(NamedTuple):
    """Chosen backend server, with the fields of `Choice`."""

    backend: Backend
    is_full: bool
    first_event_s: float
    prompt_read_s: float
    pace: float
    time_factor: float
    backlog_s: float = 0.0
    nothing_waits: bool = False


class Candidate(NamedTuple):
    """Known state of one candidate."""

    backend: Backend
    state: BackendState
    time_factor: float
    running: int
    """Number of requests of all gateways."""
    unread_tokens: int
    """Unread prompt tokens of these requests."""
    kv_tokens: int
    """Tokens in use in the KV cache by these requests."""


def choose_by_speed(
    fleet: Fleet,
    speeds: ServiceSpeeds,
    service: str,
    backends: Sequence[Backend],
    prompt: Prompt | None,
    zone: str,
    random: Random | None,
    now_s: float,
) -> Chosen:
    """Choose the backend server with the earliest expected completion.

    Args:
        fleet: State of the backend servers.
        speeds: What the backend servers of the service have in common.
        service: Service of the request.
        backends: Candidates, at least one.
        prompt: Prompt of a generation; None for plain requests.
        zone: Availability zone of this gateway.
        random: Source of randomness; None to choose the best of all.
        now_s: Current boot-clock time in seconds.
    """
    parts = [part_hash(part.id) for part in prompt.parts] if prompt else []
    holders, preferred = _affine(fleet, backends, prompt, parts, random)
    sampled: Sequence[Backend] = backends
    size = sample_size(len(backends), is_plain=prompt is None)
    if random is not None and len(backends) > size:
        sampled = random.sample(backends, size)
        sampled += [b for b in holders if b not in sampled]
    # A digest is known until the next one, so half of the interval on average.
    late_s = fleet.digest_interval_s / 2
    pool = fleet.view.pool(service)
    rows, others = _candidates(fleet, speeds, pool, sampled, now_s)
    unknown_count = unknown_requests(others, late_s, speeds.in_flight_s)
    if random is None:
        unknown_count = 0.0
    draw = 0.0 if random is None else random.random()
    if prompt is None:
        return _choose_plain(rows, zone, unknown_count, draw)
    capacity = fleet.kv_capacity_of(backends[0])
    output = prompt.expected_output_tokens or prompt.max_output_tokens
    kv_left = capacity - prompt.prompt_tokens - output
    free = _with_capacity(rows, kv_left)
    if not free and len(sampled) < len(backends):
        rows, others = _candidates(fleet, speeds, pool, backends, now_s)
        free = _with_capacity(rows, kv_left)
    rows, first = free or rows, parts[0] if parts else -1
    engine_rows = [
        (
            row.running,
            row.unread_tokens,
            row.kv_tokens,
            capacity,
            row.state.cached_tokens(prompt.parts, parts)
            if first in row.state.cached_parts
            else 0,
            row.state.pace.time_factor(now_s) if row.state.pace.excess else 1.0,
            row.time_factor,
            row.backend.slots,
            row.backend.zone != zone,
            row.backend is preferred,
        )
        for row in rows
    ]
    warmups_ms = [row.backend.announcement.warmup_left_ms for row in rows]
    need = PromptNeed(
        prompt.prompt_tokens, output, len(parts) > 1, speeds.event_s * 1000
    )
    chosen = choose_engine(engine_rows, warmups_ms, need, unknown_count, draw)
    row, pace = rows[chosen.row], engine_rows[chosen.row][5]
    queued = max(0, row.running + 1 - row.backend.slots)
    waiting_ms = row.unread_tokens / PREFILL_TOKENS_PER_MS
    waiting_ms += PER_QUEUED_REQUEST_MS * queued
    waiting_ms *= pace * row.time_factor
    return Chosen(
        row.backend,
        not free,
        chosen.first_event_ms / 1000,
        chosen.prefill_ms / 1000,
        pace,
        row.time_factor,
        min(chosen.first_event_ms - chosen.prefill_ms, waiting_ms) / 1000,
        nothing_waits=bool(free) and not row.unread_tokens,
    )


def _affine(
    fleet: Fleet,
    backends: Sequence[Backend],
    prompt: Prompt | None,
    parts: list[int],
    random: Random | None,
) -> tuple[list[Backend], Backend | None]:
    """Return some engines that hold most of a prompt, and the preferred one.

    Gateways agree on an engine for a shared part that none holds, so that it is
    computed once.
    """
    if prompt is None or not parts:
        return [], None
    ids = _holder_ids(fleet, parts[-1], parts[-2] if len(parts) > 1 else parts[-1])
    if not ids and len(parts) > 2:
        ids = _holder_ids(fleet, parts[0], parts[0])
    if not ids:
        return _preferred(fleet, backends, parts)
    if len(ids) > MAX_COMPARED_HOLDERS:
        # Engines that all hold the shared part differ only in the last one.
        states = fleet.states
        last = [i for i in ids if parts[-1] in states[i].cached_parts]
        if random is not None and len(ids) > MAX_COMPARED_HOLDERS:
            ids = random.sample(ids, MAX_COMPARED_HOLDERS)
        ids = last[:MAX_COMPARED_HOLDERS] or ids
    holders = [b for b in backends if b.id in ids]
    if len(holders) > MAX_HOLDERS:
        if random is not None:
            # Otherwise all gateways would add the same ones of equal holders.
            random.shuffle(holders)
        holders.sort(key=lambda b: -fleet.states[b.id].cached_tokens(prompt.parts))
        del holders[MAX_HOLDERS:]
    return holders, None


def _holder_ids(fleet: Fleet, one: int, other: int) -> list[BackendId]:
    """Return the engines that are expected to hold one of two prompt parts."""
    return [
        i
        for i, state in fleet.states.items()
        if one in state.cached_parts or other in state.cached_parts
    ]


def _preferred(
    fleet: Fleet, backends: Sequence[Backend], parts: list[int]
) -> tuple[list[Backend], Backend | None]:
    if len(parts) < 2:
        return [], None
    speeds, shared = fleet.speeds.by_backend, parts[-2]
    preferred, best = None, -1
    for backend in backends:
        speed = speeds.get(backend.id)
        if speed is None:
            continue
        number = ((speed.key ^ shared) * HASH_FACTOR) & HASH_MASK
        if number > best:
            preferred, best = backend, number
    return [preferred] if preferred is not None else [], preferred


def _candidates(
    fleet: Fleet,
    speeds: ServiceSpeeds,
    pool: Sequence[Backend],
    backends: Sequence[Backend],
    now_s: float,
) -> tuple[list[Candidate], float]:
    """Return the candidates, and the number of requests of others at all of the pool.

    Args:
        fleet: State of the backend servers.
        speeds: What the backend servers of the service have in common.
        pool: All backend servers of the service.
        backends: Candidates.
        now_s: Current boot-clock time in seconds.
    """
    factors = fleet.speeds.time_factors(speeds, pool, backends, now_s)
    rows, others_sum, states = [], 0, fleet.states
    for backend, factor in zip(backends, factors, strict=True):
        state = states.get(backend.id) or fleet.state(backend.id)
        own = state.own_work or state.local_work()
        others = (
            state.peer_total
            if now_s < state.peer_expiry_s
            else state.others_work(now_s)
        )
        others_sum += others.running
        rows.append(
            Candidate(
                backend,
                state,
                factor,
                own.running + others.running,
                own.prompt_tokens + others.prompt_tokens,
                own.kv_tokens + others.kv_tokens,
            )
        )
    return rows, others_sum


def _with_capacity(rows: Sequence[Candidate], kv_left: int) -> list[Candidate]:
    """Return the candidates with a free slot and capacity in the KV cache.

    Args:
        rows: Candidates.
        kv_left: KV cache tokens that may be in use beside the request.
    """
    return [
        row
        for row in rows
        if row.running < row.backend.slots
        and (row.kv_tokens <= kv_left or not row.running)
    ]


def _choose_plain(
    rows: Sequence[Candidate], zone: str, unknown_count: float, draw: float
) -> Chosen:
    costs, added = [], []
    for row in rows:
        load = plain_load(row.running, row.backend.slots)
        if row.backend.zone != zone:
            load += CROSS_ZONE_LOAD
        costs.append(row.time_factor * load)
        added.append(row.time_factor / max(1, row.backend.slots))
    row = rows[spread_choice(costs, added, unknown_count, draw)]
    is_full = row.running >= MAX_REQUESTS_PER_SLOT * row.backend.slots
    return Chosen(row.backend, is_full, 0.0, 0.0, 1.0, row.time_factor)
