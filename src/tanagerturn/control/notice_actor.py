"""Actor that records the platform's reclaim notices while the lease is held.

Entry processes watch the records, so that they learn of a reclaim over a way
that doesn't depend on the announcements of the backend server.
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
class Drain:
    """A host is to get no new work, to be given back later."""

    host_id: str
    """The host."""
    at_ms: int
    """Wall clock time in milliseconds by which its streams are to be moved."""


@dataclass(frozen=True)
class Recorded:
    """Asks for the hosts that are recorded as leaving."""


CALL_TIMEOUT_S: Final = 2.0

Status = pb.CommandResult.Status


class NoticeActor(pykka.ThreadingActor):
    """Polls the cloud API and records its notices, fenced by the control lease.

    Args:
        client: Calls to the replicated store.
        keeper: Lease of the active control process.
        cloud: Calls to the cloud API.
        period_s: Time between two polls, in seconds.
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
        """Calls to the replicated store."""
        self.keeper = keeper
        """Lease of the active control process."""
        self.cloud = cloud
        """Calls to the cloud API."""
        self.period_s = period_s
        """Time between two polls, in seconds."""
        self.book = NoticeRecords()
        """Recorded notices."""
        self.number = FencingNumber(0)
        """Fencing number under which the records were read."""
        self.after = 0
        """Sequence number of the last notice that is recorded."""

    def on_receive(self, message: Any) -> Any:
        """Handle a message."""
        if isinstance(message, Tick):
            return self.on_tick(message)
        if isinstance(message, Drain):
            return self.on_drain(message)
        if isinstance(message, Recorded):
            return self.on_recorded(message)
        if isinstance(message, Dump):
            return self.on_dump(message)
        raise TypeError(f"unknown message {message!r}")

    def on_tick(self, message: Tick) -> None:
        """Poll and record while the lease is held, then look again."""
        if self._holds() and self._adopted():
            self._poll()
            self._remove_outdated()
        time.sleep(self.period_s)
        self.actor_ref.tell(Tick())

    def on_drain(self, message: Drain) -> bool:
        """Record a drain; tell whether it is recorded."""
        if not self._holds() or not self._adopted():
            return False
        record = self.book.on_notice(
            message.host_id, message.at_ms, self.number, wall_ms()
        )
        return record is None or self._record(record)

    def on_recorded(self, message: Recorded) -> set[str]:
        """Return the hosts that are recorded as leaving."""
        reclaims = self.book.reclaims.values()
        return {reclaim.target for reclaim in reclaims if not reclaim.called_off}

    def on_dump(self, message: Dump) -> dict[str, Any]:
        """Return the state."""
        return {"after": self.after, "reclaims": list(self.book.reclaims.values())}

    def _holds(self) -> bool:
        return self.keeper.held(self.keeper.clock())

    def _adopted(self) -> bool:
        """Read what earlier holders recorded, once for each holding."""
        number = FencingNumber(self.keeper.fencing_number)
        if number == self.number:
            return True
        found = self.client.scan(CONTROL_GROUP, RECLAIM_PREFIX, CALL_TIMEOUT_S)
        if found.is_error():
            return False
        self.book = NoticeRecords()
        self.book.adopt(found.ok.entries)
        self.number, self.after = number, 0
        return True

    def _poll(self) -> None:
        notices = self.cloud.notices(self.after)
        if notices.is_error():
            log.warning("The cloud API gave no notices: {}", notices.error)
            return
        for notice in notices.ok:
            if notice.ends_in_ms == 0:
                # Its host is gone; an earlier holder has dealt with it.
                self.after = notice.sequence
                continue
            now_ms = wall_ms()
            record = self.book.on_notice(
                notice.host_id, now_ms + notice.ends_in_ms, self.number, now_ms
            )
            if record is not None and not self._record(record):
                return
            self.after = notice.sequence

    def _record(self, record: Reclaim) -> bool:
        transaction = self.book.transaction(record, LeaseName(self.keeper.name))
        revision = self._commit(transaction)
        if revision is None:
            return False
        self.book.on_recorded(record, revision)
        log.info("Host {} is taken at {} ms.", record.target, record.at_ms)
        return True

    def _remove_outdated(self) -> None:
        for target in self.book.outdated(wall_ms()):
            removal = self.book.removal(
                target, LeaseName(self.keeper.name), self.number
            )
            if self._commit(removal) is not None:
                self.book.on_deleted(target)

    def _commit(self, transaction: pb.Transaction) -> int | None:
        """Commit a write; None when it is not known to be applied."""
        command = pb.Command(transaction=transaction)
        done = self.client.propose(CONTROL_GROUP, command, CALL_TIMEOUT_S)
        if done.is_error() or done.ok.status != Status.APPLIED:
            # What stands in the store is read again before the next write.
            self.number = FencingNumber(0)
            log.warning("A notice was not recorded.")
            return None
        return int(done.ok.revision)
