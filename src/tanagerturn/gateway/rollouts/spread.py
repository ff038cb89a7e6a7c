"""Sends permissions to all gateways, and evidence to the host that evaluates it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import to_ms
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.rollouts.codec import (
    decode_evidence,
    decode_permission,
    encode_evidence,
    encode_permission,
)
from tanagerturn.schema import gateway_pb2 as gpb

if TYPE_CHECKING:
    from collections.abc import Callable

    from tanagerturn.gateway.rollouts.codec import IssuedPermission
    from tanagerturn.gateway.rollouts.table import RolloutTable, ServiceRollout
    from tanagerturn.gateway.spread.mesh import Mesh
    from tanagerturn.gateway.state import GatewayState
    from tanagerturn.serving.rollouts.evidence import CellKey, VersionEvidence

FINISHED_MS: Final = 10_000
"""Time in milliseconds for which digests repeat that a rollout has ended."""

MIN_REPORT_INTERVAL_S: Final = 0.1
"""Interval in seconds at which a gateway reports evidence in a small deployment."""

REPORTS_PER_S: Final = 200.0
"""Maximum number of reports of all gateways per second that reach the evaluating host;
with more gateways each reports less often. With 13 requests per second and gateway a
report has about 20 cells then, 0.9 KB, and all take 1.4 of 3.75 Mbit/s."""

REPORT_CELLS: Final = 32
"""Maximum number of cells in a report at once, about 1.5 KB."""

DIGEST_CELLS: Final = 8
"""Maximum number of cells in a digest, about 0.4 KB; digests to all peers carry them in
case that those to the evaluating host are lost or another host takes over."""

REPEATED_CELLS: Final = 4
"""Maximum number of unchanged cells in a report, which repair lost ones."""

CHANGE_REPORTS: Final = 2
"""Number of reports that include a cell after it changed; a datagram may get lost."""

MAX_VERSION_REPORTS: Final = 16
"""Maximum number of services in one datagram."""

log = component_log("rollouts")


class RolloutSpread:
    """Exchanges permissions and evidence with peer gateways.

    Args:
        state: State of the gateway.
        table: Rollouts that the gateway knows.
        mesh: Membership of gateways and datagrams to peers.
        on_evidence: Called with each report of a peer: service, host and counters.
    """

    def __init__(
        self,
        state: GatewayState,
        table: RolloutTable,
        mesh: Mesh,
        on_evidence: Callable[[str, str, VersionEvidence], None],
    ) -> None:
        self.state = state
        """State of the gateway."""
        self.table = table
        """Rollouts that the gateway knows."""
        self.mesh = mesh
        """Membership of gateways and datagrams to peers."""
        self.on_evidence = on_evidence
        """Called with each report of a peer: service, host and counters."""
        self.next_report_s = 0.0
        """Boot-clock time in seconds at which the next report is due."""
        self.cursors: dict[tuple[str, int], CellCursor] = {}
        """Cells to report next, by service and maximum number of cells."""

    def send_permission(self, issued: IssuedPermission, now_s: float) -> None:
        """Send a permission to all gateways at once."""
        rollouts = gpb.RolloutPermissions(permissions=[encode_permission(issued)])
        self.mesh.send_once(gpb.Datagram(rollouts=rollouts), now_s)

    def fill_digest(self, digest: gpb.Digest, now_s: float) -> None:
        """Add rollouts in progress and evidence to a digest."""
        digest.knows_rollouts = True
        now_ms = to_ms(self.state.wall_clock.read(now_s))
        for service, known in list(self.table.services.items())[:MAX_VERSION_REPORTS]:
            issued = known.issued
            if issued is None:
                continue
            if issued.is_finished and now_ms - known.received_ms > FINISHED_MS:
                continue
            digest.rollouts.permissions.append(encode_permission(issued))
            report = self._report(service, known, DIGEST_CELLS, now_s)
            if report is not None:
                digest.rollout_reports.reports.append(report)

    def send_evidence(self, now_s: float) -> None:
        """Send evidence to the hosts that evaluate it, if it is due."""
        if now_s < self.next_report_s:
            return
        self.next_report_s = now_s + max(
            MIN_REPORT_INTERVAL_S, self.state.gateway_count / REPORTS_PER_S
        )
        by_host: dict[str, gpb.RolloutReports] = {}
        for service, known in self.table.services.items():
            holder = known.issued.holder if known.issued is not None else ""
            if known.active is None or holder in ("", self.state.settings.host):
                continue
            report = self._report(service, known, REPORT_CELLS, now_s)
            if report is not None:
                by_host.setdefault(holder, gpb.RolloutReports()).reports.append(report)
        for host, reports in by_host.items():
            self.mesh.send_to(gpb.Datagram(rollout_reports=reports), host)

    def on_permissions(self, message: gpb.RolloutPermissions, now_s: float) -> None:
        """Apply permissions that a peer has sent or repeats."""
        now_ms = to_ms(self.state.wall_clock.read(now_s))
        for each in message.permissions:
            self.table.on_issued(decode_permission(each), now_ms)

    def add_knowledge(self, news: gpb.BackendNews) -> None:
        """Add what this gateway knows, for a peer that starts or for the disk."""
        for service, known in self.table.services.items():
            each = news.rollouts.add(
                service=service, confirmed_versions=sorted(known.confirmed)
            )
            if known.issued is not None:
                each.permission.CopyFrom(encode_permission(known.issued))

    def apply_knowledge(self, news: gpb.BackendNews, now_s: float) -> None:
        """Apply what a peer, or this gateway before its restart, knew."""
        now_ms = to_ms(self.state.wall_clock.read(now_s))
        for each in news.rollouts:
            number = 0
            if each.HasField("permission"):
                number = each.permission.number
                if self.table.on_issued(decode_permission(each.permission), now_ms):
                    # The rollout may have ended meanwhile: it is read at once.
                    self.table.service(each.service).received_ms = 0
            self.table.on_known(each.service, number, set(each.confirmed_versions))

    def on_reports(self, message: gpb.RolloutReports) -> None:
        """Hand on the evidence of peers."""
        for each in message.reports:
            self.on_evidence(each.service, each.host, decode_evidence(each))

    def log_changes(self) -> None:
        """Log the permissions that have changed."""
        for service in self.table.changed:
            issued = self.table.service(service).issued
            if issued is not None:
                log.info(
                    "rollout_permission",
                    service=service,
                    target=issued.permission.target,
                    number=issued.permission.number,
                    state=issued.permission.state.value,
                    share=round(issued.permission.share, 4),
                    fencing_number=issued.fencing_number,
                    holder=issued.holder,
                )
        self.table.changed.clear()

    def _report(
        self, service: str, known: ServiceRollout, limit: int, now_s: float
    ) -> gpb.RolloutEvidence | None:
        """Return the counters to report; None if the rollout has ended."""
        evidence = known.counter.evidence
        if evidence is None:
            return None
        known.counter.update_waiting(now_s)
        cursor = self.cursors.get((service, limit))
        if cursor is None or cursor.number != evidence.number:
            cursor = self.cursors[service, limit] = CellCursor(evidence.number)
        keys, is_whole = cursor.next_keys(evidence, limit)
        host = self.state.settings.host
        report = encode_evidence(service, host, evidence, keys)
        if not is_whole:
            # A permission counts as applied once all that ran before is reported.
            report.permission_ms = cursor.reported_permission_ms
        else:
            cursor.reported_permission_ms = evidence.permission_ms
        return report


class CellCursor:
    """Chooses the cells of each report: changed ones first, then the others in turn.

    Args:
        number: Number of the order.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        """Number of the order."""
        self.reported: dict[CellKey, tuple[tuple[int, ...], int]] = {}
        """Counters of each cell as reported last, and how often they were."""
        self.next_index = 0
        """Position of the cell that is repeated next."""
        self.reported_permission_ms = 0
        """`permission_ms` of the last report after which no changed cell was left."""

    def next_keys(
        self, evidence: VersionEvidence, limit: int
    ) -> tuple[list[CellKey], bool]:
        """Return the cells of the next report, and whether no changed cell is left.

        Args:
            evidence: Counters of this process.
            limit: Maximum number of cells.
        """
        changed = []
        for key, cell in evidence.cells.items():
            counts = (cell.started, cell.ended, sum(cell.times), *cell.waiting)
            previous, times = self.reported.get(key, ((), 0))
            if counts != previous:
                times = 0
            if times < CHANGE_REPORTS:
                changed.append((times, key, counts))
        changed.sort(key=lambda each: each[0])
        is_whole = len(changed) <= limit
        chosen = [key for _, key, _ in changed[:limit]]
        for times, key, counts in changed[:limit]:
            self.reported[key] = counts, times + 1
        all_keys = list(evidence.cells)
        repeated = min(limit - len(chosen), REPEATED_CELLS, len(all_keys))
        for _ in range(repeated):
            key = all_keys[self.next_index % len(all_keys)]
            self.next_index += 1
            if key not in chosen:
                chosen.append(key)
        return chosen, is_whole
