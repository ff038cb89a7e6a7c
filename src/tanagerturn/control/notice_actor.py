"""Actor that records the platform's reclaim notices while the lease is held.

Entry processes watch the records. They receive a reclaim notice in this way even if
the backend server on the host does not announce the reclaim.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import pykka

from tanagerturn.clocks import wall_ms
from tanagerturn.control.messages import Dump, Tick
from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.coordination.ids import FencingNumber, LeaseName
from tanagerturn.observe.logs import component_logger
from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.serving.reclaims.notices import RECLAIM_PREFIX, NoticeRecords

if TYPE_CHECKING:
    from tanagerturn.control.cloud import CloudClient
    from tanagerturn.coordination.client import StateClient
    from tanagerturn.coordination.leases import LeaseKeeper
    from tanagerturn.schema.serving_pb2 import Reclaim

log = component_logger("notices")


@dataclass(frozen=True)
class RecordDrain:
    """Asks to record a drain: the host gets no new requests and is released later."""

    host_id: str
    """Id of the host."""
    at_ms: int
    """Wall clock time in milliseconds by which the host's streams must be migrated."""


@dataclass(frozen=True)
class GetLeavingHosts:
    """Asks for the hosts with a recorded reclaim or drain."""


STORE_TIMEOUT_S: Final = 2.0
"""Timeout of a call to the replicated store, in seconds."""

Status = pb.CommandResult.Status


class NoticeActor(pykka.ThreadingActor):
    """Polls the cloud API for notices and records them, fenced by the control lease.

    Args:
        client: Client of the replicated store.
        keeper: Keeper of the control lease.
        cloud: Client of the cloud API.
        period_s: Time from the end of one poll to the start of the next, in seconds.
    """

    use_daemon_thread = True

    def __init__(
        self,
        client: StateClient,
        keeper: LeaseKeeper,
        cloud: CloudClient,
        period_s: float,
    ) -> None:
        super().__init__()
        self.client = client
        """Client of the replicated store."""
        self.keeper = keeper
        """Keeper of the control lease."""
        self.cloud = cloud
        """Client of the cloud API."""
        self.period_s = period_s
        """Time from the end of one poll to the start of the next, in seconds."""
        self.records = NoticeRecords()
        """Recorded reclaims and drains."""
        self.fencing_number = FencingNumber(0)
        """Fencing number under which the records were read; 0 to read them again."""
        self.last_sequence = 0
        """Sequence number of the last processed notice; 0 to read all notices."""

    def on_receive(self, message: Any) -> Any:
        """Handle a `Tick`, `RecordDrain`, `GetLeavingHosts` or `Dump`."""
        if isinstance(message, Tick):
            return self.on_tick(message)
        if isinstance(message, RecordDrain):
            return self.on_record_drain(message)
        if isinstance(message, GetLeavingHosts):
            return self.on_get_leaving_hosts(message)
        if isinstance(message, Dump):
            return self.on_dump(message)
        raise TypeError(f"notice actor does not handle message {message!r}")

    def on_tick(self, message: Tick) -> None:
        """Poll if the lease is held, wait for the period and send the next tick."""
        if self._is_lease_held() and self._ensure_loaded():
            self._poll()
            self._remove_outdated()
        time.sleep(self.period_s)
        self.actor_ref.tell(Tick())

    def on_record_drain(self, message: RecordDrain) -> bool:
        """Record a drain; return whether it is recorded, now or before."""
        if not self._is_lease_held() or not self._ensure_loaded():
            return False
        record = self.records.on_notice(
            message.host_id, message.at_ms, self.fencing_number, wall_ms()
        )
        return record is None or self._write_record(record)

    def on_get_leaving_hosts(self, message: GetLeavingHosts) -> set[str]:
        """Return the hosts with a recorded reclaim or drain that is not called off."""
        reclaims = self.records.reclaims.values()
        return {reclaim.target for reclaim in reclaims if not reclaim.called_off}

    def on_dump(self, message: Dump) -> dict[str, Any]:
        """Return the last sequence number and the records."""
        return {
            "after": self.last_sequence,
            "reclaims": list(self.records.reclaims.values()),
        }

    def _is_lease_held(self) -> bool:
        return self.keeper.held(self.keeper.clock())

    def _ensure_loaded(self) -> bool:
        """Read the records unless they were read under this fencing number.

        Returns:
            Whether `records` holds the stored records.
        """
        fencing_number = FencingNumber(self.keeper.fencing_number)
        if fencing_number == self.fencing_number:
            return True
        page = self.client.scan(CONTROL_GROUP, RECLAIM_PREFIX, STORE_TIMEOUT_S)
        if page.is_error():
            return False
        self.records = NoticeRecords()
        self.records.adopt(page.ok.entries)
        self.fencing_number, self.last_sequence = fencing_number, 0
        return True

    def _poll(self) -> None:
        notices = self.cloud.notices(self.last_sequence)
        if notices.is_error():
            log.warning(
                "Reading reclaim notices from the cloud API failed: {}", notices.error
            )
            return
        for notice in notices.ok:
            if notice.ends_in_ms == 0:
                # The host has stopped; an earlier holder has processed the notice.
                self.last_sequence = notice.sequence
                continue
            now_ms = wall_ms()
            record = self.records.on_notice(
                notice.host_id, now_ms + notice.ends_in_ms, self.fencing_number, now_ms
            )
            if record is not None and not self._write_record(record):
                return
            self.last_sequence = notice.sequence

    def _write_record(self, record: Reclaim) -> bool:
        transaction = self.records.transaction(record, LeaseName(self.keeper.name))
        revision = self._commit(transaction)
        if revision is None:
            return False
        self.records.on_recorded(record, revision)
        log.info(
            "Recorded that host {} leaves by wall clock time {} ms.",
            record.target,
            record.at_ms,
        )
        return True

    def _remove_outdated(self) -> None:
        for target in self.records.deletable_targets(wall_ms()):
            removal = self.records.removal_transaction(
                target, LeaseName(self.keeper.name), self.fencing_number
            )
            if self._commit(removal) is not None:
                self.records.on_deleted(target)

    def _commit(self, transaction: pb.Transaction) -> int | None:
        """Commit a transaction and return its revision.

        Returns:
            Store revision of the write; None if it is not known to be applied.
        """
        command = pb.Command(transaction=transaction)
        result = self.client.propose(CONTROL_GROUP, command, STORE_TIMEOUT_S)
        if result.is_error() or result.ok.status != Status.APPLIED:
            # The records are read from the store again before the next write.
            self.fencing_number = FencingNumber(0)
            log.warning(
                "Writing or deleting a reclaim record failed; rereading all records."
            )
            return None
        return int(result.ok.revision)
