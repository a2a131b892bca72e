"""A replica's log together with how far it is committed."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from chicoryhold.consensus.effects import Apply, Effect, SaveEntries, SaveSnapshot
from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import Entry, Members, Snapshot


class CommittedLog:
    """Changes the log, and requests the effects by which it is stored and applied.

    ``request`` queues an effect; the driver runs effects in order.
    """

    def __init__(self, *, log: Log, request: Callable[[Effect], None]) -> None:
        self._log = log
        self._request = request
        self._commit_index = log.snapshot.index
        self._applied_index = log.snapshot.index

    @property
    def commit_index(self) -> int:
        return self._commit_index

    @property
    def committed_term(self) -> int | None:
        """The term of the last committed entry."""
        return self._log.term_at(self._commit_index)

    def store(self, entries: Sequence[Entry]) -> None:
        """Store ``entries``, replacing all entries from the first one's index on."""
        self._log.write(entries)
        self._request(SaveEntries(entries=tuple(entries)))

    def store_missing(self, entries: Sequence[Entry]) -> None:
        """Store ``entries`` from the first one on that the log doesn't contain."""
        for position, entry in enumerate(entries):
            if self._log.term_at(entry.index) != entry.term:
                self.store(entries[position:])
                return

    def commit_to(self, index: int) -> None:
        """Note that the entries up to ``index`` are committed.

        Call :meth:`apply` after requesting the messages that depend on it: a replica
        that has just started may have its whole log to apply.
        """
        self._commit_index = max(self._commit_index, index)

    def apply(self) -> None:
        """Apply the committed entries that aren't applied yet."""
        while self._applied_index < self._commit_index:
            self._applied_index += 1
            self._request(Apply(entry=self._log.entry(self._applied_index)))

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log by a leader's ``snapshot``, unless the log is further."""
        if snapshot.index > self._commit_index:
            self._log.compact(snapshot)
            self._commit_index = snapshot.index
            self._applied_index = snapshot.index
            remaining = self._log.slice(
                self._log.first_index, limit=self._log.last_index
            )
            self._request(SaveSnapshot(snapshot=snapshot, remaining=remaining))

    def compact(self, *, index: int, data: bytes) -> Snapshot:
        """Replace the log up to ``index`` by a snapshot with ``data``.

        ``data`` must be the state after the entry at ``index`` was applied.
        """
        term = self._log.term_at(index)
        if term is None or index > self._commit_index:
            raise ValueError(f"index {index} is not committed in this log")
        members = self._members_at(index)
        snapshot = Snapshot(index=index, term=term, members=members, data=data)
        self._log.compact(snapshot)
        return snapshot

    def _members_at(self, index: int) -> Members:
        for position in range(index, self._log.snapshot.index, -1):
            members = self._log.entry(position).members
            if members is not None:
                return members
        return self._log.snapshot.members
