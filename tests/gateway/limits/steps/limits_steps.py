"""Steps of limits.feature."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from expression import Ok

from tanagerturn.clocks import boot_s
from tanagerturn.gateway.limits import AccountLimits
from tanagerturn.serving.limits.owned import owner_of
from tanagerturn.serving.limits.spread import (
    Admitted,
    Exceeded,
    SpreadTerms,
    Tolerance,
)

UNITS = 100.0
TERMS = {"choir": SpreadTerms(0.001, 10 * UNITS)}


class DirectLinks:
    """Links that carry frames to the limits of the other gateway at once."""

    def __init__(self, other):
        self.other = other

    def to(self, address):
        """Return the link to an address."""
        assert address == "other:1"
        return self

    async def call(self, frame, timeout_s):
        """Answer a call."""
        return Ok(self.other.serve(frame.take, boot_s()))

    def tell(self, frame):
        """Deliver a frame without an answer."""
        self.other.on_given_back(frame.give_back, boot_s())


@given("an account whose owner is another gateway, which has given its burst out")
def owned_elsewhere(context):
    owner = owner_of("choir", ["g1", "g2"])
    here = "g2" if owner == "g1" else "g1"
    limits = [AccountLimits(n, Tolerance(0.0, 0.0, 8.0)) for n in (here, owner)]
    for each in limits:
        each.set_terms(TERMS, boot_s())
    context.here, other = limits
    context.here.set_gateways({owner: "other:1"}, 1.0, boot_s())
    context.links = DirectLinks(other)
    while isinstance(take(context), Admitted):
        pass


def take(context):
    return asyncio.run(context.here.take("choir", UNITS, context.links))


@then("a request that asks there gets a time to return")
def refused(context):
    taken = take(context)
    assert isinstance(taken, Exceeded)
    assert taken.retry_after_s > 0


@when("one that never ran is given back here")
def gives_back(context):
    context.here.give_back("choir", UNITS, context.links)


@then("a request that asks there is admitted")
def admitted(context):
    assert isinstance(take(context), Admitted)
