"""Admits requests: decodes heads, finds routes and client accounts, applies limits."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import boot_s, to_ms
from tanagerturn.gateway.configuration import (
    NO_VERSION,
    RequestKind,
    ServiceName,
    pick_target,
)
from tanagerturn.gateway.event_stream import StreamProgress
from tanagerturn.gateway.fingerprints import fingerprint_of, fingerprint_text
from tanagerturn.gateway.limits import Unverified
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.quarantine import crash_id, shared_parts
from tanagerturn.gateway.repeats import trial_turn
from tanagerturn.gateway.request_run import Refusal, RequestRun, earlier_wait_s
from tanagerturn.gateway.stream_origins import apply_origins, ask_peers
from tanagerturn.serving.limits.terms import Exceeded
from tanagerturn.serving.streams.origins import StreamOrigin

if TYPE_CHECKING:
    from tanagerturn.gateway.backends.forwarded import ForwardedCall
    from tanagerturn.gateway.callers.exchange import Exchange
    from tanagerturn.gateway.configuration import Account, Route
    from tanagerturn.gateway.links import Links
    from tanagerturn.gateway.messages import InboundRequest
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.quarantine.evidence import Fingerprint, PartId

RESPONSE_MARGIN_S: Final = 0.01
"""Time in seconds before the caller's deadline reserved for sending the response."""

NO_CONFIGURATION_RETRY_S: Final = 0.2
"""Time in seconds after which a caller may retry at a gateway without a configuration;
the gateway receives one from its peers within about a digest interval."""

QUARANTINE_RETRY_S: Final = 60.0
"""Longest time in seconds after which a caller may retry a quarantined request, or a
prompt with a quarantined part."""

MIN_QUARANTINE_RETRY_S: Final = 1.0
"""Shortest such time in seconds, for those that are about to be tried."""

UNKNOWN_ORIGIN_RETRY_S: Final = 0.5
"""Time in seconds after which a caller may take a stream up again whose software
version is not known; gateways that start learn it from their peers."""

UNVERIFIED_RETRY_S: Final = (0.3, 0.8)
"""Shortest and longest time in seconds after which a caller may retry whose limit could
not be checked; spread, so that the callers do not return together."""

log = component_log("relay")


class Intake:
    """Admits requests of callers.

    Args:
        state: State that the components of the gateway share.
        links: Links to peer gateways, which own limits of client accounts.
    """

    def __init__(self, state: GatewayState, links: Links) -> None:
        self.state = state
        """State that the components of the gateway share."""
        self.links = links
        """Links to peer gateways, which own limits of client accounts."""

    async def accept(self, exchange: Exchange) -> RequestRun:
        """Decode the head of a request and admit it.

        Raises:
            Refusal: The head is malformed, no configuration, route or client account
                matches, or the account is over its limit.
        """
        state = self.state
        state.detect_pause(boot_s())
        configuration = state.configuration
        decoded = state.dialect.decode_request(
            exchange.method, exchange.target, exchange.headers
        )
        if decoded.is_error():
            raise Refusal(400, str(decoded.error))
        request = decoded.ok
        exchange.attempt_id = request.attempt_id
        if configuration.version == NO_VERSION:
            raise Refusal(503, "no configuration is known", NO_CONFIGURATION_RETRY_S)
        route = configuration.route_for(request.host, request.path)
        if route is None:
            raise Refusal(
                404, f"no matching route in configuration {configuration.version}"
            )
        account = None
        if configuration.accounts and not route.is_anonymous:
            account = configuration.account_for(request.key)
            if account is None:
                raise Refusal(
                    401,
                    "no client account with this key in configuration"
                    f" {configuration.version}",
                )
        if exchange.forwarded is not None:
            return _forwarded_run(request, exchange, route, account, exchange.forwarded)
        self.state.quarantine_share.on_request(route.targets[0].service)
        is_trial = self._admit_trial(request, account, exchange, route)
        origin = await self._find_origin(request, route)
        units = await self._charge(request, account)
        prompt = request.prompt
        if prompt is not None and not earlier_wait_s(request, route):
            tokens = prompt.prompt_tokens + prompt.max_output_tokens
            state.token_demand.on_requested(tokens, exchange.arrived_s)
        caller_timeout_s = min(
            request.caller_timeout_s
            if request.caller_timeout_s is not None
            else math.inf,
            route.timeout_s,
        )
        service = (
            ServiceName(origin.service)
            if origin is not None
            else pick_target(route, state.random.random())
        )
        state.retry_window(service).on_request(exchange.arrived_s)
        return RequestRun(
            request,
            exchange,
            route,
            service,
            account,
            exchange.arrived_s + caller_timeout_s - RESPONSE_MARGIN_S,
            StreamProgress(request.last_event_id),
            charged_units=units,
            is_trial=is_trial,
            origin=origin,
        )

    async def _find_origin(
        self, request: InboundRequest, route: Route
    ) -> StreamOrigin | None:
        """Return where a stream that the caller takes up began.

        None for other requests.

        Raises:
            Refusal: It is not known, or the route has another service now.
        """
        if route.kind is not RequestKind.STREAM or request.last_event_id is None:
            return None
        origins, now_s = self.state.stream_origins, boot_s()
        services = [t.service for t in route.targets if t.weight > 0]
        attempt_id = request.resumed_attempt_id
        origin = origins.find(attempt_id) if attempt_id else None
        if origin is None and not origins.needs_confirmation(now_s):
            origin = self._sole_origin(services)
        if origin is None:
            answers = await ask_peers(
                origins, attempt_id, self.links, self.state.limits.gateways
            )
            for answer in answers:
                apply_origins(origins, answer, boot_s())
            origin = origins.find(attempt_id) if attempt_id else None
            origin = origin or self._sole_origin(services)
        if origin is None:
            cause = "it is not known at which software version the stream began"
            raise Refusal(503, cause, UNKNOWN_ORIGIN_RETRY_S, detail=cause)
        if origin.service not in services:
            cause = f"the stream began at service {origin.service}, not routed to now"
            raise Refusal(503, cause, UNKNOWN_ORIGIN_RETRY_S, detail=cause)
        return origin

    def _sole_origin(self, services: list[ServiceName]) -> StreamOrigin | None:
        """Return where all streams of a route began; None if that is not sure."""
        if len(services) != 1:
            return None
        origins = self.state.stream_origins
        version = origins.sole_version(services[0], boot_s())
        return None if version is None else StreamOrigin(services[0], version)

    def reject_quarantined(self, run: RequestRun, now_s: float) -> None:
        """Reject an admitted request that has been quarantined meanwhile.

        Args:
            run: The request's run.
            now_s: Current boot-clock time in seconds.

        Raises:
            Refusal: The request, or a part of its prompt, is quarantined.
        """
        state = self.state
        if run.is_trial:
            return
        if state.repeats.evidence and state.repeats.is_quarantined(run.fingerprint):
            refusal = self._repeat_refusal(run.fingerprint, run.route, now_s)
        else:
            part = state.quarantine.find(shared_parts(run.request.prompt))
            if part is None:
                return
            refusal = self._part_refusal(part, run.route, now_s)
        if run.may_have_run:
            raise Refusal(502, refusal.cause)
        raise refusal

    def _admit_trial(
        self,
        request: InboundRequest,
        account: Account | None,
        exchange: Exchange,
        route: Route,
    ) -> bool:
        """Return whether a request is let through in spite of a quarantine.

        Raises:
            Refusal: The request, or a part of its prompt, is quarantined.
        """
        state, now_s = self.state, exchange.arrived_s
        if state.repeats.evidence:
            fingerprint = fingerprint_of(request, account, exchange.body)
            if state.repeats.is_quarantined(fingerprint):
                turn = self._trial_turn(fingerprint)
                if self._has_backend(route, now_s) and state.repeats.try_again(
                    fingerprint, turn, now_s
                ):
                    log.info(
                        "request_tried",
                        request=request.attempt_id,
                        fingerprint=fingerprint_text(fingerprint),
                    )
                    return True
                raise self._repeat_refusal(fingerprint, route, now_s)
        parts = shared_parts(request.prompt)
        part = state.quarantine.find(parts)
        if part is None:
            return False
        oldest_start_s = self._oldest_start_s(route, now_s)
        if self._has_backend(route, now_s) and state.quarantine.try_again(
            parts, self._trial_turn(part), now_s, oldest_start_s
        ):
            log.info("part_tried", request=request.attempt_id, prompt_part=part)
            return True
        raise self._part_refusal(part, route, now_s)

    def _trial_turn(self, suspect: Fingerprint | PartId) -> int:
        state = self.state
        return trial_turn(suspect, state.settings.host, state.limits.gateways)

    def _has_backend(self, route: Route, now_s: float) -> bool:
        fleet = self.state.fleet
        return any(
            backend.is_alive(to_ms(now_s))
            and now_s >= fleet.state(backend.id).blocked_until_s
            for target in route.targets
            for backend in fleet.candidates(target.service, (), now_s)
        )

    def _oldest_start_s(self, route: Route, now_s: float) -> float:
        """Return when the backend server started that has run for the longest time.

        Boot-clock time in seconds; the present one if the route has no live one. One
        that is known to have crashed may count as alive until its announcements are
        missed.
        """
        state = self.state
        wall_s = state.wall_clock.read(now_s)
        starts_s = [
            backend.started_s(now_s, wall_s)
            for target in route.targets
            for backend in state.fleet.view.pool(target.service)
            if backend.is_alive(to_ms(now_s))
            and crash_id(backend) not in state.crash_log.seen_s
        ]
        return min(starts_s, default=now_s)

    def _part_refusal(self, part: PartId, route: Route, now_s: float) -> Refusal:
        self.state.quarantine_share.on_rejected(route.targets[0].service)
        oldest_start_s = self._oldest_start_s(route, now_s)
        due_s = self.state.quarantine.trial_due_s(part, oldest_start_s)
        cause = f"prompt part {part} crashed engines and is quarantined"
        return Refusal(503, cause, _quarantine_retry_s(due_s, now_s))

    def _repeat_refusal(
        self, fingerprint: Fingerprint, route: Route, now_s: float
    ) -> Refusal:
        self.state.quarantine_share.on_rejected(route.targets[0].service)
        due_s = self.state.repeats.trial_due_s(fingerprint)
        cause = (
            f"request {fingerprint_text(fingerprint)} crashed backend servers and is "
            "quarantined"
        )
        return Refusal(503, cause, _quarantine_retry_s(due_s, now_s))

    def refund(self, run: RequestRun) -> None:
        """Refund the units of a request that was not executed to its client account."""
        if run.account is not None and run.charged_units:
            units, run.charged_units = run.charged_units, 0.0
            self.state.limits.refund(run.account.name, units, self.links)

    async def _charge(self, request: InboundRequest, account: Account | None) -> float:
        """Charge a request to its client account.

        Returns:
            The charged units; 0 without a client account.

        Raises:
            Refusal: The account is over its limit.
        """
        if account is None:
            return 0.0
        units = 1.0
        if account.counts_tokens:
            units = account.plain_cost
            if request.prompt is not None:
                prompt = request.prompt
                units = float(prompt.prompt_tokens + prompt.max_output_tokens)
        taken = await self.state.limits.charge(account.name, units, self.links)
        if isinstance(taken, Exceeded):
            raise Refusal(
                429,
                f"client account {account.name} is over its limit",
                taken.retry_after_s,
            )
        if isinstance(taken, Unverified):
            raise Refusal(
                503,
                f"the gateway that owns the limit of client account {account.name} "
                "does not respond",
                self.state.random.uniform(*UNVERIFIED_RETRY_S),
            )
        return units


def _forwarded_run(
    request: InboundRequest,
    exchange: Exchange,
    route: Route,
    account: Account | None,
    forwarded: ForwardedCall,
) -> RequestRun:
    """Return the run of a request that a peer gateway has admitted and charged.

    Raises:
        Refusal: The route has another service now.
    """
    stated = forwarded.request
    service = ServiceName(stated.service)
    if service not in [t.service for t in route.targets if t.weight > 0]:
        cause = f"route {route.name} is not routed to service {service} now"
        raise Refusal(503, cause, NO_CONFIGURATION_RETRY_S)
    last_id = stated.last_event_id if stated.HasField("last_event_id") else None
    return RequestRun(
        request,
        exchange,
        route,
        service,
        account,
        exchange.arrived_s + stated.time_left_ms / 1000,
        StreamProgress(last_id),
        tried_backend_ids=forwarded.tried_backend_ids,
        sent_count=stated.sent_count,
        may_have_run=stated.may_have_run,
        is_start_counted=stated.start_counted,
        is_trial=stated.trial,
        origin=forwarded.origin,
        forwarded=forwarded,
        rollout_side=forwarded.rollout_side,
        rollout_number=stated.rollout_number,
    )


def _quarantine_retry_s(due_s: float, now_s: float) -> float:
    """Return the time in seconds after which the caller of a refused request may retry.

    Args:
        due_s: Boot-clock time in seconds of the next trial.
        now_s: Current boot-clock time in seconds.
    """
    return min(max(MIN_QUARANTINE_RETRY_S, due_s - now_s), QUARANTINE_RETRY_S)
