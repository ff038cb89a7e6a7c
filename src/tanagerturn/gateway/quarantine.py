"""Detects crashes of backend servers, and shares the evidence against prompt parts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, NamedTuple

import xxhash

from tanagerturn.gateway._crash_messages import (
    age_ms,
    decode_crashes,
    decode_trials,
    encode_crashes,
    encode_trials,
)
from tanagerturn.gateway.connection import connect
from tanagerturn.gateway.fingerprints import fingerprint_text
from tanagerturn.gateway.logs import component_log
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.backends.paths import PathFailure
from tanagerturn.serving.quarantine.evidence import (
    CrashId,
    PartEvidence,
    PartId,
)
from tanagerturn.serving.quarantine.quarantine import WELL_AFTER_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from tanagerturn.gateway.backends.path_checks import PathChecker
    from tanagerturn.gateway.messages import Prompt
    from tanagerturn.gateway.request_run import RequestRun
    from tanagerturn.serving.backends.backend import Backend
    from tanagerturn.serving.quarantine.evidence import Fingerprint
    from tanagerturn.serving.quarantine.quarantine import PartQuarantine
    from tanagerturn.serving.quarantine.repeats import RepeatQuarantine

CHECK_TIMEOUT_S: Final = 0.5
"""Timeout in seconds of the connection that tells a crashed engine, whose host refuses
it, from a broken connection."""

MAX_CHECK_WAIT_S: Final = 1.0
"""Longest time in seconds for which a retry waits for a check."""

REPORT_DURATION_S: Final = 4.0
"""Time in seconds after a change for which digests report a suspected part; with many
gateways that is several digests."""

REPLACED_WITHIN_S: Final = 10.0
"""Time in seconds within which the next start of a crashed engine announces itself, if
its address accepted connections at once: some heartbeat intervals."""

SAME_CRASH_S: Final = 0.2
"""Longest time in seconds between the breaks of connections that one crash closed."""

MAX_REPORTED_PARTS: Final = 32
"""Maximum number of suspected parts in a digest."""

log = component_log("quarantine")


class BrokenAttempt(NamedTuple):
    """An attempt of a request that its engine broke off."""

    attempt_id: str
    """Id of the attempt."""
    fingerprint: Fingerprint
    """The request, as its repeats have it too."""
    parts: tuple[PartId, ...]
    """Parts of its prompt that other prompts may share."""
    is_trial: bool
    """Whether it was let through in spite of a quarantine."""


@dataclass
class BrokenAttempts:
    """Attempts that one engine broke off, until it is known whether it crashed."""

    broke_at_s: float
    """Boot-clock time in seconds of the first of them."""
    attempts: list[BrokenAttempt] = field(default_factory=list)
    """These attempts."""
    is_replaced: bool = False
    """Whether another start has announced itself in the engine's place."""


class CrashDetector:
    """Checks whether backend servers that broke requests off have crashed.

    One that refuses connections has. One that accepts them may be the next start, which
    announces itself later.

    Args:
        quarantine: Evidence against prompt parts.
        repeats: Evidence against requests that come again.
        path_checker: Checks whether this gateway reaches any backend server.
        accepts_peers: Returns whether the backend server at an address accepts
            connections of peer gateways.
    """

    def __init__(
        self,
        quarantine: PartQuarantine,
        repeats: RepeatQuarantine,
        path_checker: PathChecker,
        accepts_peers: Callable[[str], Awaitable[bool]],
    ) -> None:
        self.quarantine = quarantine
        """Evidence against prompt parts."""
        self.repeats = repeats
        """Evidence against requests that come again."""
        self.path_checker = path_checker
        """Checks whether this gateway reaches any backend server."""
        self.accepts_peers = accepts_peers
        """Returns whether the backend server at an address accepts peers."""
        self.broken: dict[CrashId, BrokenAttempts] = {}
        """Attempts broken off by engines that are being checked."""
        self.accepted: dict[CrashId, BrokenAttempts] = {}
        """The last attempts broken off by engines whose address accepted a connection
        afterwards."""
        self.checks: dict[CrashId, asyncio.Task[None]] = {}
        """Checks in progress."""

    def on_broken(
        self,
        backend: Backend,
        run: RequestRun,
        writing_s: float | None,
        now_s: float,
    ) -> None:
        """Check the backend server of a request that it broke off.

        Args:
            backend: The backend server.
            run: The request.
            writing_s: Time in seconds for which the backend server had been writing
                the response; None if it had not begun.
            now_s: Current boot-clock time in seconds.
        """
        if writing_s is not None and writing_s >= WELL_AFTER_S:
            return
        crash = crash_id(backend)
        broken = self.broken.get(crash)
        if broken is None:
            broken = self.broken[crash] = BrokenAttempts(now_s)
            task = asyncio.create_task(self._check(backend, crash))
            self.checks[crash] = task
            task.add_done_callback(lambda _: self.checks.pop(crash, None))
        request = run.request
        parts = shared_parts(request.prompt)
        broken.attempts.append(
            BrokenAttempt(request.attempt_id, run.fingerprint, parts, run.is_trial)
        )

    async def wait_for_check(self, backend: Backend) -> None:
        """Wait for the check of a backend server, if one is in progress.

        It takes at most `MAX_CHECK_WAIT_S`.
        """
        check = self.checks.get(crash_id(backend))
        if check is not None:
            await asyncio.wait((check,), timeout=MAX_CHECK_WAIT_S)

    def on_replaced(self, backend: Backend) -> None:
        """Record that another start announced itself in place of a backend server.

        Args:
            backend: Backend server that never stated that it leaves.
        """
        crash = crash_id(backend)
        if crash in self.broken:
            self.broken[crash].is_replaced = True
        broken = self.accepted.pop(crash, None)
        if broken is not None:
            self._record(backend, crash, broken)

    def expire(self, now_s: float) -> None:
        """Forget broken attempts for which no other start announced itself in time."""
        for crash, broken in list(self.accepted.items()):
            if now_s - broken.broke_at_s > REPLACED_WITHIN_S:
                del self.accepted[crash]

    async def _check(self, backend: Backend, crash: CrashId) -> None:
        broke_at_s = self.broken[crash].broke_at_s
        failure = await _open_failure(backend.address)
        has_crashed = failure is PathFailure.REFUSED
        if has_crashed and await self.path_checker.is_cut_off(backend.id, broke_at_s):
            has_crashed = not await self.accepts_peers(backend.address)
        broken = self.broken.pop(crash)
        is_next_start = failure is None and broken.is_replaced
        if has_crashed or is_next_start:
            self._record(backend, crash, broken)
        elif failure is None:
            self._await_replacement(crash, broken)

    def _await_replacement(self, crash: CrashId, broken: BrokenAttempts) -> None:
        """Keep attempts until another start announces itself, if one does."""
        earlier = self.accepted.get(crash)
        if earlier is None or broken.broke_at_s - earlier.broke_at_s > SAME_CRASH_S:
            self.accepted[crash] = broken
        else:
            earlier.attempts += broken.attempts

    def _record(self, backend: Backend, crash: CrashId, broken: BrokenAttempts) -> None:
        """Record a crash as evidence against the requests that it broke off."""
        attempts = broken.attempts
        log.info(
            "engine_crashed",
            backend=backend.id,
            requests=len(attempts),
            fingerprints=sorted({fingerprint_text(a.fingerprint) for a in attempts}),
            parts=sorted({part for each in attempts for part in each.parts}),
        )
        at_s = broken.broke_at_s
        for attempt_id, fingerprint, parts, is_trial in attempts:
            self.repeats.on_crash(crash, fingerprint, at_s, is_trial=is_trial)
            self.quarantine.on_crash(crash, attempt_id, parts, at_s, is_trial=is_trial)


async def _open_failure(address: str) -> PathFailure | None:
    """Return how a connection to a backend server fails; None if it opens."""
    try:
        tcp = await connect(address, CHECK_TIMEOUT_S)
    except TimeoutError:
        # The host is unreachable, which is no sign of a crashed process.
        return PathFailure.SILENT
    except OSError:
        return PathFailure.REFUSED
    tcp.abort()
    return None


def crash_id(backend: Backend) -> CrashId:
    """Return the hash that stands for the crash of one start of an engine."""
    text = f"{backend.id}|{backend.announcement.born_ms}"
    return CrashId(xxhash.xxh64_intdigest(text.encode()))


def shared_parts(prompt: Prompt | None) -> tuple[PartId, ...]:
    """Return the ids of the parts that other prompts may share: all but the last.

    A request without a prompt has none.
    """
    if prompt is None:
        return ()
    return tuple(PartId(part.id) for part in prompt.parts[:-1])


def encode_suspects(
    quarantine: PartQuarantine, parts: Iterable[PartId], now_s: float
) -> gpb.SuspectParts:
    """Return the evidence against parts as a message to peers.

    Args:
        quarantine: Evidence against prompt parts.
        parts: Parts to report.
        now_s: Current boot-clock time in seconds.
    """
    message = gpb.SuspectParts()
    for part in parts:
        evidence = quarantine.evidence[part]
        message.parts.add(
            part=part,
            depth=evidence.depth,
            crashes=encode_crashes(evidence.crashes, now_s),
            cleared=evidence.cleared,
            proven=evidence.is_proven,
            idle_ms=age_ms(evidence.crashed_s, now_s),
            trials=encode_trials(evidence, now_s),
        )
    return message


def reported_parts(quarantine: PartQuarantine, now_s: float) -> list[PartId]:
    """Return the parts to report in a digest: quarantined ones, then changed ones."""
    if not quarantine.evidence:
        return []
    changed = [
        part
        for part, evidence in quarantine.evidence.items()
        if part not in quarantine.quarantined
        and now_s - evidence.changed_s < REPORT_DURATION_S
    ]
    changed.sort(key=lambda part: (-len(quarantine.evidence[part].crashes), part))
    quarantined = sorted(quarantine.quarantined & quarantine.evidence.keys())
    return [*quarantined, *changed][:MAX_REPORTED_PARTS]


def apply_suspects(
    quarantine: PartQuarantine, message: gpb.SuspectParts, now_s: float
) -> None:
    """Merge the evidence of a peer, or of a warm start.

    Args:
        quarantine: Evidence against prompt parts.
        message: The evidence as received.
        now_s: Current boot-clock time in seconds.
    """
    for reported in message.parts:
        evidence = PartEvidence(
            crashed_s=now_s - reported.idle_ms / 1000,
            changed_s=now_s,
            depth=reported.depth,
            crashes=decode_crashes(reported.crashes, now_s),
            cleared={CrashId(crash): None for crash in reported.cleared},
            is_proven=reported.proven,
            **decode_trials(reported.trials, now_s),
        )
        quarantine.merge(PartId(reported.part), evidence, now_s)


def log_changes(quarantine: PartQuarantine, previous: frozenset[PartId]) -> None:
    """Log which parts have been quarantined or released.

    Args:
        quarantine: Evidence against prompt parts.
        previous: Parts that were quarantined before.
    """
    for part in sorted(quarantine.quarantined - previous):
        evidence = quarantine.evidence[part]
        log.warning(
            "part_quarantined",
            prompt_part=part,
            crashes=len(evidence.crashes),
            proven=evidence.is_proven,
        )
    for part in sorted(previous - quarantine.quarantined):
        log.warning("part_released", prompt_part=part)
