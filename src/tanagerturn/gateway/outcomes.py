"""Ends requests: error responses of the gateway itself, log lines and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.logs import component_log

if TYPE_CHECKING:
    from tanagerturn.gateway.callers.exchange import Exchange
    from tanagerturn.gateway.request_run import Refusal, RequestRun
    from tanagerturn.gateway.state import GatewayState

RETRY_AFTER_JITTER: Final = 0.5
"""Largest fraction by which a Retry-After time is lengthened at random, so that callers
refused together do not retry together."""

PLAIN_TEXT: Final = (b"Content-Type", b"text/plain; charset=utf-8")

log = component_log("relay")


async def refuse(
    state: GatewayState, exchange: Exchange, run: RequestRun | None, refusal: Refusal
) -> None:
    """Respond to a request with an error of the gateway itself.

    Args:
        state: State of the gateway.
        exchange: Request and response on the caller's connection.
        run: The request; None if refused before a route and an account were found.
        refusal: Status and cause of the error.
    """
    retry_after_s = refusal.retry_after_s
    if retry_after_s is not None:
        retry_after_s *= 1 + RETRY_AFTER_JITTER * state.random.random()
    headers = state.dialect.encode_error_headers(retry_after_s)
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
    if refusal.detail:
        headers = [*headers, PLAIN_TEXT]
    await exchange.respond(refusal.status, headers, refusal.detail.encode())


def count_run_start(state: GatewayState, run: RequestRun) -> None:
    """Count a request for usage when a backend server begins to run it.

    Each request is counted once, and none without a client account.
    """
    if run.is_start_counted or run.account is None:
        return
    run.is_start_counted = True
    state.usage.on_run_started(run.account.name, state.wall_clock.read(boot_s()))


def log_end(
    state: GatewayState, run: RequestRun, outcome: str, **fields: object
) -> None:
    """Log the end of a request and count it in the metrics.

    Args:
        state: State of the gateway.
        run: The request.
        outcome: Log event that names its outcome.
        fields: Further fields of the log line; `status` replaces the status that was
            sent to the caller.
    """
    taken_s = boot_s() - run.exchange.arrived_s
    metrics = state.metrics
    status = fields.get("status", run.exchange.status)
    metrics.outcomes.labels(outcome, status).inc()
    if outcome == "answered":
        service_s = taken_s - run.held_s
        state.service_times.on_answered(run.route.name, service_s, boot_s())
        metrics.answer_s.observe(taken_s)
        metrics.held_s.observe(run.held_s)
        metrics.passed_on_s.observe(run.passed_on_s)
        if run.first_event_s:
            metrics.first_event_s.observe(run.first_event_s)
            metrics.pause_s.observe(run.longest_pause_s)
    _count_lateness(state, run, outcome)
    prompt = run.request.prompt
    log.info(
        outcome,
        request=run.request.attempt_id,
        route=run.route.name,
        service=run.service,
        configuration=state.configuration.version,
        backends=sorted(run.tried_backend_ids),
        sent=run.sent_count,
        events=run.progress.event_count,
        last_event=run.progress.last_id,
        max_output_tokens=prompt.max_output_tokens if prompt else None,
        framing=framing_name(run),
        move=run.move.value,
        expected_s=round(run.expected_s, 4),
        held_s=round(run.held_s, 4),
        passed_on_s=round(run.passed_on_s, 4),
        first_event_s=round(run.first_event_s, 4),
        longest_pause_s=round(run.longest_pause_s, 4),
        taken_s=round(taken_s, 4),
        cause=run.cause,
        **({"scarcity": run.price_reason} if run.price_reason else {}),
        **fields,
    )


def framing_name(run: RequestRun) -> str:
    """Return how the current attempt's response is delimited; empty before its head."""
    return run.framing.value if run.framing else ""


def _count_lateness(state: GatewayState, run: RequestRun, outcome: str) -> None:
    """Count whether a generation was late, where the capacity depends on it."""
    rate = state.fleet.speeds.rates.get(run.service)
    if rate is None or run.request.prompt is None:
        return
    if outcome == "answered":
        is_late = run.first_event_s > run.route.latency_objective_s
        rate.on_first_event(boot_s(), is_late=is_late)
    elif outcome == "refused" and not run.sent_count:
        rate.on_first_event(boot_s(), is_late=True)
