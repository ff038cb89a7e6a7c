"""Finds gateways that are not known to obey permissions of rollouts; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from tanagerturn.schema import gateway_pb2 as gpb

NO_VOTERS = "the voters of the state group"
"""Stands for all voters while none is known."""


def unsupporting_hosts(
    present: Iterable[str],
    digests: Mapping[str, gpb.Digest],
    own_host: str,
    own_member: str,
    own_voters: Iterable[str],
) -> list[str]:
    """Return the present gateways, and the voters, that may not support rollouts.

    A gateway of an earlier release would send requests to all versions. Voters that
    were lost count by the last digest of their hosts: they may come back at any time.

    Args:
        present: Hosts of the present peer gateways.
        digests: Last digest of each peer gateway by host, lost ones included.
        own_host: Host of this gateway, which supports rollouts.
        own_member: Id of this gateway's member of the state group; empty if none.
        own_voters: Ids of the voters as this gateway's member knows them.
    """
    supporting = {host for host, digest in digests.items() if digest.knows_rollouts}
    missing = sorted(set(present) - supporting - {own_host})
    stated = [d for d in digests.values() if d.voters]
    voters = set(max(stated, key=lambda d: d.term).voters if stated else own_voters)
    known_members = {digests[host].member.id for host in supporting} | {own_member}
    if not voters:
        return [*missing, NO_VOTERS]
    return missing + sorted(voters - known_members)
