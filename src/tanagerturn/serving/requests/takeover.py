"""Finds owners that died and takes their open records over.

Each entry process holds the lease `entry/PROCESS` in the group of the records,
with its owner name, new at each start, as the holder; all its writes carry the
lease as a fence. An owner whose lease is gone can therefore write nothing any
more, and its open records are taken over.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from tanagerturn.coordination.ids import LeaseName, ProcessId
from tanagerturn.serving.requests import life
from tanagerturn.serving.requests.errors import MoveRefusedError, RecordMovedError
from tanagerturn.serving.requests.layout import OPEN_PREFIX, open_prefix, owner_of

if TYPE_CHECKING:
    from tanagerturn.coordination.errors import StepError
    from tanagerturn.serving.requests.held import Held
    from tanagerturn.serving.requests.ledger import RequestLedger

OWNER_SEPARATOR: Final = "."
AFTER_SLASH: Final = "0"
"""Character after the slash, to skip all keys of one owner."""


@dataclass(frozen=True)
class TakenOver:
    """What a sweep for dead owners did."""

    records: tuple[Held, ...]
    """Records that this process owns now and has to run or settle."""
    dead: tuple[ProcessId, ...]
    """Owners that were found dead."""


def make_owner(process: ProcessId, start: str) -> ProcessId:
    """Name an owner: the process and its start, since a restart forgets."""
    return ProcessId(f"{process}{OWNER_SEPARATOR}{start}")


def owner_lease(owner: ProcessId) -> LeaseName:
    """Return the lease that an owner holds while it lives."""
    return LeaseName(f"entry/{owner.rpartition(OWNER_SEPARATOR)[0]}")


def take_over(ledger: RequestLedger, now_ms: int) -> Result[TakenOver, StepError]:
    """Take over all open records of owners that lost their lease.

    Args:
        ledger: Ledger of the process that takes over.
        now_ms: Present wall clock in milliseconds.

    Returns:
        The records taken, which may be empty, or why the store did not answer.
    """
    owners = _owners(ledger)
    if owners.is_error():
        return Error(owners.error)
    records: list[Held] = []
    dead: list[ProcessId] = []
    for owner in owners.ok:
        alive = _alive(ledger, owner)
        if alive.is_error():
            return Error(alive.error)
        if alive.ok:
            continue
        dead.append(owner)
        records.extend(take_over_owner(ledger, owner, now_ms))
    return Ok(TakenOver(tuple(records), tuple(dead)))


def take_over_owner(ledger: RequestLedger, dead: ProcessId, now_ms: int) -> list[Held]:
    """Take over the open records of an owner that is known to be dead.

    A record that another process takes first is left to it; one whose commit
    is not confirmed is found again by the next sweep.
    """
    taken = []
    for found in ledger.open_records(dead):
        if found.is_error():
            break
        moved = ledger.move(found.ok, life.TakeOver(dead, ledger.owner), now_ms)
        if moved.is_ok():
            taken.append(moved.ok)
        elif not isinstance(moved.error, RecordMovedError | MoveRefusedError):
            break
    return taken


def own_records(ledger: RequestLedger) -> Result[list[Held], StepError]:
    """Return the open records of this process, taken over or accepted."""
    records = []
    for found in ledger.open_records(ledger.owner):
        if found.is_error():
            return Error(found.error)
        records.append(found.ok)
    return Ok(records)


def _alive(ledger: RequestLedger, owner: ProcessId) -> Result[bool, StepError]:
    if owner == ledger.owner:
        return Ok(True)
    lease = ledger.client.lease(ledger.group, owner_lease(owner), ledger.timeout_s)
    return lease.map(lambda held: held.holder == owner)


def _owners(ledger: RequestLedger) -> Result[list[ProcessId], StepError]:
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
        owner = ProcessId(owner_of(page.ok.entries[0].key))
        owners.append(owner)
        after_key = open_prefix(owner)[:-1] + AFTER_SLASH
