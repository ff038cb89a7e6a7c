"""Expected outcomes of the generated traces and events of the reclaim scenario."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.replay.firms import ENGINE_HOST_CLASS, make_backends
from tanagerturn.replay.trace import (
    EntryDeath,
    ExpectedOutcome,
    OutcomeKind,
    PriceChange,
    ReclaimNotice,
    StartsRefused,
)

if TYPE_CHECKING:
    from tanagerturn.replay.firms import Firm
    from tanagerturn.replay.trace import TraceEvent

MINUTE_MS: Final = 60_000
MAX_RECOMPUTED_SHARE: Final = 0.1
PRICE_SPIKE_FACTOR: Final = 3.0


def expected_outcomes(firm: Firm) -> tuple[ExpectedOutcome, ...]:
    """Return the expected outcomes that every trace of a firm has."""
    plain = firm.plain_service
    return (
        ExpectedOutcome(OutcomeKind.ANSWERED),
        ExpectedOutcome(OutcomeKind.RIGHT_ANSWER),
        ExpectedOutcome(OutcomeKind.STREAMS_IN_ORDER),
        ExpectedOutcome(OutcomeKind.EXECUTED_ONCE),
        ExpectedOutcome(OutcomeKind.NOT_RUN_IS_TRUE),
        ExpectedOutcome(
            OutcomeKind.LATENCY, firm.lookup.p95_target_ms, plain, firm.lookup.name
        ),
        ExpectedOutcome(
            OutcomeKind.LATENCY,
            firm.submission.p95_target_ms,
            plain,
            firm.submission.name,
        ),
        ExpectedOutcome(OutcomeKind.REFUSED_SHARE, 0.0, plain, firm.submission.name),
        ExpectedOutcome(OutcomeKind.DEADLINES, 0.0, firm.model_service),
        ExpectedOutcome(OutcomeKind.NO_LATE_WORK),
    )


def reclaim_wave_events(firm: Firm) -> tuple[TraceEvent, ...]:
    """Return the events of the scenario RECLAIM_WAVES.

    The hosts of two availability zones are reclaimed within one minute, while starts
    are refused and the price in a third zone rises. Later an entry host crashes and
    a host of the plain service stops without notice.
    """
    zones = firm.availability_zones
    recomputation_limit = ExpectedOutcome(
        OutcomeKind.RECOMPUTED_SHARE, MAX_RECOMPUTED_SHARE, firm.model_service
    )
    return (
        StartsRefused(4 * MINUTE_MS, "", "", 10 * MINUTE_MS),
        _zone_reclaim(firm, zones[0], 4 * MINUTE_MS, 30_000, (recomputation_limit,)),
        _zone_reclaim(firm, zones[1], 5 * MINUTE_MS, 15_000, ()),
        PriceChange(
            6 * MINUTE_MS,
            zones[2],
            ENGINE_HOST_CLASS,
            firm.prices[2] * PRICE_SPIKE_FACTOR,
        ),
        EntryDeath(8 * MINUTE_MS, firm.entry_hosts - 1),
        ReclaimNotice(
            12 * MINUTE_MS,
            (f"{firm.plain_service}-4",),
            notice_ms=0,
            announced=False,
            from_cloud=False,
        ),
        PriceChange(14 * MINUTE_MS, zones[2], ENGINE_HOST_CLASS, firm.prices[2]),
    )


def _zone_reclaim(
    firm: Firm,
    zone: str,
    at_ms: int,
    notice_ms: int,
    outcomes: tuple[ExpectedOutcome, ...],
) -> ReclaimNotice:
    reclaimed = [
        backend.id
        for backend in make_backends(firm)
        if backend.availability_zone == zone
    ]
    return ReclaimNotice(at_ms, tuple(reclaimed), notice_ms, outcomes=outcomes)
