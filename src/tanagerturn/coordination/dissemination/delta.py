"""Deltas between settings revisions: changed files, or the changed part of a file."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash
from expression import Error, Ok, Result

from tanagerturn.schema import coordination_pb2 as pb
from tanagerturn.schema import dissemination_pb2 as dpb

if TYPE_CHECKING:
    from collections.abc import Iterable


def digest_files(files: Iterable[pb.SettingsFile]) -> int:
    """Return a hash of the names and contents of all files."""
    digest = xxhash.xxh64()
    for file in files:
        for text in (file.name, file.content):
            encoded = text.encode()
            digest.update(len(encoded).to_bytes(8, "big"))
            digest.update(encoded)
    return digest.intdigest()


def make_delta(
    before: pb.SettingsRevision | None, after: pb.SettingsRevision
) -> dpb.SettingsDelta:
    """Return the delta to a revision.

    Args:
        before: Revision from which the delta starts; None or number 0 makes a delta
            with all files.
        after: Revision that the delta results in.
    """
    delta = dpb.SettingsDelta(
        revision=_without_files(after), digest=digest_files(after.files)
    )
    if before is None or not before.number:
        delta.changed.extend(after.files)
        return delta
    old_contents = {file.name: file.content for file in before.files}
    new_names = {file.name for file in after.files}
    delta.from_number = before.number
    delta.removed.extend(name for name in old_contents if name not in new_names)
    for file in after.files:
        old_content = old_contents.get(file.name)
        if old_content is None:
            delta.changed.append(file)
        elif old_content != file.content:
            delta.edits.append(_make_edit(file.name, old_content, file.content))
    return delta


def apply_delta(
    before: pb.SettingsRevision, delta: dpb.SettingsDelta
) -> Result[pb.SettingsRevision, str]:
    """Return the revision after a delta, or the reason why the delta does not apply."""
    if delta.from_number and delta.from_number != before.number:
        return Error(
            f"delta starts from revision {delta.from_number}, expected {before.number}"
        )
    files = {f.name: f for f in before.files} if delta.from_number else {}
    for name in delta.removed:
        files.pop(name, None)
    for file in delta.changed:
        files[file.name] = file
    for edit in delta.edits:
        if edit.name not in files:
            return Error(
                f"delta edits {edit.name!r}, which is not in revision {before.number}"
            )
        files[edit.name] = _apply_edit(files[edit.name], edit)
    after = _without_files(delta.revision)
    after.files.extend(files[name] for name in sorted(files))
    if digest_files(after.files) != delta.digest:
        return Error(
            f"digest of the files of revision {after.number} does not match the delta"
        )
    return Ok(after)


def _without_files(revision: pb.SettingsRevision) -> pb.SettingsRevision:
    header = pb.SettingsRevision()
    header.CopyFrom(revision)
    del header.files[:]
    return header


def _make_edit(name: str, before: str, after: str) -> dpb.FileEdit:
    start = _common_length(before, after)
    end = _common_length(before[start:][::-1], after[start:][::-1])
    middle = after[start : len(after) - end]
    return dpb.FileEdit(name=name, keep_start=start, keep_end=end, middle=middle)


def _common_length(first: str, second: str) -> int:
    low, high = 0, min(len(first), len(second))
    while low < high:
        middle = (low + high + 1) // 2
        if first[:middle] == second[:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def _apply_edit(file: pb.SettingsFile, edit: dpb.FileEdit) -> pb.SettingsFile:
    # The digest of all files detects an edit made for other file content.
    start = file.content[: edit.keep_start]
    end = file.content[max(0, len(file.content) - edit.keep_end) :]
    return pb.SettingsFile(name=file.name, content=start + edit.middle + end)
