"""Decides which host proposes itself as the founder of the state group; no I/O.

Only the first seed decides; at the first start the settings of all gateways name the
same first seed. This gateway waits until enough gateways with a disk are known, and
initializes no group once any gateway belongs to one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from collections.abc import Sequence

SETTLE_S: Final = 0.8
"""Time in seconds for which enough members must be known before one is chosen; digests
report an existing group within three digest intervals."""


class GroupInitializer:
    """Decides at the first seed which gateway initializes the state group."""

    def __init__(self) -> None:
        self.enough_members_since_s: float | None = None
        """Boot-clock time in seconds since which enough members are known; None while
        there are too few."""
        self.group_exists = False
        """Whether a state group is known to exist."""
        self.addresses: dict[str, str] = {}
        """Link addresses of all hosts with a disk that were ever known, by host."""

    def known_hosts(self) -> list[gpb.FoundingHost]:
        """Return all hosts with a disk that were ever known."""
        return [
            gpb.FoundingHost(host=host, link_address=address)
            for host, address in sorted(self.addresses.items())
        ]

    def choose(
        self, digests: Sequence[gpb.Digest], required_voters: int, now_s: float
    ) -> gpb.Digest | None:
        """Return the digest of the gateway that has to propose itself as founder now.

        Returns None as long as no group has to be founded.

        Args:
            digests: Latest digests of all gateways, this one included.
            required_voters: Number of voters that the group needs.
            now_s: Current boot-clock time in seconds.
        """
        if any(digest.founded or digest.configuration_version for digest in digests):
            self.group_exists = True
        candidates = [digest for digest in digests if digest.member.id]
        for digest in candidates:
            self.addresses[digest.host] = digest.link_address
        if self.group_exists or len(candidates) < required_voters:
            self.enough_members_since_s = None
            return None
        if self.enough_members_since_s is None:
            self.enough_members_since_s = now_s
        if now_s - self.enough_members_since_s < SETTLE_S:
            return None
        return min(candidates, key=lambda digest: digest.member.address)
