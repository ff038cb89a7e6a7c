"""Lets requests in: head, route, client account and its limit."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.configuration import NO_VERSION, pick_target
from tanagerturn.gateway.events import StreamProgress
from tanagerturn.gateway.run import Refusal, Run, waited_before_s
from tanagerturn.serving.limits.spread import Exceeded

if TYPE_CHECKING:
    from tanagerturn.gateway.configuration import Account
    from tanagerturn.gateway.links import Links
    from tanagerturn.gateway.messages import InboundRequest
    from tanagerturn.gateway.server import Exchange
    from tanagerturn.gateway.state import GatewayState

PATIENCE_MARGIN_S: Final = 0.01
"""Time kept for the way back to the caller."""

NO_CONFIGURATION_RETRY_S: Final = 0.2
"""A gateway learns the configuration from its peers within about a digest."""


class Intake:
    """Lets requests of callers in.

    Args:
        state: State of the gateway.
        links: Links to other gateways, which keep limits of client accounts.
    """

    def __init__(self, state: GatewayState, links: Links) -> None:
        self.state = state
        """State of the gateway."""
        self.links = links
        """Links to other gateways."""

    async def begin(self, exchange: Exchange) -> Run:
        """Decode a head and let the request in.

        Raises:
            Refusal: It has no route, no client account, or is over a limit.
        """
        state = self.state
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
            raise Refusal(404, f"no route in configuration {configuration.version}")
        account = None
        if configuration.accounts and not route.is_anonymous:
            account = configuration.account_for(request.key)
            if account is None:
                raise Refusal(401, f"unknown key in {configuration.version}")
        units = await self._charge(request, account)
        prompt = request.prompt
        if prompt is not None and not waited_before_s(request, route):
            tokens = prompt.prompt_tokens + prompt.most_output_tokens
            state.asked.on_asked(tokens, exchange.arrived_s)
        patience_s = min(
            request.patience_s if request.patience_s is not None else math.inf,
            route.timeout_s,
        )
        service = pick_target(route, state.random.random())
        state.retry_window(service).on_request(exchange.arrived_s)
        return Run(
            request,
            exchange,
            route,
            service,
            account,
            exchange.arrived_s + patience_s - PATIENCE_MARGIN_S,
            StreamProgress(request.last_event_id),
            charged_units=units,
        )

    def give_back(self, run: Run) -> None:
        """Give its client account back what a request was charged in vain."""
        if run.account is not None and run.charged_units:
            units, run.charged_units = run.charged_units, 0.0
            self.state.limits.give_back(run.account.name, units, self.links)

    async def _charge(self, request: InboundRequest, account: Account | None) -> float:
        """Charge a request to its client account and return the units."""
        if account is None:
            return 0.0
        units = 1.0
        if account.counts_tokens:
            units = account.plain_cost
            if request.prompt is not None:
                prompt = request.prompt
                units = float(prompt.prompt_tokens + prompt.most_output_tokens)
        taken = await self.state.limits.take(account.name, units, self.links)
        if isinstance(taken, Exceeded):
            raise Refusal(429, f"over the limit of {account.name}", taken.retry_after_s)
        return units
