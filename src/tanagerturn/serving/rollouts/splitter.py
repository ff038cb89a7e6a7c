"""Splits a gateway's requests between the old versions and the target of a rollout."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.serving.rollouts.messages import RolloutState, Side

if TYPE_CHECKING:
    from tanagerturn.serving.rollouts.messages import Permission

SPENT: Final = 2.0
"""Place of a credit that has paid for a request."""


class Splitter:
    """Splits the requests of one service at one gateway process.

    Each request earns its share of a credit, and each whole credit pays for one request
    at the target, at a random place within it. Of any n successive requests fewer than
    `share * n + 2` go to the target, and gateways with few requests each send as many
    as they should on average. Single independent draws would keep the average only; a
    fixed place would coincide with a regular order of routes. Of two alternating
    routes, one may still get up to an eighth more than its half.
    """

    def __init__(self) -> None:
        self.number = 0
        """Number of the order that the credit belongs to."""
        self.credit = 0.0
        """Part of the current credit that has been earned, 0 to 1."""
        self.place = 0.0
        """Part of the current credit at which a request goes to the target; above 1
        once it has."""

    def choose(self, permission: Permission | None, now_ms: int, draw: float) -> Side:
        """Return the side for the next request.

        Call it once for each request. Its retries and its resumed stream keep the side,
        but a side `TARGET` holds only while `permission.side_allowed(now_ms)`.

        Args:
            permission: Latest permission that the gateway knows; None without a
                rollout.
            now_ms: Estimate of the issuer's clock in milliseconds.
            draw: Random number from 0 to 1, drawn for this call.
        """
        if permission is None or not permission.side_allowed(now_ms):
            return Side.OLD
        if permission.state is RolloutState.COMPLETED or permission.share >= 1.0:
            return Side.TARGET
        if permission.number != self.number:
            # Starting inside a credit keeps many gateways from spending theirs
            # together; the digits of the draw that follow serve as a second one.
            self.number, self.credit = permission.number, draw
            place = draw * 4096.0 % 1.0
            self.place = place if place > draw else SPENT
        self.credit += permission.share
        if self.credit >= 1.0:
            self.credit -= 1.0
            is_due = self.place < SPENT
            self.place = draw if is_due or draw > self.credit else SPENT
            return Side.TARGET if is_due or self.place == SPENT else Side.OLD
        if self.credit > self.place:
            self.place = SPENT
            return Side.TARGET
        return Side.OLD
