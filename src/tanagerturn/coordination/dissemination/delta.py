"""Deltas between settings revisions: the changed part of each file."""

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
    """Return the delta to a revision, from an earlier one or with all files."""
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
    """Return the revision after a delta, or the reason why it does not apply."""
    if delta.from_number and delta.from_number != before.number:
        return Error(f"delta starts from {delta.from_number}, not {before.number}")
    files = {f.name: f for f in before.files} if delta.from_number else {}
    for name in delta.removed:
        files.pop(name, None)
    for file in delta.changed:
        files[file.name] = file
    for edit in delta.edits:
        if edit.name not in files:
            return Error(f"there is no file {edit.name} to edit")
        files[edit.name] = _apply_edit(files[edit.name], edit)
    after = _without_files(delta.revision)
    after.files.extend(files[name] for name in sorted(files))
    if digest_files(after.files) != delta.digest:
        return Error(f"files of revision {after.number} do not match their digest")
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
    # An edit that does not fit is detected by the digest of all files.
    start = file.content[: edit.keep_start]
    end = file.content[max(0, len(file.content) - edit.keep_end) :]
    return pb.SettingsFile(name=file.name, content=start + edit.middle + end)
