"""Files of one control replica, in one data folder.

``identity``  the identity of the replica, created with the folder
``vote``      the election state
``snapshot``  the newest snapshot
``log``       records after the snapshot; an entry with an index that is already in
              the log replaces all entries from that index on
``lock``      locked by the process that uses the folder

Snapshot and log consist of records. Entries that are synced together are stored in one
record, because after a power loss any part of the data that wasn't synced may be on
disk, and a valid record after a torn one would look like corruption.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from uuid import uuid4

from chicoryhold.codec import decode, encode
from chicoryhold.consensus.in_flight import first_that_fit
from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import Entry, EntryBatch, Members, Snapshot, Vote
from chicoryhold.control.records import (
    corruption_message,
    read_records,
    record_header,
)
from chicoryhold.errors import CorruptLog, SettingsError


class Storage:
    """Reads and writes the files; each write is synced before it returns."""

    def __init__(self, *, folder: Path, log_file: int) -> None:
        self._folder = folder
        self._log_file = log_file
        self._log_bytes = os.fstat(log_file).st_size

    @property
    def folder(self) -> Path:
        return self._folder

    @property
    def log_bytes(self) -> int:
        """The size of the log's file, which also has entries that were replaced."""
        return self._log_bytes

    def save_vote(self, vote: Vote) -> None:
        replace_file(self._folder / "vote", (encode(vote),))

    def load_vote(self) -> Vote:
        path = self._folder / "vote"
        return decode(path.read_bytes()) if path.exists() else Vote()

    def append(self, entries: Iterable[Entry]) -> None:
        """Store ``entries``; if that fails, truncate the file to its previous size."""
        payload = encode(EntryBatch(entries=tuple(entries)))
        data = record_header(payload) + payload
        end = os.fstat(self._log_file).st_size
        try:
            _write_all(self._log_file, data)
            os.fdatasync(self._log_file)
        except OSError:
            os.ftruncate(self._log_file, end)
            raise
        self._log_bytes = end + len(data)

    def save_snapshot(self, snapshot: Snapshot, remaining: Iterable[Entry]) -> None:
        """Store ``snapshot``, then replace the log by the ``remaining`` entries."""
        payload = encode(snapshot)
        replace_file(self._folder / "snapshot", (record_header(payload), payload))
        self._replace_log(tuple(remaining))

    def _replace_log(self, entries: tuple[Entry, ...]) -> None:
        replace_file(self._folder / "log", _records_of(entries))
        new_file = os.open(self._folder / "log", os.O_WRONLY | os.O_APPEND)
        os.dup2(new_file, self._log_file)
        os.close(new_file)
        self._log_bytes = os.fstat(self._log_file).st_size

    def load_log(self, founders: Members) -> Log:
        """Return the stored log, and truncate a torn record at its end.

        Without a stored snapshot, the initial members are ``founders``.
        """
        snapshot = self._load_snapshot(founders)
        stored = _StoredLog(snapshot=snapshot)
        path = self._folder / "log"
        position = 0
        for record in read_records(path):
            position = record.end
            for entry in _entries_of(decode(record.payload)):
                if not stored.add(entry):
                    raise CorruptLog(corruption_message(path, record.end))
        if position < path.stat().st_size:
            os.truncate(path, position)
            os.fsync(self._log_file)
            self._log_bytes = position
        if stored.is_from_before_snapshot:
            log = stored.log
            self._replace_log(log.slice(log.first_index, limit=log.last_index))
        return stored.log

    def _load_snapshot(self, founders: Members) -> Snapshot:
        path = self._folder / "snapshot"
        if not path.exists():
            return Snapshot(index=0, term=0, members=founders, data=b"")
        records = list(read_records(path))
        if len(records) != 1:
            raise CorruptLog(corruption_message(path, 0))
        return decode(records[0].payload)


class _StoredLog:
    """The log that the entries of a file make up, read in the order of the file.

    If the process ended after a snapshot was stored and before the log was replaced,
    the file has the entries that the snapshot covers, and later ones may have been
    replaced with it: their terms are lower than that of the snapshot, since no later
    leader lacks what is committed. Older builds append to such a file.
    """

    def __init__(self, *, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        self._log = Log(snapshot=snapshot)
        self._is_from_before_snapshot = False

    @property
    def log(self) -> Log:
        return self._log

    @property
    def is_from_before_snapshot(self) -> bool:
        return self._is_from_before_snapshot

    def add(self, entry: Entry) -> bool:
        """Add the next entry; return whether the log has all that come before it."""
        if entry.index <= self._snapshot.index:
            self._log = Log(snapshot=self._snapshot)
            self._is_from_before_snapshot = True
            return True
        if entry.term < self._snapshot.term:
            # The snapshot replaced what came before this entry.
            return True
        if entry.index > self._log.last_index + 1:
            return False
        self._log.write([entry])
        return True


def _entries_of(stored: EntryBatch | Entry) -> tuple[Entry, ...]:
    """Return the entries of a record; earlier versions stored one per record."""
    return stored.entries if isinstance(stored, EntryBatch) else (stored,)


def _write_all(file: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(file, remaining) :]


def _records_of(entries: tuple[Entry, ...]) -> Iterator[bytes]:
    """Yield records of ``entries`` that are short, as a start holds one at a time."""
    while entries:
        batch = first_that_fit(entries)
        payload = encode(EntryBatch(entries=batch))
        yield record_header(payload) + payload
        entries = entries[len(batch) :]


def replace_file(path: Path, parts: Iterable[bytes]) -> None:
    """Replace ``path`` by ``parts``; after a crash it is either the old or the new."""
    temporary = path.with_suffix(".new")
    with open(temporary, "wb") as file:
        file.writelines(parts)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)


def sync_folder(folder: Path) -> None:
    """Sync the directory entries of ``folder``."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def read_identity(folder: Path, *, name: str, found: bool) -> str:
    """Return the replica identity stored in ``folder``, creating it in an empty one.

    With ``found``, it is the predictable identity of an initial member of the group.
    Otherwise it is random, so that a replica that has lost its disk can't vote again
    under an identity that has already voted.
    """
    path = folder / "identity"
    if path.exists():
        return path.read_text().strip()
    if any(folder.glob("*")) and not (folder / "lock").exists():
        raise SettingsError(
            f"{folder} contains files but no identity: specify an empty folder"
        )
    suffix = "founder" if found else uuid4().hex[:8]
    identity = f"{name}.{suffix}"
    replace_file(path, (identity.encode(),))
    return identity


@contextmanager
def open_storage(folder: Path) -> Iterator[Storage]:
    """Open ``folder`` for one process, creating it if it doesn't exist."""
    folder.mkdir(parents=True, exist_ok=True)
    lock = os.open(folder / "lock", os.O_CREAT | os.O_RDWR)
    log_file = os.open(folder / "log", os.O_CREAT | os.O_WRONLY | os.O_APPEND)
    try:
        _lock(lock, folder)
        sync_folder(folder)
        yield Storage(folder=folder, log_file=log_file)
    finally:
        os.close(log_file)
        os.close(lock)


def _lock(descriptor: int, folder: Path) -> None:
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        raise SettingsError(
            f"{folder} is used by another process: stop it or specify another folder"
        ) from error
