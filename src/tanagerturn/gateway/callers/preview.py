"""Explains where a request would go now, without sending it; read only.

The decisions are those of the relay, on the present state of this gateway. Nothing is
charged, counted, queued or sent.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, Final, cast
from urllib.parse import parse_qs, urlsplit

from tanagerturn.clocks import to_ms
from tanagerturn.gateway.backends import placement
from tanagerturn.gateway.callers.scarcity import scarce_request
from tanagerturn.gateway.configuration import AccountName
from tanagerturn.gateway.event_stream import StreamProgress
from tanagerturn.gateway.limits import LOCAL
from tanagerturn.gateway.messages import (
    AttemptId,
    InboundRequest,
    Prompt,
    PromptPart,
    PromptPartId,
)
from tanagerturn.gateway.request_run import RequestRun, request_priority
from tanagerturn.serving.admission.first_event import Deferred, admit
from tanagerturn.serving.admission.scarcity import refusal_reason
from tanagerturn.serving.limits.owned import owner_of

if TYPE_CHECKING:
    from tanagerturn.gateway.backends.placement import Choice
    from tanagerturn.gateway.callers.exchange import Exchange
    from tanagerturn.gateway.configuration import Account, Route, ServiceName
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.backends.backend import Backend

PATH: Final = "/preview"
"""Path of the metrics listener that answers with a preview."""

Explanation = dict[str, Any]
"""Nested figures, as in the JSON response."""


def preview(state: GatewayState, target: str, now_s: float) -> Explanation:
    """Return where a request would go now, and the figures that decide it.

    Args:
        state: State of the gateway; it is not changed.
        target: Path and query of the call: `host`, `path`, and optionally `account`,
            `prompt_tokens`, `output_tokens`, `parts` (ID:TOKENS, separated by commas)
            and `timeout_s`.
        now_s: Current boot-clock time in seconds.

    Raises:
        ValueError: A parameter is malformed.
    """
    query = {name: each[-1] for name, each in parse_qs(urlsplit(target).query).items()}
    configuration = state.configuration
    explained: Explanation = {
        "gateway": state.settings.host,
        "zone": state.settings.zone,
        "is_draining": state.is_draining,
        "configuration": configuration.version,
    }
    host, path = query.get("host", "").lower(), query.get("path", "/")
    route = configuration.route_for(host, path)
    if route is None:
        return {**explained, "verdict": "refused", "reason": "404: no route matches"}
    explained["route"] = {
        "name": route.name,
        "kind": route.kind.name.lower(),
        "priority": route.priority,
        "latency_objective_s": route.latency_objective_s,
        "timeout_s": route.timeout_s,
    }
    account = next(
        (a for a in configuration.accounts if a.name == query.get("account")), None
    )
    needs_account = bool(configuration.accounts) and not route.is_anonymous
    if account is None and (needs_account or "account" in query):
        return {**explained, "verdict": "refused", "reason": "401: no such account"}
    if account is not None:
        explained["account"] = _explain_account(state, account, now_s)
    request = _decode(query, host, path)
    timeout_s = min(route.timeout_s, float(query.get("timeout_s", route.timeout_s)))
    total = sum(each.weight for each in route.targets)
    explained["services"] = [
        {
            "service": each.service,
            "share": round(each.weight / total, 4),
            **_explain_service(
                state, _run(request, route, each.service, account, timeout_s, now_s)
            ),
        }
        for each in route.targets
        if each.weight > 0
    ]
    return explained


def _decode(query: dict[str, str], host: str, path: str) -> InboundRequest:
    prompt = None
    if "prompt_tokens" in query:
        parts = tuple(
            PromptPart(PromptPartId(name), int(tokens))
            for name, _, tokens in (
                each.partition(":") for each in query.get("parts", "").split(",")
            )
            if name
        )
        output = int(query.get("output_tokens", "0"))
        prompt = Prompt("", int(query["prompt_tokens"]), output, parts)
    return InboundRequest(
        "POST", path, path, host, AttemptId(""), None, "", None, prompt, AttemptId("")
    )


def _run(
    request: InboundRequest,
    route: Route,
    service: ServiceName,
    account: Account | None,
    timeout_s: float,
    now_s: float,
) -> RequestRun:
    """Return a run without a connection, for the functions that decide."""
    exchange = cast("Exchange", SimpleNamespace(arrived_s=now_s, body=b""))
    return RequestRun(
        request,
        exchange,
        route,
        service,
        account,
        now_s + timeout_s,
        StreamProgress(None),
    )


def _explain_account(
    state: GatewayState, account: Account, now_s: float
) -> Explanation:
    """Return the limit of a client account, and what is left of it if known here."""
    limits = state.limits
    explained: Explanation = {
        "name": account.name,
        "priority": account.priority,
        "rate_per_s": account.rate_per_s or None,
        "burst": account.burst or None,
        "unit": "tokens" if account.counts_tokens else "requests",
    }
    if account.rate_per_s <= 0:
        return explained
    owner = owner_of(AccountName(account.name), [limits.host, *limits.gateways])
    explained["owner"] = owner if limits.gateways.get(owner, LOCAL) else limits.host
    bucket = limits.owned.buckets.get(account.name)
    if bucket is not None:
        # The bucket itself must not be refilled here.
        gained = max(0.0, now_s - bucket.refilled_at_s) * bucket.rate_per_s
        explained["units_left"] = round(min(bucket.burst, bucket.units + gained), 1)
    return explained


def _explain_service(state: GatewayState, run: RequestRun) -> Explanation:
    """Return the verdict of one service and its candidates."""
    now_s, fleet = run.exchange.arrived_s, state.fleet
    known_states = set(fleet.states)
    try:
        excluded = state.excluded_backends(run, now_s)
        choice = placement.choose(
            fleet,
            run.service,
            run.request.prompt,
            excluded,
            state.settings.zone,
            now_s,
        )
        eligible = {b.id for b in fleet.candidates(run.service, excluded, now_s)}
        candidates = [
            _explain_candidate(
                state, run, backend, now_s, is_eligible=backend.id in eligible
            )
            for backend in fleet.view.pool(run.service)
        ]
        verdict = _verdict(state, run, choice, now_s)
    finally:
        # Lookups add empty entries for backend servers that got no request yet.
        for backend_id in set(fleet.states) - known_states:
            del fleet.states[backend_id]
    best_id = choice.backend.id if choice is not None else ""
    candidates.sort(
        key=lambda each: (
            each["id"] != best_id,
            not each["is_eligible"],
            each["first_event_s"],
            each["id"],
        )
    )
    return {
        **verdict,
        "priority": request_priority(run),
        "capacity": _explain_capacity(state, run.service, now_s),
        "candidates": candidates,
    }


def _verdict(
    state: GatewayState, run: RequestRun, choice: Choice | None, now_s: float
) -> Explanation:
    if state.is_draining:
        return {"verdict": "refused", "reason": "the gateway is stopping"}
    if choice is None:
        if state.lacks_path(run.service, now_s):
            reason = "this gateway reaches no backend server"
            return {"verdict": "sent to a peer gateway", "reason": reason}
        reason = "no eligible backend server"
        return {"verdict": "refused", "reason": reason}
    admission = _admission(state, run, choice, now_s)
    if admission:
        return {"verdict": "refused", "reason": admission}
    if choice.is_full:
        reason = f"even {choice.backend.id} has no free capacity"
        return {"verdict": "waits", "reason": reason}
    if run.request.prompt is None:
        reason = "least loaded"
    else:
        reason = f"earliest first event, in {choice.first_event_s:.3f} s"
    return {"verdict": "sent", "backend": choice.backend.id, "reason": reason}


def _admission(
    state: GatewayState, run: RequestRun, choice: Choice, now_s: float
) -> str:
    """Return why the admission of generations refuses; empty if it does not."""
    if run.request.prompt is None:
        return ""
    if not state.shares_price(run.service):
        decision = admit(
            choice.first_event_s,
            choice.prompt_read_s,
            0.0,
            run.route.latency_objective_s,
            request_priority(run),
            run.time_left_s(now_s),
        )
        is_late = isinstance(decision, Deferred)
        return f"late: first event in {choice.first_event_s:.3f} s" if is_late else ""
    price = state.scarcity.prices.get(run.service)
    if price is None:
        return ""
    reason = refusal_reason(price, scarce_request(run, choice, now_s), now_s)
    return f"{reason}: level {price.level:.2f}" if reason else ""


def _explain_capacity(state: GatewayState, service: str, now_s: float) -> Explanation:
    price = state.scarcity.prices.get(service)
    if price is None or not state.shares_price(service):
        return {"is_shared": False}
    ages_s = [now_s - sent_s for _, sent_s in price.reports.values()]
    return {
        "is_shared": True,
        "level": round(price.level, 3),
        "price": round(price.price, 3),
        "demand_by_priority": {str(p): round(d, 3) for p, d in price.totals.items()},
        "capacity_factor": round(price.capacity_factor, 3),
        "wait_s": round(price.wait_s(now_s), 4),
        "computed_ago_s": _age(price.stepped_s, now_s),
        "peer_reports": len(ages_s),
        "oldest_report_s": round(max(ages_s), 3) if ages_s else None,
    }


def _explain_candidate(
    state: GatewayState,
    run: RequestRun,
    backend: Backend,
    now_s: float,
    *,
    is_eligible: bool,
) -> Explanation:
    fleet = state.fleet
    known = fleet.state(backend.id)
    own, total = known.local_work(), known.total_work(now_s)
    digests_s = [at_s for _, at_s in known.peer_work.values()]
    choice = placement.choice_at(
        fleet, backend, run.request.prompt, state.settings.zone, now_s
    )
    return {
        "id": backend.id,
        "zone": backend.zone,
        "is_eligible": is_eligible,
        "excluded_by": _exclusion(state, backend, now_s),
        "slots": backend.slots,
        "running": total.running,
        "running_of_peers": total.running - own.running,
        "peer_digest_age_s": _age(min(digests_s), now_s) if digests_s else None,
        "prompt_tokens": total.prompt_tokens,
        "kv_tokens": total.kv_tokens,
        "cached_tokens": known.cached_tokens(run.request.prompt.parts)
        if run.request.prompt
        else 0,
        "pace": round(choice.pace, 3),
        "pace_age_s": _age(known.pace.updated_s, now_s)
        if known.pace.updated_s
        else None,
        "is_full": choice.is_full,
        "first_event_s": round(choice.first_event_s, 4),
        "prompt_read_s": round(choice.prompt_read_s, 4),
        "backlog_s": round(choice.backlog_s, 4),
        "heard_ago_s": _age(backend.last_heard_ms / 1000, now_s),
    }


def _exclusion(state: GatewayState, backend: Backend, now_s: float) -> str:
    """Return why a backend server is avoided; empty if it is not."""
    fleet = state.fleet
    if fleet.view.is_leaving(backend):
        return "leaving"
    if not backend.is_alive(to_ms(now_s)):
        return "silent"
    if now_s < fleet.state(backend.id).blocked_until_s:
        return "unreachable"
    if fleet.view.outliers.is_ejected(backend.id, now_s):
        return "ejected"
    if backend.id in state.backend_limits.exhausted_ids(now_s):
        return "limit"
    return "" if fleet.paths.is_open(backend.id) else "path"


def _age(at_s: float, now_s: float) -> float | None:
    """Return an age in seconds; None for what never happened."""
    age_s = now_s - at_s
    return round(age_s, 3) if age_s < 1e8 else None
