"""Reclaim notices of the cloud API, as the control program records them.

A notice is recorded before anything is done about it. Entry hosts watch the
records; a new control holder reads them and goes on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.schema import coordination_pb2, serving_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.coordination.ids import FencingNumber, LeaseName

RECLAIM_PREFIX: Final = "reclaim/"
RECORD_KEEP_MS: Final = 600_000
"""A record is deleted this long after its hosts were taken."""


class NoticeBook:
    """Recorded notices by target, with the revision of each record."""

    def __init__(self) -> None:
        self.reclaims: dict[str, serving_pb2.Reclaim] = {}
        """Recorded notices."""
        self.revisions: dict[str, int] = {}
        """Store revision of each record."""

    def adopt(self, entries: Iterable[coordination_pb2.KeyValue]) -> None:
        """Take over a scan of `RECLAIM_PREFIX`."""
        for entry in entries:
            reclaim = serving_pb2.Reclaim.FromString(entry.value)
            self.reclaims[reclaim.target] = reclaim
            self.revisions[reclaim.target] = entry.mod_revision

    def on_notice(
        self, target: str, at_ms: int, number: FencingNumber, now_ms: int
    ) -> serving_pb2.Reclaim | None:
        """Return the record to write for a notice; None when it stands already.

        Args:
            target: Availability zone or backend server.
            at_ms: When it is taken, by the wall clock.
            number: Fencing number of the holder.
            now_ms: Present time, by the wall clock.
        """
        known = self.reclaims.get(target)
        again = known is not None and not known.called_off and known.at_ms >= now_ms
        if known is not None and again and known.at_ms <= at_ms:
            return None
        return serving_pb2.Reclaim(
            target=target, noticed_at_ms=now_ms, at_ms=at_ms, fencing_number=number
        )

    def call_off(
        self, target: str, number: FencingNumber
    ) -> serving_pb2.Reclaim | None:
        """Return the record to write for a notice that was called off."""
        known = self.reclaims.get(target)
        if known is None or known.called_off:
            return None
        record = serving_pb2.Reclaim()
        record.CopyFrom(known)
        record.called_off = True
        record.fencing_number = number
        return record

    def on_recorded(self, reclaim: serving_pb2.Reclaim, revision: int) -> None:
        """Note that a record stands in the store."""
        self.reclaims[reclaim.target] = reclaim
        self.revisions[reclaim.target] = revision

    def outdated(self, now_ms: int) -> list[str]:
        """Return the targets whose records can be deleted."""
        return [
            target
            for target, reclaim in self.reclaims.items()
            if reclaim.at_ms + RECORD_KEEP_MS <= now_ms
        ]

    def on_deleted(self, target: str) -> None:
        """Forget a deleted record."""
        self.reclaims.pop(target, None)
        self.revisions.pop(target, None)

    def transaction(
        self, reclaim: serving_pb2.Reclaim, lease: LeaseName
    ) -> coordination_pb2.Transaction:
        """Return the write of a record, fenced by the control lease."""
        put = coordination_pb2.Put(
            key=reclaim_key(reclaim.target),
            value=reclaim.SerializeToString(deterministic=True),
            expected_revision=self.revisions.get(reclaim.target, 0),
        )
        fence = coordination_pb2.Fence(
            lease=lease, fencing_number=reclaim.fencing_number
        )
        return coordination_pb2.Transaction(puts=[put], fences=[fence])

    def removal(
        self, target: str, lease: LeaseName, number: FencingNumber
    ) -> coordination_pb2.Transaction:
        """Return the deletion of a record, fenced by the control lease."""
        delete = coordination_pb2.Delete(
            key=reclaim_key(target), expected_revision=self.revisions.get(target, 0)
        )
        fence = coordination_pb2.Fence(lease=lease, fencing_number=number)
        return coordination_pb2.Transaction(deletes=[delete], fences=[fence])


def reclaim_key(target: str) -> str:
    """Return the key of a notice's record."""
    return RECLAIM_PREFIX + target
