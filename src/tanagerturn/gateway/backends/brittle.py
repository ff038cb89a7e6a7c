"""Shares with peer gateways which backend servers are brittle."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerturn.clocks import to_ms
from tanagerturn.gateway.fleet import backend_hash
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.limits.brittle import BrittleStatement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.gateway.fleet import Fleet
    from tanagerturn.serving.backends.messages import BackendId


def encode_brittle(
    fleet: Fleet,
    services: Iterable[str],
    rejecting: Iterable[BackendId],
    now_s: float,
) -> gpb.BrittleReport:
    """Return brittle services and rejections as a message to peers.

    Args:
        fleet: State of the backend servers.
        services: Services to report.
        rejecting: Backend servers that rejected a request just now.
        now_s: Current boot-clock time in seconds.
    """
    report = gpb.BrittleReport(rejecting=[backend_hash(b) for b in rejecting])
    for service in services:
        statement = fleet.brittle.statements[service]
        report.services.add(
            service=service,
            rejections_per_s=statement.rejections_per_s,
            stated_ago_ms=max(0, to_ms(now_s - statement.stated_s)),
        )
    return report


def apply_brittle(fleet: Fleet, report: gpb.BrittleReport, now_s: float) -> None:
    """Apply the report of a peer.

    Args:
        fleet: State of the backend servers.
        report: The report.
        now_s: Current boot-clock time in seconds.
    """
    for each in report.services:
        stated_s = now_s - each.stated_ago_ms / 1000
        statement = BrittleStatement(each.rejections_per_s, stated_s)
        fleet.brittle.on_reported(each.service, statement)
    for number in report.rejecting:
        backend_id = fleet.id_by_hash.get(number)
        if backend_id is not None:
            fleet.brittle.on_rejection_reported(backend_id, now_s)
