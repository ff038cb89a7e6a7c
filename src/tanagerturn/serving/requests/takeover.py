"""Finds dead owners and takes over their open records.

Each entry process holds the lease `entry/PROCESS` in the group of the records. The
holder of the lease is the owner id of the process, which is new at each start, and the
store checks the lease on all writes of the process. An owner that lost its lease can
therefore write nothing, and another process can safely take over its open records.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from tanagerturn.coordination.ids import LeaseName, ProcessId
from tanagerturn.serving.requests import lifecycle
from tanagerturn.serving.requests.errors import (
    RecordConflictError,
    TransitionRefusedError,
)
from tanagerturn.serving.requests.layout import OPEN_PREFIX, open_prefix, owner_from_key

if TYPE_CHECKING:
    from tanagerturn.coordination.errors import StepError
    from tanagerturn.serving.requests.ledger import RequestLedger
    from tanagerturn.serving.requests.stored import StoredRecord

OWNER_SEPARATOR: Final = "."
SLASH_SUCCESSOR: Final = "0"
"""Character that follows `/` in ASCII; with it in place of the `/` after an owner, a
scan continues after the last key of this owner."""


@dataclass(frozen=True)
class TakeoverResult:
    """Result of taking over the records of dead owners."""

    records: tuple[StoredRecord, ...]
    """Records that this process now owns and has to run again or to settle."""
    dead: tuple[ProcessId, ...]
    """Ids of the owners that were found dead."""


def make_owner(process: ProcessId, start: str) -> ProcessId:
    """Return the owner id of one start of a process.

    A restarted process has lost its state and must not be taken for its earlier start.

    Args:
        process: Id of the process.
        start: Id of the start, unique for the process.
    """
    return ProcessId(f"{process}{OWNER_SEPARATOR}{start}")


def owner_lease(owner: ProcessId) -> LeaseName:
    """Return the name of the lease that an owner holds while it is alive."""
    return LeaseName(f"entry/{owner.rpartition(OWNER_SEPARATOR)[0]}")


def take_over(ledger: RequestLedger, now_ms: int) -> Result[TakeoverResult, StepError]:
    """Take over all open records of owners that lost their lease.

    Args:
        ledger: Ledger of the process that takes over.
        now_ms: Current wall clock time in milliseconds.

    Returns:
        The records taken over and the dead owners, or the error of a read from the
        store.
    """
    owners = _open_record_owners(ledger)
    if owners.is_error():
        return Error(owners.error)
    records: list[StoredRecord] = []
    dead: list[ProcessId] = []
    for owner in owners.ok:
        alive = _is_alive(ledger, owner)
        if alive.is_error():
            return Error(alive.error)
        if alive.ok:
            continue
        dead.append(owner)
        records.extend(take_over_records(ledger, owner, now_ms))
    return Ok(TakeoverResult(tuple(records), tuple(dead)))


def take_over_records(
    ledger: RequestLedger, dead: ProcessId, now_ms: int
) -> list[StoredRecord]:
    """Take over the open records of an owner that is known to be dead.

    A record that another process took over first is skipped. A record whose takeover
    is not confirmed is returned by the next sweep.

    Args:
        ledger: Ledger of the process that takes over.
        dead: Id of the dead owner.
        now_ms: Current wall clock time in milliseconds.
    """
    taken_over = []
    for found in ledger.open_records(dead):
        if found.is_error():
            break
        result = ledger.transition(
            found.ok, lifecycle.TakeOver(dead, ledger.owner), now_ms
        )
        if result.is_ok():
            taken_over.append(result.ok)
        elif not isinstance(result.error, RecordConflictError | TransitionRefusedError):
            break
    return taken_over


def own_open_records(ledger: RequestLedger) -> Result[list[StoredRecord], StepError]:
    """Return the open records that this process owns."""
    records = []
    for found in ledger.open_records(ledger.owner):
        if found.is_error():
            return Error(found.error)
        records.append(found.ok)
    return Ok(records)


def _is_alive(ledger: RequestLedger, owner: ProcessId) -> Result[bool, StepError]:
    if owner == ledger.owner:
        return Ok(True)
    lease = ledger.client.lease(ledger.group, owner_lease(owner), ledger.timeout_s)
    return lease.map(lambda held: held.holder == owner)


def _open_record_owners(ledger: RequestLedger) -> Result[list[ProcessId], StepError]:
    owners: list[ProcessId] = []
    after_key = ""
    while True:
        page = ledger.client.scan(
            ledger.group, OPEN_PREFIX, ledger.timeout_s, after_key, limit=1
        )
        if page.is_error():
            return Error(page.error)
        if not page.ok.entries:
            return Ok(owners)
        owner = ProcessId(owner_from_key(page.ok.entries[0].key))
        owners.append(owner)
        after_key = open_prefix(owner)[:-1] + SLASH_SUCCESSOR
