"""History of accepted settings: compare-and-set, idempotent and append-only.

A change names the revision number that its author saw. The change is accepted only
while that revision is in force, so one of two concurrent changes is accepted and the
other gets a conflict with the accepted revision. Each change has an id. A change that
is resent gets its first result, however late, because the store keeps the id with
the revision that the change became.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from tanagerturn.coordination.dissemination.delta import make_delta
from tanagerturn.coordination.errors import RefusedError, StepError
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from tanagerturn.coordination.client import StateClient
    from tanagerturn.coordination.ids import ChangeId, GroupId

CURRENT_KEY: Final = "settings/current"
HISTORY_PREFIX: Final = "settings/history/"
CHANGE_PREFIX: Final = "settings/change/"
DELTA_PREFIX: Final = "settings/delta/"
FILES_LIMIT_BYTES: Final = 1024 * 1024
"""Largest total size in bytes of the names and contents of one revision's files."""

HISTORY_KEPT: Final = 200
"""Number of revisions whose files are stored for rollback; of older revisions only a
record without files is stored."""

DELTAS_KEPT: Final = 50
"""Number of deltas stored for watchers; a watcher that lacks more deltas reads the
whole revision."""

CHANGE_ID_LIMIT_BYTES: Final = 128
CALL_TIMEOUT_S: Final = 5.0

Status = pb.CommandResult.Status


class SettingsConflict(RefusedError):
    """Another change was accepted first; this change was not made.

    Args:
        expected_number: Number of the revision that the author saw.
        current: The revision in force.
    """

    def __init__(self, expected_number: int, current: pb.SettingsRevision) -> None:
        reason = (
            f"expected revision {expected_number}, but {current.number} by "
            f"{current.author or 'nobody'} is in force"
        )
        super().__init__("change settings", "", reason)
        self.expected_number = expected_number
        """Number of the revision that the author saw."""
        self.current = current
        """The revision in force."""


class SettingsInvalid(RefusedError):
    """The files of a change are not valid; the change was not made.

    Args:
        faults: Descriptions of the faults, one string per fault.
    """

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("validate settings", "", "; ".join(faults))
        self.faults = tuple(faults)
        """Descriptions of the faults, one string per fault."""


class SettingsHistory:
    """Reads and changes the deployment's settings in one replication group.

    Args:
        client: Calls to the replicated store.
        group: Replication group that holds the settings.
        history_kept: Number of revisions whose files are stored for rollback.
        timeout_s: Timeout of one call in seconds.
    """

    def __init__(
        self,
        client: StateClient,
        group: GroupId,
        history_kept: int = HISTORY_KEPT,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self.client = client
        """Calls to the replicated store."""
        self.group = group
        """Replication group that holds the settings."""
        self.history_kept = history_kept
        """Number of revisions whose files are stored for rollback."""
        self.timeout_s = timeout_s
        """Timeout of one call in seconds."""

    def current(self) -> Result[pb.SettingsRevision, StepError]:
        """Read the revision in force; number 0 and no files before the first change."""
        return self._revision_at(CURRENT_KEY).map(lambda r: r or pb.SettingsRevision())

    def revision(self, number: int) -> Result[pb.SettingsRevision | None, StepError]:
        """Read one revision with its files; None when they are no longer stored."""
        return self._revision_at(history_key(number))

    def history(self, limit: int = 20) -> Result[list[pb.SettingsRevision], StepError]:
        """Read the last `limit` revisions, newest first."""
        current = self.current()
        if current.is_error():
            return Error(current.error)
        start = max(0, current.ok.number - limit)
        page = self.client.scan(
            self.group, HISTORY_PREFIX, self.timeout_s, history_key(start), limit
        )
        return page.map(lambda p: [_parse(e.value) for e in reversed(p.entries)])

    def apply(
        self,
        files: Mapping[str, str],
        expected_number: int,
        change_id: ChangeId,
        author: str,
        note: str,
        now_ms: int,
        validate: Callable[[Mapping[str, str]], Sequence[object]],
    ) -> Result[pb.SettingsRevision, StepError]:
        """Make files the next revision.

        Args:
            files: Content of each file by file name, "base" or "site/NAME".
            expected_number: Number of the revision that the author saw.
            change_id: Id of the change; a change with the same id is made only once.
            author: Who makes the change.
            note: Why the change is made.
            now_ms: Wall-clock time in milliseconds, stored with the revision.
            validate: Returns the faults of the files; empty accepts them.

        Returns:
            The accepted revision, which is the first one if the change was sent
            before; `SettingsConflict`; `SettingsInvalid`; or an `UnavailableError`,
            after which the same change should be resent.
        """
        earlier = self._find_change(change_id)
        if earlier.is_error():
            return Error(earlier.error)
        if earlier.ok is not None:
            return _repeat_answer(earlier.ok, files)
        faults = _check_limits(files, change_id) or [str(f) for f in validate(files)]
        if faults:
            return Error(SettingsInvalid(faults))
        revision = pb.SettingsRevision(
            number=expected_number + 1,
            change_id=change_id,
            author=author,
            note=note,
            files=[
                pb.SettingsFile(name=name, content=files[name])
                for name in sorted(files)
            ],
            accepted_at_ms=now_ms,
        )
        return self._commit(revision)

    def rollback(
        self,
        to_number: int,
        expected_number: int,
        change_id: ChangeId,
        author: str,
        note: str,
        now_ms: int,
        validate: Callable[[Mapping[str, str]], Sequence[object]],
    ) -> Result[pb.SettingsRevision, StepError]:
        """Make the files of an earlier revision the next revision.

        Args:
            to_number: Number of the revision whose files are restored.
            expected_number: Number of the revision that the author saw.
            change_id: Id of the change; a change with the same id is made only once.
            author: Who makes the change.
            note: Why the change is made.
            now_ms: Wall-clock time in milliseconds, stored with the revision.
            validate: Returns the faults of the files; empty accepts them.

        Returns:
            As `apply`, or a `RefusedError` when the files of the revision are no longer
            stored.
        """
        earlier = self._find_change(change_id)
        if earlier.is_error():
            return Error(earlier.error)
        if earlier.ok is not None:
            return Ok(earlier.ok)
        target = self.revision(to_number)
        if target.is_error():
            return Error(target.error)
        if target.ok is None:
            reason = f"the files of revision {to_number} are not stored"
            return Error(RefusedError("roll settings back", "", reason))
        files = file_contents(target.ok)
        return self.apply(
            files, expected_number, change_id, author, note, now_ms, validate
        )

    def _commit(
        self, revision: pb.SettingsRevision
    ) -> Result[pb.SettingsRevision, StepError]:
        read = self.client.read(self.group, CURRENT_KEY, self.timeout_s)
        if read.is_error():
            return Error(read.error)
        entry = read.ok
        current = _parse(entry.value) if entry else pb.SettingsRevision()
        if current.number != revision.number - 1:
            return self._resolve_conflict(revision, current)
        command = self._command(revision, current, entry.mod_revision if entry else 0)
        proposed = self.client.propose(self.group, command, self.timeout_s)
        if proposed.is_error():
            return Error(proposed.error)
        result = proposed.ok
        if result.status == Status.APPLIED:
            return self._accepted_revision(revision)
        if result.status == Status.CONFLICT:
            return self.current().bind(lambda c: self._resolve_conflict(revision, c))
        return Error(RefusedError("change settings", "", result.reason))

    def _command(
        self,
        revision: pb.SettingsRevision,
        current: pb.SettingsRevision,
        expected: int,
    ) -> pb.Command:
        record = pb.SettingsRevision()
        record.CopyFrom(revision)
        del record.files[:]
        change_key = CHANGE_PREFIX + revision.change_id
        value = revision.SerializeToString()
        delta = make_delta(current, revision).SerializeToString()
        number = revision.number
        transaction = pb.Transaction(
            puts=[
                pb.Put(key=CURRENT_KEY, value=value, expected_revision=expected),
                pb.Put(key=history_key(number), value=value, expected_revision=0),
                pb.Put(key=delta_key(number), value=delta, expected_revision=0),
                pb.Put(
                    key=change_key,
                    value=record.SerializeToString(),
                    expected_revision=0,
                ),
            ],
        )
        if number > self.history_kept:
            transaction.deletes.add(key=history_key(number - self.history_kept))
        if number > DELTAS_KEPT:
            transaction.deletes.add(key=delta_key(number - DELTAS_KEPT))
        return pb.Command(change_id=change_key, transaction=transaction)

    def _resolve_conflict(
        self, revision: pb.SettingsRevision, current: pb.SettingsRevision
    ) -> Result[pb.SettingsRevision, StepError]:
        # The accepted change may be this change, if it was sent twice concurrently.
        earlier = self._find_change(revision.change_id)
        if earlier.is_error():
            return Error(earlier.error)
        if earlier.ok is not None:
            return _repeat_answer(earlier.ok, file_contents(revision))
        return Error(SettingsConflict(revision.number - 1, current))

    def _accepted_revision(
        self, revision: pb.SettingsRevision
    ) -> Result[pb.SettingsRevision, StepError]:
        # An earlier attempt may have been accepted; return the revision that it became.
        return self._find_change(revision.change_id).map(lambda r: r or revision)

    def _find_change(
        self, change_id: str
    ) -> Result[pb.SettingsRevision | None, StepError]:
        record = self._revision_at(CHANGE_PREFIX + change_id)
        if record.is_error() or record.ok is None:
            return record
        return self.revision(record.ok.number).map(lambda r: r or record.ok)

    def _revision_at(self, key: str) -> Result[pb.SettingsRevision | None, StepError]:
        read = self.client.read(self.group, key, self.timeout_s)
        return read.map(lambda entry: _parse(entry.value) if entry else None)


def history_key(number: int) -> str:
    """Return the store key of a revision with its files."""
    return f"{HISTORY_PREFIX}{number:010d}"


def delta_key(number: int) -> str:
    """Return the store key of the delta from the previous revision to a revision."""
    return f"{DELTA_PREFIX}{number:010d}"


def file_contents(revision: pb.SettingsRevision) -> dict[str, str]:
    """Return the content of each file of a revision, by file name."""
    return {file.name: file.content for file in revision.files}


def _parse(value: bytes) -> pb.SettingsRevision:
    return pb.SettingsRevision.FromString(value)


def _check_limits(files: Mapping[str, str], change_id: str) -> list[str]:
    if not change_id or len(change_id.encode()) > CHANGE_ID_LIMIT_BYTES:
        return [f"a change id must have 1 to {CHANGE_ID_LIMIT_BYTES} bytes"]
    if not files:
        return ["a revision needs at least one file"]
    size = sum(len(n.encode()) + len(c.encode()) for n, c in files.items())
    if size > FILES_LIMIT_BYTES:
        return [f"the files have {size} bytes, more than {FILES_LIMIT_BYTES}"]
    return []


def _repeat_answer(
    earlier: pb.SettingsRevision, files: Mapping[str, str]
) -> Result[pb.SettingsRevision, StepError]:
    if earlier.files and file_contents(earlier) != dict(files):
        fault = f"change {earlier.change_id} was accepted earlier with other files"
        return Error(SettingsInvalid([fault]))
    return Ok(earlier)
