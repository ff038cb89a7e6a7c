"""Log entries in memory, after those that a snapshot has replaced."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tanagerturn.schema import coordination_pb2 as pb


class EntryLog:
    """Log entries after a base index, and the memberships that they set.

    Args:
        snapshot: Snapshot that precedes the first entry.
        entries: Contiguous entries after the snapshot.
    """

    def __init__(self, snapshot: pb.SnapshotMeta, entries: list[pb.Entry]) -> None:
        self.snapshot = snapshot
        """Last snapshot of this member."""
        self.base_index = snapshot.index
        """Index of the last compacted entry, before the first entry in memory."""
        self.base_term = snapshot.term
        """Term of the entry at `base_index`."""
        self.entries: list[pb.Entry] = []
        """Entries after `base_index`, contiguous."""
        self.memberships = [(snapshot.index, snapshot.membership)]
        """Index and membership of each membership entry, ascending; the last membership
        is in force."""
        for entry in entries:
            self.append(entry)

    def __repr__(self) -> str:
        return f"EntryLog({self.base_index}..{self.last_index})"

    @property
    def last_index(self) -> int:
        """Index of the last entry, or `base_index` when there are none."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or `base_term` when there are none."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def membership(self) -> pb.Membership:
        """Membership in force: the last one in the log, committed or not."""
        return self.memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry that set the membership in force."""
        return self.memberships[-1][0]

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None when the entry is not in memory."""
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def get(self, index: int) -> pb.Entry:
        """Return the entry at an index; the entry must be in memory."""
        return self.entries[index - self.base_index - 1]

    def entries_after(self, index: int, end: int | None = None) -> list[pb.Entry]:
        """Return the entries after `index`, up to and including `end` if given."""
        start = index - self.base_index
        stop = None if end is None else max(0, end - self.base_index)
        return self.entries[start:stop]

    def entries_from(self, start: int, limit_bytes: int) -> tuple[list[pb.Entry], int]:
        """Return entries from `start` on up to a size limit, and their size in bytes.

        Args:
            start: Index of the first entry.
            limit_bytes: Size limit in bytes; the first entry is returned even if it is
                larger.
        """
        found: list[pb.Entry] = []
        size = 0
        position = start - self.base_index - 1
        while position < len(self.entries):
            entry_size = self.entries[position].ByteSize()
            if found and size + entry_size > limit_bytes:
                break
            found.append(self.entries[position])
            size += entry_size
            position += 1
        return found, size

    def append(self, entry: pb.Entry) -> None:
        """Append the next entry.

        Raises:
            ValueError: The entry's index is not `last_index + 1`.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(
                f"append entry {entry.index}: expected index {self.last_index + 1}"
            )
        self.entries.append(entry)
        if entry.HasField("membership"):
            self.memberships.append((entry.index, entry.membership))

    def truncate(self, index: int) -> None:
        """Remove the entries from `index` on."""
        del self.entries[index - self.base_index - 1 :]
        while len(self.memberships) > 1 and self.memberships[-1][0] >= index:
            self.memberships.pop()

    def first_index_of_term(self, index: int) -> int:
        """Return the index of the first entry in memory with the term of `index`."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def membership_at(self, index: int) -> pb.Membership:
        """Return the membership in force at an index."""
        return [m for at, m in self.memberships if at <= index][-1]

    def compact(self, index: int) -> None:
        """Remove the entries up to `index`, which a snapshot covers."""
        term = self.term_at(index)
        if index <= self.base_index or term is None:
            return
        base_membership = self.membership_at(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
        later_memberships = [(at, m) for at, m in self.memberships if at > index]
        self.memberships = [(index, base_membership), *later_memberships]

    def reset(self, snapshot: pb.SnapshotMeta) -> None:
        """Drop all entries and continue after an installed snapshot."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.entries = []
        self.memberships = [(snapshot.index, snapshot.membership)]
