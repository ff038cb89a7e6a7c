"""Reclaim notices of the cloud API, as recorded by the control process.

A notice is recorded before the control process acts on it. Entry hosts watch the
records, and a new holder of the control lease reads them and continues.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from tanagerturn.schema import coordination_pb2, serving_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tanagerturn.coordination.ids import FencingNumber, LeaseName

RECLAIM_PREFIX: Final = "reclaim/"
RECORD_RETENTION_MS: Final = 600_000
"""Milliseconds for which a record is retained after the reclaim time in it."""


class NoticeRecords:
    """Recorded reclaim notices with their store revisions."""

    def __init__(self) -> None:
        self.reclaims: dict[str, serving_pb2.Reclaim] = {}
        """Recorded notices, by target: availability zone or backend server."""
        self.revisions: dict[str, int] = {}
        """Store revision of each record, by target."""

    def adopt(self, entries: Iterable[coordination_pb2.KeyValue]) -> None:
        """Load the records from the entries of a scan of `RECLAIM_PREFIX`."""
        for entry in entries:
            reclaim = serving_pb2.Reclaim.FromString(entry.value)
            self.reclaims[reclaim.target] = reclaim
            self.revisions[reclaim.target] = entry.mod_revision

    def on_notice(
        self, target: str, at_ms: int, number: FencingNumber, now_ms: int
    ) -> serving_pb2.Reclaim | None:
        """Return the record to write for a notice; None if it is recorded already.

        A recorded notice is replaced by one with an earlier reclaim time, and after it
        was cancelled or its reclaim time has passed.

        Args:
            target: Availability zone or backend server to be reclaimed.
            at_ms: Wall clock time of the reclaim, in milliseconds.
            number: Fencing number of the lease holder.
            now_ms: Current wall clock time in milliseconds.
        """
        known = self.reclaims.get(target)
        is_active = known is not None and not known.called_off and known.at_ms >= now_ms
        if known is not None and is_active and known.at_ms <= at_ms:
            return None
        return serving_pb2.Reclaim(
            target=target, noticed_at_ms=now_ms, at_ms=at_ms, fencing_number=number
        )

    def cancel(self, target: str, number: FencingNumber) -> serving_pb2.Reclaim | None:
        """Return the record to write after a notice was cancelled.

        Args:
            target: Availability zone or backend server of the notice.
            number: Fencing number of the lease holder.

        Returns:
            The record; None if no notice is recorded or it is cancelled already.
        """
        known = self.reclaims.get(target)
        if known is None or known.called_off:
            return None
        record = serving_pb2.Reclaim()
        record.CopyFrom(known)
        record.called_off = True
        record.fencing_number = number
        return record

    def on_recorded(self, reclaim: serving_pb2.Reclaim, revision: int) -> None:
        """Apply a record that was written to the store.

        Args:
            reclaim: The record.
            revision: Its store revision.
        """
        self.reclaims[reclaim.target] = reclaim
        self.revisions[reclaim.target] = revision

    def deletable_targets(self, now_ms: int) -> list[str]:
        """Return the targets whose records may be deleted.

        Args:
            now_ms: Current wall clock time in milliseconds.
        """
        return [
            target
            for target, reclaim in self.reclaims.items()
            if reclaim.at_ms + RECORD_RETENTION_MS <= now_ms
        ]

    def on_deleted(self, target: str) -> None:
        """Remove a record that was deleted from the store."""
        self.reclaims.pop(target, None)
        self.revisions.pop(target, None)

    def transaction(
        self, reclaim: serving_pb2.Reclaim, lease: LeaseName
    ) -> coordination_pb2.Transaction:
        """Return the transaction that writes a record, fenced by the control lease."""
        put = coordination_pb2.Put(
            key=reclaim_key(reclaim.target),
            value=reclaim.SerializeToString(deterministic=True),
            expected_revision=self.revisions.get(reclaim.target, 0),
        )
        fence = coordination_pb2.Fence(
            lease=lease, fencing_number=reclaim.fencing_number
        )
        return coordination_pb2.Transaction(puts=[put], fences=[fence])

    def removal_transaction(
        self, target: str, lease: LeaseName, number: FencingNumber
    ) -> coordination_pb2.Transaction:
        """Return the transaction that deletes a record, fenced by the control lease."""
        delete = coordination_pb2.Delete(
            key=reclaim_key(target), expected_revision=self.revisions.get(target, 0)
        )
        fence = coordination_pb2.Fence(lease=lease, fencing_number=number)
        return coordination_pb2.Transaction(deletes=[delete], fences=[fence])


def reclaim_key(target: str) -> str:
    """Return the store key of the notice record of a target."""
    return RECLAIM_PREFIX + target
