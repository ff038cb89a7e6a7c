"""How requests end: answers of the gateway itself, log lines, counts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.logs import part_log

if TYPE_CHECKING:
    from tanagerturn.gateway.run import Refusal, Run
    from tanagerturn.gateway.server import Exchange
    from tanagerturn.gateway.state import GatewayState

RETRY_SPREAD: Final = 0.5
"""Largest share by which a time to come back is lengthened at random, so that
callers that were refused together do not return together."""

log = part_log("relay")


async def refuse(
    state: GatewayState, exchange: Exchange, run: Run | None, refusal: Refusal
) -> None:
    """Answer a request that the gateway gives up, at once."""
    retry_after_s = refusal.retry_after_s
    if retry_after_s is not None:
        retry_after_s *= 1 + RETRY_SPREAD * state.random.random()
    headers = state.dialect.encode_refusal(retry_after_s)
    if run is not None:
        run.cause = refusal.cause
        log_end(state, run, "refused", status=refusal.status)
    else:
        metrics = state.metrics
        metrics.outcomes.labels("refused_at_once", refusal.status).inc()
        log.info(
            "refused_at_once",
            request=exchange.attempt_id,
            status=refusal.status,
            cause=refusal.cause,
        )
    await exchange.respond(refusal.status, headers, b"")


def count_begin(state: GatewayState, run: Run) -> None:
    """Count for usage that a backend server began to run a request, once."""
    if run.has_begun or run.account is None:
        return
    run.has_begun = True
    state.usage.on_begun(run.account.name, state.wall_time.read(boot_s()))


def log_end(state: GatewayState, run: Run, outcome: str, **fields: object) -> None:
    """Log and count the end of a request."""
    taken_s = boot_s() - run.exchange.arrived_s
    metrics = state.metrics
    status = fields.get("status", run.exchange.status)
    metrics.outcomes.labels(outcome, status).inc()
    if outcome == "answered":
        metrics.answer_s.observe(taken_s)
        metrics.held_s.observe(run.held_s)
        metrics.passed_on_s.observe(run.passed_on_s)
        if run.first_event_s:
            metrics.first_event_s.observe(run.first_event_s)
            metrics.pause_s.observe(run.longest_pause_s)
    log.info(
        outcome,
        request=run.request.attempt_id,
        route=run.route.name,
        service=run.service,
        configuration=state.configuration.version,
        backends=sorted(run.tried),
        sent=run.sent,
        events=run.progress.count,
        expected_s=round(run.expected_s, 4),
        held_s=round(run.held_s, 4),
        passed_on_s=round(run.passed_on_s, 4),
        first_event_s=round(run.first_event_s, 4),
        longest_pause_s=round(run.longest_pause_s, 4),
        taken_s=round(taken_s, 4),
        cause=run.cause,
        **fields,
    )
