"""Store keys of request records and their index entries.

- `request/ACCOUNT/KEY`: the record.
- `open/OWNER/ACCOUNT/KEY`: index of records on which the owner still has to act.
- `unknown/ACCOUNT/KEY`: index of records whose outcome is unknown.
- `expire/MILLISECONDS/ACCOUNT/KEY`: index of records in a final state by the wall clock
  time from which they may be removed.

Index entries are written in the same transaction as their record.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from urllib.parse import quote, unquote

from tanagerturn.schema import coordination_pb2, serving_pb2
from tanagerturn.serving.requests.ids import ClientAccountId, IdempotencyKey
from tanagerturn.serving.requests.lifecycle import FINAL_STATES, is_open

if TYPE_CHECKING:
    from tanagerturn.coordination.ids import ProcessId, Revision

REQUEST_PREFIX: Final = "request/"
OPEN_PREFIX: Final = "open/"
UNKNOWN_PREFIX: Final = "unknown/"
EXPIRE_PREFIX: Final = "expire/"
EXPIRE_DIGITS: Final = 14
INDEX_VALUE: Final = b"1"


def _record_path(account: str, key: str) -> str:
    return f"{quote(account, safe='')}/{quote(key, safe='')}"


def request_key(account: ClientAccountId, key: IdempotencyKey) -> str:
    """Return the store key of the record of an account's idempotency key."""
    return REQUEST_PREFIX + _record_path(account, key)


def record_key(record: serving_pb2.RequestRecord) -> str:
    """Return the store key of a record."""
    return REQUEST_PREFIX + _record_path(record.client_account, record.idempotency_key)


def open_prefix(owner: ProcessId) -> str:
    """Return the prefix of the keys of an owner's records in the open index."""
    return f"{OPEN_PREFIX}{quote(owner, safe='')}/"


def parse_index_key(index_key: str) -> tuple[ClientAccountId, IdempotencyKey]:
    """Return the client account and idempotency key that an index key contains."""
    account, key = index_key.split("/")[-2:]
    return ClientAccountId(unquote(account)), IdempotencyKey(unquote(key))


def owner_from_key(index_key: str) -> str:
    """Return the owner that a key of the open index contains."""
    return unquote(index_key.split("/")[1])


def expiry_from_key(index_key: str) -> int:
    """Return the expiry time that a key of the expiry index contains.

    The time is on the wall clock, in milliseconds.
    """
    return int(index_key.split("/")[1])


def index_keys(record: serving_pb2.RequestRecord | None) -> set[str]:
    """Return the index keys of a record; empty if the record is None."""
    if record is None:
        return set()
    name = _record_path(record.client_account, record.idempotency_key)
    if is_open(record):
        return {f"{OPEN_PREFIX}{quote(record.owner, safe='')}/{name}"}
    if record.state == serving_pb2.OUTCOME_UNKNOWN:
        return {UNKNOWN_PREFIX + name}
    if record.state in FINAL_STATES:
        expires_at_ms = record.ended_at_ms + record.keep_ms
        return {f"{EXPIRE_PREFIX}{expires_at_ms:0{EXPIRE_DIGITS}d}/{name}"}
    return set()


def build_write(
    before: serving_pb2.RequestRecord | None,
    after: serving_pb2.RequestRecord,
    revision: Revision,
) -> coordination_pb2.Transaction:
    """Return the transaction that replaces a record and its index entries.

    Args:
        before: The stored record; None if no record is stored.
        after: The record to store.
        revision: Store revision of the stored record; 0 if no record is stored.
    """
    transaction = coordination_pb2.Transaction()
    transaction.puts.add(
        key=record_key(after),
        value=after.SerializeToString(deterministic=True),
        expected_revision=revision,
    )
    old, new = index_keys(before), index_keys(after)
    for key in sorted(new - old):
        transaction.puts.add(key=key, value=INDEX_VALUE)
    for key in sorted(old - new):
        transaction.deletes.add(key=key)
    return transaction


def build_removal(
    record: serving_pb2.RequestRecord, revision: Revision
) -> coordination_pb2.Transaction:
    """Return the transaction that removes a record and its index entries.

    Args:
        record: The stored record.
        revision: Its store revision.
    """
    transaction = coordination_pb2.Transaction()
    transaction.deletes.add(key=record_key(record), expected_revision=revision)
    for key in sorted(index_keys(record)):
        transaction.deletes.add(key=key)
    return transaction
