"""Outcomes that the shipped traces state, and the events of reclaim waves."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.replay.firms import ENGINE_CLASS, backends_of
from tanagerturn.replay.trace import (
    EntryDeath,
    OutcomeKind,
    PriceChange,
    ReclaimNotice,
    StartsRefused,
    StatedOutcome,
)

if TYPE_CHECKING:
    from tanagerturn.replay.firms import Firm
    from tanagerturn.replay.trace import TraceEvent

MINUTE_MS: Final = 60_000
RECOMPUTED_SHARE: Final = 0.1
SPIKE_FACTOR: Final = 3.0


def stated_outcomes(firm: Firm) -> tuple[StatedOutcome, ...]:
    """Return what has to hold in every trace of a firm."""
    plain = firm.plain_service
    return (
        StatedOutcome(OutcomeKind.ANSWERED),
        StatedOutcome(OutcomeKind.RIGHT_ANSWER),
        StatedOutcome(OutcomeKind.STREAMS_IN_ORDER),
        StatedOutcome(OutcomeKind.EXECUTED_ONCE),
        StatedOutcome(OutcomeKind.NOT_RUN_IS_TRUE),
        StatedOutcome(
            OutcomeKind.LATENCY, firm.lookup.target_ms, plain, firm.lookup.name
        ),
        StatedOutcome(
            OutcomeKind.LATENCY, firm.deposit.target_ms, plain, firm.deposit.name
        ),
        StatedOutcome(OutcomeKind.REFUSED_SHARE, 0.0, plain, firm.deposit.name),
        StatedOutcome(OutcomeKind.DEADLINES, 0.0, firm.model_service),
        StatedOutcome(OutcomeKind.NO_LATE_WORK),
    )


def wave_events(firm: Firm) -> tuple[TraceEvent, ...]:
    """Return two zones' reclaims in a minute, and what goes with them."""
    zones = firm.availability_zones
    recomputed = StatedOutcome(
        OutcomeKind.RECOMPUTED_SHARE, RECOMPUTED_SHARE, firm.model_service
    )
    return (
        StartsRefused(4 * MINUTE_MS, "", "", 10 * MINUTE_MS),
        _zone_notice(firm, zones[0], 4 * MINUTE_MS, 30_000, (recomputed,)),
        _zone_notice(firm, zones[1], 5 * MINUTE_MS, 15_000, ()),
        PriceChange(
            6 * MINUTE_MS, zones[2], ENGINE_CLASS, firm.prices[2] * SPIKE_FACTOR
        ),
        EntryDeath(8 * MINUTE_MS, firm.entry_hosts - 1),
        ReclaimNotice(
            12 * MINUTE_MS,
            (f"{firm.plain_service}-4",),
            notice_ms=0,
            announced=False,
            from_cloud=False,
        ),
        PriceChange(14 * MINUTE_MS, zones[2], ENGINE_CLASS, firm.prices[2]),
    )


def _zone_notice(
    firm: Firm,
    zone: str,
    at_ms: int,
    notice_ms: int,
    outcomes: tuple[StatedOutcome, ...],
) -> ReclaimNotice:
    taken = [
        backend.id for backend in backends_of(firm) if backend.availability_zone == zone
    ]
    return ReclaimNotice(at_ms, tuple(taken), notice_ms, outcomes=outcomes)
