"""Splits a gateway's requests between the old versions and the target of a rollout."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.serving.rollouts.messages import Side

if TYPE_CHECKING:
    from tanagerturn.serving.rollouts.messages import Permission


class Splitter:
    """Splits the requests of one service at one gateway process."""

    def choose(self, permission: Permission | None, now_ms: int, draw: float) -> Side:
        """Return the side for the next request.

        Call it once for each request. Its retries and its resumed stream keep the side,
        but a side `TARGET` holds only while `permission.side_allowed(now_ms)`.

        Args:
            permission: Latest permission that the gateway knows; None without a rollout.
            now_ms: Estimate of the issuer's clock in milliseconds.
            draw: Random number from 0 to 1, drawn for this call.
        """
        return Side.OLD
