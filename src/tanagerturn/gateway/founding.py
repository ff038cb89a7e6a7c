"""Decides which member founds the state group at the first start; pure.

One gateway alone decides: the first seed, which all are told at the first start.
It waits until enough gateways with a disk are known, and does nothing as long as
any of them belongs to a group.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.schema import gateway_pb2 as gpb

SETTLE_S: Final = 0.8
"""Time for which enough members have to be known; a group that exists is heard of
within three digests."""


class Founding:
    """What the first seed knows of the group's founding."""

    def __init__(self) -> None:
        self.enough_since_s: float | None = None
        """When enough members were known first."""
        self.is_over = False
        """A group exists."""

    def choose(
        self, digests: Sequence[gpb.Digest], wanted: int, now_s: float
    ) -> gpb.Digest | None:
        """Return the gateway that shall found the group now.

        Args:
            digests: Last digests of all gateways, the own one included.
            wanted: Voters that the group needs.
            now_s: Present time.
        """
        if any(digest.founded or digest.configuration_version for digest in digests):
            self.is_over = True
        able = [digest for digest in digests if digest.member.id]
        if self.is_over or len(able) < wanted:
            self.enough_since_s = None
            return None
        if self.enough_since_s is None:
            self.enough_since_s = now_s
        if now_s - self.enough_since_s < SETTLE_S:
            return None
        return min(able, key=lambda digest: digest.member.address)
