"""In-memory log of one replica: the last snapshot and the entries after it."""

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
        return self._latest_members()[1]

    @property
    def members_index(self) -> int:
        """The index of the entry or snapshot that set :attr:`members`."""
        return self._latest_members()[0]

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or ``None`` if it isn't stored.

        The index of the snapshot has the snapshot's term.
        """
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
        """Store ``entries``, replacing all entries from the first one's index on."""
        entries = list(entries)
        start = entries[0].index - self.first_index
        self._entries[start:] = entries

    def compact(self, snapshot: Snapshot) -> None:
        """Discard the entries that ``snapshot`` covers.

        If the log doesn't contain the snapshot's last entry, all entries are discarded.
        """
        log_matches = self.term_at(snapshot.index) == snapshot.term
        remaining = self._entries[snapshot.index - self._snapshot.index :]
        self._entries = remaining if log_matches else []
        self._snapshot = snapshot

    def _latest_members(self) -> tuple[int, Members]:
        for entry in reversed(self._entries):
            if entry.members is not None:
                return entry.index, entry.members
        return self._snapshot.index, self._snapshot.members
