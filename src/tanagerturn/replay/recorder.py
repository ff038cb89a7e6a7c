"""Makes the shipped traces from the firms' habits, by a seed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import TYPE_CHECKING, Final

from tanagerturn.replay._stated import stated_outcomes, wave_events
from tanagerturn.replay.firms import (
    PRIORITY_OF_CALLS,
    PRIORITY_OF_DRAFTS,
    backends_of,
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

    from tanagerturn.replay.firms import DraftHabit, Firm, PlainCall

MINUTE_MS: Final = 60_000
MS_PER_S: Final = 1000.0
TEMPLATE_BLOCKS: Final = 4
"""Blocks that all drafts of one kind share."""
ASYNC_SHARE: Final = 0.15
"""Share of drafts that are collected later."""
STREAM_SHARE: Final = 0.6
"""Share of drafts that are streamed."""


class Scenario(Enum):
    """What a trace shows."""

    ORDINARY_HOUR = "ordinary-hour"
    """An hour of an ordinary day."""
    PURCHASE_PEAK = "purchase-peak"
    """An evening on which seats for the carol service are sold."""
    NIGHT_BEFORE_FILING = "night-before-filing"
    """Two hours of drafts that are due at the end, then filings."""
    RECLAIM_WAVES = "reclaim-waves"
    """Zones are taken in waves while starts are refused."""


@dataclass(frozen=True)
class Stretch:
    """Rates from a time on, each per second."""

    from_ms: int
    """Start of the stretch."""
    lookups: float
    """Lookups or status calls."""
    deposits: float
    """Purchases or filings."""
    drafts: float
    """Drafts."""


DURATIONS_MS: Final = {
    Scenario.ORDINARY_HOUR: 60 * MINUTE_MS,
    Scenario.PURCHASE_PEAK: 20 * MINUTE_MS,
    Scenario.NIGHT_BEFORE_FILING: 120 * MINUTE_MS,
    Scenario.RECLAIM_WAVES: 20 * MINUTE_MS,
}
"""Length of each scenario."""

STRETCHES: Final[dict[tuple[str, Scenario], tuple[Stretch, ...]]] = {
    ("inyenyeri", Scenario.ORDINARY_HOUR): (
        Stretch(0, 1.6, 0.2, 0.3),
        Stretch(20 * MINUTE_MS, 2.4, 0.35, 0.5),
        Stretch(40 * MINUTE_MS, 1.8, 0.2, 0.4),
    ),
    ("inyenyeri", Scenario.PURCHASE_PEAK): (
        Stretch(0, 3.0, 0.5, 0.4),
        Stretch(4 * MINUTE_MS, 14.0, 5.0, 0.6),
        Stretch(10 * MINUTE_MS, 8.0, 2.5, 0.8),
        Stretch(16 * MINUTE_MS, 4.0, 0.8, 0.5),
    ),
    ("inyenyeri", Scenario.RECLAIM_WAVES): (
        Stretch(0, 5.0, 1.0, 0.6),
        Stretch(4 * MINUTE_MS, 6.0, 1.5, 0.8),
    ),
    ("fascicoli", Scenario.ORDINARY_HOUR): (
        Stretch(0, 0.8, 0.08, 0.2),
        Stretch(30 * MINUTE_MS, 1.2, 0.15, 0.35),
    ),
    ("fascicoli", Scenario.NIGHT_BEFORE_FILING): (
        Stretch(0, 0.2, 0.02, 0.7),
        Stretch(30 * MINUTE_MS, 0.1, 0.01, 0.45),
        Stretch(75 * MINUTE_MS, 0.1, 0.01, 0.15),
        Stretch(105 * MINUTE_MS, 1.5, 0.6, 0.05),
    ),
    ("fascicoli", Scenario.RECLAIM_WAVES): (
        Stretch(0, 1.0, 0.2, 0.6),
        Stretch(4 * MINUTE_MS, 1.5, 0.3, 0.8),
    ),
}
"""Rates of each firm in each scenario that is shipped for it."""


def make_trace(firm: Firm, scenario: Scenario, seed: int) -> Trace:
    """Make one trace.

    Args:
        firm: Whose traffic.
        scenario: What the trace shows.
        seed: The same seed gives the same trace.

    Returns:
        The trace.

    Raises:
        ValueError: The firm has no such scenario.
    """
    stretches = STRETCHES.get((firm.name, scenario))
    if stretches is None:
        raise ValueError(f"{firm.name} has no trace {scenario.value}")
    duration_ms = DURATIONS_MS[scenario]
    recorder = _Recorder(firm, scenario, Random(f"{firm.name}/{scenario.value}/{seed}"))
    requests = recorder.record(stretches, duration_ms)
    waves = scenario == Scenario.RECLAIM_WAVES
    header = TraceHeader(
        version=FORMAT_VERSION,
        name=f"{firm.name}-{scenario.value}",
        firm=firm.name,
        seed=seed,
        duration_ms=duration_ms,
        availability_zones=firm.availability_zones,
        entry_hosts=firm.entry_hosts,
        client_accounts=firm.client_accounts,
        backends=backends_of(firm),
        outcomes=stated_outcomes(firm),
    )
    events = wave_events(firm) if waves else ()
    return Trace(header, tuple(requests), events)


class _Recorder:
    """Draws requests by rates and habits."""

    def __init__(self, firm: Firm, scenario: Scenario, random: Random) -> None:
        self.firm = firm
        self.scenario = scenario
        self.random = random
        self.duration_ms = 0
        self.counter = 0
        self.works = [f"{firm.name}-work-{number}" for number in range(firm.works)]
        self.work_weights = [1 / (rank + 1) for rank in range(firm.works)]

    def record(
        self, stretches: tuple[Stretch, ...], duration_ms: int
    ) -> list[TraceRequest]:
        """Draw all requests of a trace, in order of time."""
        self.duration_ms = duration_ms
        ends = [stretch.from_ms for stretch in stretches[1:]] + [duration_ms]
        requests: list[TraceRequest] = []
        for stretch, to_ms in zip(stretches, ends, strict=True):
            span = (stretch.from_ms, to_ms)
            for at_ms in self._arrivals(stretch.lookups, *span):
                requests.append(self._lookup(at_ms))
            for at_ms in self._arrivals(stretch.deposits, *span):
                requests.append(self._deposit(at_ms))
            for at_ms in self._arrivals(stretch.drafts, *span):
                requests.append(self._draft(at_ms))
        return sorted(requests, key=lambda request: request.at_ms)

    def _arrivals(self, rate_per_s: float, from_ms: int, to_ms: int) -> Iterator[int]:
        at_ms = float(from_ms)
        while True:
            at_ms += self.random.expovariate(rate_per_s) * MS_PER_S
            if at_ms >= to_ms:
                return
            yield int(at_ms)

    def _next_id(self, call: str) -> str:
        self.counter += 1
        return f"{call}-{self.counter}"

    def _account(self, weights: Mapping[str, float]) -> str:
        return self.random.choices(list(weights), list(weights.values()))[0]

    def _lookup(self, at_ms: int) -> TraceRequest:
        call = self.firm.lookup
        path = f"{call.path}/{self.random.randrange(2000)}"
        return self._plain(at_ms, call, path, 0)

    def _deposit(self, at_ms: int) -> TraceRequest:
        call = self.firm.deposit
        return self._plain(at_ms, call, call.path, self.random.randint(80, 600))

    def _plain(
        self, at_ms: int, call: PlainCall, path: str, body_bytes: int
    ) -> TraceRequest:
        return TraceRequest(
            at_ms=at_ms,
            id=self._next_id(call.name),
            client_account=self._account(self.firm.plain_accounts),
            service=self.firm.plain_service,
            call=call.name,
            kind=call.kind,
            priority=PRIORITY_OF_CALLS,
            deadline_ms=call.deadline_ms,
            method=call.method,
            path=path,
            body_bytes=body_bytes,
        )

    def _draft(self, at_ms: int) -> TraceRequest:
        habits = self.firm.drafts
        habit = self.random.choices(habits, [habit.share for habit in habits])[0]
        work = self.random.choices(self.works, self.work_weights)[0]
        blocks = self.random.randint(*habit.prefix_blocks)
        own_tokens = self.random.randint(*habit.own_tokens)
        shared = (TEMPLATE_BLOCKS + blocks) * BLOCK_TOKENS
        return TraceRequest(
            at_ms=at_ms,
            id=self._next_id(habit.name),
            client_account=self._account(self.firm.draft_accounts),
            service=self.firm.model_service,
            call=habit.name,
            kind=CallKind.PATIENT,
            priority=PRIORITY_OF_DRAFTS,
            deadline_ms=self._draft_deadline(at_ms, habit),
            model=self.firm.model,
            prefix=(
                PrefixRun(f"{self.firm.name}-{habit.name}", TEMPLATE_BLOCKS),
                PrefixRun(work, blocks),
            ),
            prompt_tokens=shared + own_tokens,
            max_tokens=self.random.randint(*habit.max_tokens),
            answer=self._answer_mode(),
        )

    def _draft_deadline(self, at_ms: int, habit: DraftHabit) -> int:
        """Drafts of the night are due at the morning filing."""
        if self.scenario != Scenario.NIGHT_BEFORE_FILING:
            return habit.deadline_ms
        return max(5 * MINUTE_MS, self.duration_ms - at_ms)

    def _answer_mode(self) -> AnswerMode:
        point = self.random.random()
        if point < ASYNC_SHARE:
            return AnswerMode.ASYNC
        if point < ASYNC_SHARE + STREAM_SHARE:
            return AnswerMode.STREAM
        return AnswerMode.WHOLE
