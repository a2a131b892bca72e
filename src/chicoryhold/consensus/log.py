"""In-memory log of one replica: the last snapshot and the entries after it."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from chicoryhold.consensus.messages import Entry, Members, Snapshot


@attrs.frozen(kw_only=True)
class _Part:
    """A snapshot and the entries after it. ``entries`` may grow or lose its end."""

    snapshot: Snapshot
    entries: list[Entry]

    @property
    def first_index(self) -> int:
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    def term_at(self, index: int) -> int | None:
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.first_index <= index <= self.last_index:
            return self.entries[index - self.first_index].term
        return None

    def latest_members(self) -> tuple[int, Members]:
        for entry in reversed(self.entries):
            if entry.members is not None:
                return entry.index, entry.members
        return self.snapshot.index, self.snapshot.members


class Log:
    """Entries with consecutive indices after the position of the last snapshot.

    Only one thread may change it. Other threads may read the members and the terms of
    committed entries, since a compaction replaces snapshot and entries together.
    """

    def __init__(self, *, snapshot: Snapshot, entries: Iterable[Entry] = ()) -> None:
        self._part = _Part(snapshot=snapshot, entries=list(entries))

    @property
    def snapshot(self) -> Snapshot:
        return self._part.snapshot

    @property
    def first_index(self) -> int:
        return self._part.first_index

    @property
    def last_index(self) -> int:
        return self._part.last_index

    @property
    def last_term(self) -> int:
        entries = self._part.entries
        return entries[-1].term if entries else self.snapshot.term

    @property
    def members(self) -> Members:
        """The newest membership in the log, whether committed or not."""
        return self._part.latest_members()[1]

    @property
    def members_index(self) -> int:
        """The index of the entry or snapshot that set :attr:`members`."""
        return self._part.latest_members()[0]

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or ``None`` if it isn't stored.

        The index of the snapshot has the snapshot's term.
        """
        return self._part.term_at(index)

    def entry(self, index: int) -> Entry:
        return self._part.entries[index - self.first_index]

    def slice(self, first: int, *, limit: int) -> tuple[Entry, ...]:
        """Return at most ``limit`` entries starting at index ``first``."""
        start = first - self.first_index
        return tuple(self._part.entries[start : start + limit])

    def write(self, entries: Iterable[Entry]) -> None:
        """Store ``entries``, replacing all entries from the first one's index on."""
        entries = list(entries)
        start = entries[0].index - self.first_index
        self._part.entries[start:] = entries

    def compact(self, snapshot: Snapshot) -> None:
        """Discard the entries that ``snapshot`` covers.

        If the log doesn't contain the snapshot's last entry, all entries are discarded.
        """
        log_matches = self.term_at(snapshot.index) == snapshot.term
        remaining = self._part.entries[snapshot.index - self.snapshot.index :]
        entries = remaining if log_matches else []
        self._part = _Part(snapshot=snapshot, entries=entries)
