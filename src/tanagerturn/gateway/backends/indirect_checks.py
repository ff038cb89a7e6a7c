"""Asks peer gateways whether a backend server accepts their connections.

A gateway that reaches no backend server can't tell one that has crashed from a
partition of its own; peers elsewhere can.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tanagerturn.gateway.connection import connect
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from tanagerturn.gateway.links import Links

MAX_ASKED: Final = 12
"""Maximum number of peers that are asked; most of an availability zone may be cut off
at the same time."""

CONNECT_TIMEOUT_S: Final = 0.35
"""Timeout in seconds of a peer's connection to the backend server."""

ANSWER_TIMEOUT_S: Final = 0.5
"""Timeout in seconds of a peer's answer, which includes its connection."""


async def accepts_peers(
    address: str, links: Links, peers: Mapping[str, str], random: Random
) -> bool:
    """Return whether a backend server accepts a connection of any asked peer.

    Args:
        address: IP address and port of the backend server.
        links: Links to peer gateways.
        peers: Link address of each present peer by host.
        random: Source of the choice of peers.
    """
    asked = random.sample(sorted(peers.values()), min(MAX_ASKED, len(peers)))
    call = gpb.Frame(check_backend=gpb.BackendCheckCall(address=address))
    answers = await asyncio.gather(
        *(links.link_to(peer).call(call, ANSWER_TIMEOUT_S) for peer in asked)
    )
    return any(a.is_ok() and a.ok.backend_check.accepted for a in answers)


async def serve_check(call: gpb.BackendCheckCall) -> gpb.Frame:
    """Answer a peer that asks about a backend server."""
    try:
        tcp = await connect(call.address, CONNECT_TIMEOUT_S)
    except (OSError, OverflowError, ValueError):
        return gpb.Frame(backend_check=gpb.BackendCheck(accepted=False))
    tcp.abort()
    return gpb.Frame(backend_check=gpb.BackendCheck(accepted=True))
