"""The log of one replica in memory: a snapshot position and the entries after it."""

from __future__ import annotations

from collections.abc import Iterable

from chicoryhold.consensus.messages import Entry, Members, Snapshot


class Log:
    """Entries with consecutive indices after the position of the last snapshot."""

    def __init__(self, *, snapshot: Snapshot, entries: Iterable[Entry] = ()) -> None:
        self._snapshot = snapshot
        self._entries = list(entries)

    @property
    def snapshot(self) -> Snapshot:
        return self._snapshot

    @property
    def first_index(self) -> int:
        return self._snapshot.index + 1

    @property
    def last_index(self) -> int:
        return self._snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self._snapshot.term

    @property
    def members(self) -> Members:
        """The newest membership in the log, whether committed or not."""
        return self._members_record()[1]

    @property
    def members_index(self) -> int:
        """The index of the record that set :attr:`members`."""
        return self._members_record()[0]

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or ``None`` if not held."""
        if index == self._snapshot.index:
            return self._snapshot.term
        if self.first_index <= index <= self.last_index:
            return self._entries[index - self.first_index].term
        return None

    def entry(self, index: int) -> Entry:
        return self._entries[index - self.first_index]

    def slice(self, first: int, *, limit: int) -> tuple[Entry, ...]:
        """Return at most ``limit`` entries starting at index ``first``."""
        start = first - self.first_index
        return tuple(self._entries[start : start + limit])

    def write(self, entries: Iterable[Entry]) -> None:
        """Store ``entries``, replacing whatever stood at or after the first one."""
        entries = list(entries)
        start = entries[0].index - self.first_index
        self._entries[start:] = entries

    def compact(self, snapshot: Snapshot) -> None:
        """Forget the entries that ``snapshot`` covers."""
        same_history = self.term_at(snapshot.index) == snapshot.term
        kept = self._entries[snapshot.index - self._snapshot.index :]
        self._entries = kept if same_history else []
        self._snapshot = snapshot

    def _members_record(self) -> tuple[int, Members]:
        for entry in reversed(self._entries):
            if entry.members is not None:
                return entry.index, entry.members
        return self._snapshot.index, self._snapshot.members
