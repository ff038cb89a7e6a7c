"""Generates the shipped traces from the firms' traffic profiles and a seed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import TYPE_CHECKING, Final

from tanagerturn.replay._expected import expected_outcomes, reclaim_wave_events
from tanagerturn.replay.firms import (
    DRAFT_PRIORITY,
    PLAIN_CALL_PRIORITY,
    make_backends,
)
from tanagerturn.replay.trace import (
    FORMAT_VERSION,
    AnswerMode,
    CallKind,
    PrefixRun,
    Trace,
    TraceHeader,
    TraceRequest,
)
from tanagerturn.serving.cache.blocks import BLOCK_TOKENS

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from tanagerturn.replay.firms import DraftProfile, Firm, PlainCall

MINUTE_MS: Final = 60_000
MS_PER_S: Final = 1000.0
TEMPLATE_BLOCKS: Final = 4
"""Number of leading prompt blocks that all drafts of one kind share."""
ASYNC_SHARE: Final = 0.15
"""Fraction of drafts whose response is collected later (AnswerMode.ASYNC)."""
STREAM_SHARE: Final = 0.6
"""Fraction of drafts whose response is streamed."""


class Scenario(Enum):
    """Kind of traffic and events in a trace."""

    ORDINARY_HOUR = "ordinary-hour"
    """One hour of normal traffic."""
    PURCHASE_PEAK = "purchase-peak"
    """Twenty minutes with a peak of purchases: seats for a carol service go on sale."""
    NIGHT_BEFORE_FILING = "night-before-filing"
    """Two hours: drafts that are due at the end of the trace, then many filings."""
    RECLAIM_WAVES = "reclaim-waves"
    """Hosts of two availability zones are reclaimed while starts are refused."""


@dataclass(frozen=True)
class RatePhase:
    """Request rates of a part of a trace, up to the start of the next phase."""

    from_ms: int
    """Start of the phase, in milliseconds after the start of the trace."""
    lookups_per_s: float
    """Rate of lookups or status calls, per second."""
    submissions_per_s: float
    """Rate of purchases or filings, per second."""
    drafts_per_s: float
    """Rate of drafts, per second."""


DURATIONS_MS: Final = {
    Scenario.ORDINARY_HOUR: 60 * MINUTE_MS,
    Scenario.PURCHASE_PEAK: 20 * MINUTE_MS,
    Scenario.NIGHT_BEFORE_FILING: 120 * MINUTE_MS,
    Scenario.RECLAIM_WAVES: 20 * MINUTE_MS,
}
"""Length of the trace of each scenario, in milliseconds."""

RATE_PHASES: Final[dict[tuple[str, Scenario], tuple[RatePhase, ...]]] = {
    ("inyenyeri", Scenario.ORDINARY_HOUR): (
        RatePhase(0, 1.6, 0.2, 0.3),
        RatePhase(20 * MINUTE_MS, 2.4, 0.35, 0.5),
        RatePhase(40 * MINUTE_MS, 1.8, 0.2, 0.4),
    ),
    ("inyenyeri", Scenario.PURCHASE_PEAK): (
        RatePhase(0, 3.0, 0.5, 0.4),
        RatePhase(4 * MINUTE_MS, 14.0, 5.0, 0.6),
        RatePhase(10 * MINUTE_MS, 8.0, 2.5, 0.8),
        RatePhase(16 * MINUTE_MS, 4.0, 0.8, 0.5),
    ),
    ("inyenyeri", Scenario.RECLAIM_WAVES): (
        RatePhase(0, 5.0, 1.0, 0.6),
        RatePhase(4 * MINUTE_MS, 6.0, 1.5, 0.8),
    ),
    ("fascicoli", Scenario.ORDINARY_HOUR): (
        RatePhase(0, 0.8, 0.08, 0.2),
        RatePhase(30 * MINUTE_MS, 1.2, 0.15, 0.35),
    ),
    ("fascicoli", Scenario.NIGHT_BEFORE_FILING): (
        RatePhase(0, 0.2, 0.02, 0.7),
        RatePhase(30 * MINUTE_MS, 0.1, 0.01, 0.45),
        RatePhase(75 * MINUTE_MS, 0.1, 0.01, 0.15),
        RatePhase(105 * MINUTE_MS, 1.5, 0.6, 0.05),
    ),
    ("fascicoli", Scenario.RECLAIM_WAVES): (
        RatePhase(0, 1.0, 0.2, 0.6),
        RatePhase(4 * MINUTE_MS, 1.5, 0.3, 0.8),
    ),
}
"""Phases of each shipped trace, by the firm's short name and the scenario."""


def generate_trace(firm: Firm, scenario: Scenario, seed: int) -> Trace:
    """Generate one trace.

    Args:
        firm: Firm whose traffic is generated.
        scenario: Kind of traffic and events.
        seed: Seed of all random choices; equal seeds give equal traces.

    Returns:
        The generated trace.

    Raises:
        ValueError: No phases are defined for this firm and scenario.
    """
    phases = RATE_PHASES.get((firm.name, scenario))
    if phases is None:
        raise ValueError(
            f"firm {firm.name!r} has no rate phases for scenario {scenario.value!r}"
        )
    duration_ms = DURATIONS_MS[scenario]
    generator = _TraceGenerator(
        firm, scenario, Random(f"{firm.name}/{scenario.value}/{seed}")
    )
    requests = generator.generate(phases, duration_ms)
    has_reclaims = scenario == Scenario.RECLAIM_WAVES
    header = TraceHeader(
        version=FORMAT_VERSION,
        name=f"{firm.name}-{scenario.value}",
        firm=firm.name,
        seed=seed,
        duration_ms=duration_ms,
        availability_zones=firm.availability_zones,
        entry_hosts=firm.entry_hosts,
        client_accounts=firm.client_accounts,
        backends=make_backends(firm),
        outcomes=expected_outcomes(firm),
    )
    events = reclaim_wave_events(firm) if has_reclaims else ()
    return Trace(header, tuple(requests), events)


class _TraceGenerator:
    """Draws requests at random from phases and traffic profiles."""

    def __init__(self, firm: Firm, scenario: Scenario, random: Random) -> None:
        self.firm = firm
        self.scenario = scenario
        self.random = random
        self.duration_ms = 0
        self.counter = 0
        self.draft_subjects = [
            f"{firm.name}-work-{number}" for number in range(firm.draft_subject_count)
        ]
        self.subject_weights = [
            1 / (rank + 1) for rank in range(firm.draft_subject_count)
        ]

    def generate(
        self, phases: tuple[RatePhase, ...], duration_ms: int
    ) -> list[TraceRequest]:
        """Return all requests of a trace, in order of time."""
        self.duration_ms = duration_ms
        ends = [phase.from_ms for phase in phases[1:]] + [duration_ms]
        requests: list[TraceRequest] = []
        for phase, to_ms in zip(phases, ends, strict=True):
            span = (phase.from_ms, to_ms)
            for at_ms in self._draw_arrivals(phase.lookups_per_s, *span):
                requests.append(self._make_lookup(at_ms))
            for at_ms in self._draw_arrivals(phase.submissions_per_s, *span):
                requests.append(self._make_submission(at_ms))
            for at_ms in self._draw_arrivals(phase.drafts_per_s, *span):
                requests.append(self._make_draft(at_ms))
        return sorted(requests, key=lambda request: request.at_ms)

    def _draw_arrivals(
        self, rate_per_s: float, from_ms: int, to_ms: int
    ) -> Iterator[int]:
        at_ms = float(from_ms)
        while True:
            at_ms += self.random.expovariate(rate_per_s) * MS_PER_S
            if at_ms >= to_ms:
                return
            yield int(at_ms)

    def _next_id(self, call: str) -> str:
        self.counter += 1
        return f"{call}-{self.counter}"

    def _choose_account(self, weights: Mapping[str, float]) -> str:
        return self.random.choices(list(weights), list(weights.values()))[0]

    def _make_lookup(self, at_ms: int) -> TraceRequest:
        call = self.firm.lookup
        path = f"{call.path}/{self.random.randrange(2000)}"
        return self._make_plain_call(at_ms, call, path, 0)

    def _make_submission(self, at_ms: int) -> TraceRequest:
        call = self.firm.submission
        return self._make_plain_call(
            at_ms, call, call.path, self.random.randint(80, 600)
        )

    def _make_plain_call(
        self, at_ms: int, call: PlainCall, path: str, body_bytes: int
    ) -> TraceRequest:
        return TraceRequest(
            at_ms=at_ms,
            id=self._next_id(call.name),
            client_account=self._choose_account(self.firm.plain_accounts),
            service=self.firm.plain_service,
            call=call.name,
            kind=call.kind,
            priority=PLAIN_CALL_PRIORITY,
            deadline_ms=call.deadline_ms,
            method=call.method,
            path=path,
            body_bytes=body_bytes,
        )

    def _make_draft(self, at_ms: int) -> TraceRequest:
        profiles = self.firm.drafts
        profile = self.random.choices(
            profiles, [profile.share for profile in profiles]
        )[0]
        subject = self.random.choices(self.draft_subjects, self.subject_weights)[0]
        blocks = self.random.randint(*profile.prefix_blocks)
        suffix_tokens = self.random.randint(*profile.suffix_tokens)
        prefix_tokens = (TEMPLATE_BLOCKS + blocks) * BLOCK_TOKENS
        return TraceRequest(
            at_ms=at_ms,
            id=self._next_id(profile.name),
            client_account=self._choose_account(self.firm.draft_accounts),
            service=self.firm.model_service,
            call=profile.name,
            kind=CallKind.PATIENT,
            priority=DRAFT_PRIORITY,
            deadline_ms=self._draft_deadline(at_ms, profile),
            model=self.firm.model,
            prefix=(
                PrefixRun(f"{self.firm.name}-{profile.name}", TEMPLATE_BLOCKS),
                PrefixRun(subject, blocks),
            ),
            prompt_tokens=prefix_tokens + suffix_tokens,
            max_tokens=self.random.randint(*profile.max_tokens),
            answer=self._choose_answer_mode(),
        )

    def _draft_deadline(self, at_ms: int, profile: DraftProfile) -> int:
        """Return the deadline in milliseconds after sending.

        Drafts of NIGHT_BEFORE_FILING are due at the end of the trace, but not earlier
        than 5 minutes after sending.
        """
        if self.scenario != Scenario.NIGHT_BEFORE_FILING:
            return profile.deadline_ms
        return max(5 * MINUTE_MS, self.duration_ms - at_ms)

    def _choose_answer_mode(self) -> AnswerMode:
        fraction = self.random.random()
        if fraction < ASYNC_SHARE:
            return AnswerMode.ASYNC
        if fraction < ASYNC_SHARE + STREAM_SHARE:
            return AnswerMode.STREAM
        return AnswerMode.WHOLE
