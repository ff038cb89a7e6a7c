"""Latest reports of all gateways on one rollout."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.serving.rollouts.evidence import Cell, VersionEvidence

if TYPE_CHECKING:
    from collections.abc import Collection

    from tanagerturn.serving.rollouts.evidence import CellKey
    from tanagerturn.serving.rollouts.messages import RolloutOrder

BASE_LOOP_MS: Final = 600
"""Time in milliseconds until the reports of few gateways reflect a permission, before
it has been measured."""

LOOP_MS_PER_GATEWAY: Final = 10
"""What each gateway adds to that: digests of 200 gateways arrive about every 2 s."""

MIN_LOOP_MS: Final = 300
MAX_LOOP_MS: Final = 4500

MIN_SAMPLES: Final = 3
"""Number of gateways whose reports reflect a permission from which that is measured."""

SILENT_MS: Final = 3000
"""Age in milliseconds of a gateway's last report from which it is cut off, and its
permission has expired."""


@dataclass
class Report:
    """Latest report of a gateway's process."""

    evidence: VersionEvidence
    """Its counters."""
    received_ms: int
    """Time in milliseconds at which a report last arrived."""
    lag_ms: int
    """Time in milliseconds since the issue of the permission it had applied then; 0 if
    none."""


class Reports:
    """Latest reports of the gateways.

    Args:
        order: The order that the reports are on.
        began_ms: Time in milliseconds from which permissions are measured: earlier ones
            come from another holder, which may have stopped long ago.
    """

    def __init__(self, order: RolloutOrder, began_ms: int) -> None:
        self.order = order
        """The order that the reports are on."""
        self.began_ms = began_ms
        """Time in milliseconds from which permissions are measured."""
        self.latest: dict[str, Report] = {}
        """Latest report of the current process of each gateway."""
        self.exposed = 0
        """Requests that the target has received, as far as reported."""
        self.seen = 0
        """Requests of the service, as far as reported."""

    def add(
        self, sender: str, evidence: VersionEvidence, now_ms: int
    ) -> tuple[dict[str, Cell], dict[CellKey, Cell]]:
        """Take in a report; return what it adds for other versions and the target.

        Returns:
            Counts of the other versions by route, and of the target by cell.
        """
        known = self.latest.get(sender)
        if known is not None and evidence.started_ms < known.evidence.started_ms:
            return {}, {}
        if known is None or evidence.started_ms > known.evidence.started_ms:
            fresh = VersionEvidence(evidence.number, evidence.started_ms)
            known = self.latest[sender] = Report(fresh, now_ms, 0)
        earlier = dict(known.evidence.cells)
        known.evidence.merge(evidence)
        known.received_ms = now_ms
        if evidence.permission_ms >= self.began_ms:
            known.lag_ms = max(0, now_ms - evidence.permission_ms)
        others: dict[str, Cell] = {}
        target: dict[CellKey, Cell] = {}
        for key in evidence.cells:
            if known.evidence.cells[key] == earlier.get(key):
                continue
            added = known.evidence.cells[key].minus(earlier.get(key) or Cell())
            self.seen += added.started
            if key.version == self.order.target:
                self.exposed += added.started
                target[key] = added
            else:
                others.setdefault(key.route, Cell()).add(added)
        return others, target

    def loop_ms(self, gateways: Collection[str], now_ms: int) -> int:
        """Return the time in milliseconds until reports reflect a permission.

        Args:
            gateways: Hosts of the gateways that are known to be alive.
            now_ms: Current time in milliseconds.
        """
        lags = sorted(
            report.lag_ms
            for report in self.latest.values()
            if report.lag_ms and now_ms - report.received_ms < SILENT_MS
        )
        count = max(len(gateways), len(self.latest))
        if len(lags) < max(MIN_SAMPLES, count // 2):
            return BASE_LOOP_MS + LOOP_MS_PER_GATEWAY * count
        lag_ms = lags[len(lags) * 9 // 10]
        return max(MIN_LOOP_MS, min(MAX_LOOP_MS, lag_ms))

    def have_applied(
        self, issued_ms: int, gateways: Collection[str], now_ms: int
    ) -> bool:
        """Return whether all gateways have applied a permission.

        Args:
            issued_ms: Earliest time of issue of the permission in milliseconds.
            gateways: Hosts of the gateways that are known to be alive.
            now_ms: Current time in milliseconds.
        """
        for sender in set(gateways) | set(self.latest):
            report = self.latest.get(sender)
            if report is None or now_ms - report.received_ms >= SILENT_MS:
                if sender in gateways:
                    return False
                continue
            if report.evidence.permission_ms < issued_ms:
                return False
        return bool(self.latest)

    def waiting(self) -> tuple[dict[str, list[int]], dict[CellKey, list[int]]]:
        """Return histograms of the ages of the requests without a response.

        Returns:
            Those of the other versions by route, and of the target by cell.
        """
        others: dict[str, list[int]] = {}
        target: dict[CellKey, list[int]] = {}
        for report in self.latest.values():
            for key, cell in report.evidence.cells.items():
                if not any(cell.waiting):
                    continue
                if key.version == self.order.target:
                    target[key] = _sum(target.get(key), cell.waiting)
                else:
                    others[key.route] = _sum(others.get(key.route), cell.waiting)
        return others, target

    def runs_old(self, now_ms: int) -> bool:
        """Return whether requests still run on other versions, as far as reported."""
        return any(
            cell.running > 0
            for report in self.latest.values()
            if now_ms - report.received_ms < SILENT_MS
            for key, cell in report.evidence.cells.items()
            if key.version != self.order.target
        )


def _sum(known: list[int] | None, added: list[int]) -> list[int]:
    if known is None:
        return added
    return [a + b for a, b in zip(known, added, strict=True)]
