"""The part of the log that a member keeps in memory, after a snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tanagerturn.schema import coordination_pb2 as pb


class EntryLog:
    """Entries after a base, and the memberships that they set.

    Args:
        snapshot: Snapshot before the first entry.
        entries: Entries after the snapshot, without a gap.
    """

    def __init__(self, snapshot: pb.SnapshotMeta, entries: list[pb.Entry]) -> None:
        self.snapshot = snapshot
        """Last snapshot of this member."""
        self.base_index = snapshot.index
        """Index before the first entry."""
        self.base_term = snapshot.term
        """Term of the entry at the base."""
        self.entries: list[pb.Entry] = []
        """Entries after the base."""
        self.memberships = [(snapshot.index, snapshot.membership)]
        """Memberships with the index that set each; the last one is in force."""
        for entry in entries:
            self.append(entry)

    def __repr__(self) -> str:
        return f"EntryLog({self.base_index}..{self.last_index})"

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def membership(self) -> pb.Membership:
        """Membership in force: the last in the log, committed or not."""
        return self.memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry that set the membership in force."""
        return self.memberships[-1][0]

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None when it isn't here."""
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def get(self, index: int) -> pb.Entry:
        """Return one entry that is present."""
        return self.entries[index - self.base_index - 1]

    def after(self, index: int, end: int | None = None) -> list[pb.Entry]:
        """Return the entries after an index, up to an end included."""
        start = index - self.base_index
        stop = None if end is None else max(0, end - self.base_index)
        return self.entries[start:stop]

    def batch(self, start: int, limit_bytes: int) -> tuple[list[pb.Entry], int]:
        """Return entries from an index on within a size, and their size.

        Args:
            start: Index of the first entry.
            limit_bytes: Largest size; one entry is returned even beyond it.
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
        """Add the next entry.

        Raises:
            ValueError: The entry isn't the next one.
        """
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} after {self.last_index}")
        self.entries.append(entry)
        if entry.HasField("membership"):
            self.memberships.append((entry.index, entry.membership))

    def truncate(self, index: int) -> None:
        """Drop the entries from an index on."""
        del self.entries[index - self.base_index - 1 :]
        while len(self.memberships) > 1 and self.memberships[-1][0] >= index:
            self.memberships.pop()

    def first_of_term(self, index: int) -> int:
        """Return the first index here that has the same term as an index."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def membership_at(self, index: int) -> pb.Membership:
        """Return the membership in force at an index."""
        return [m for at, m in self.memberships if at <= index][-1]

    def cut(self, index: int) -> None:
        """Drop the entries up to an index; a snapshot covers them."""
        term = self.term_at(index)
        if index <= self.base_index or term is None:
            return
        kept = self.membership_at(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
        later = [(at, m) for at, m in self.memberships if at > index]
        self.memberships = [(index, kept), *later]

    def reset(self, snapshot: pb.SnapshotMeta) -> None:
        """Replace everything by an installed snapshot."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.entries = []
        self.memberships = [(snapshot.index, snapshot.membership)]
