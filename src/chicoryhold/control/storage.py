"""Durable files of one control replica, in one data folder.

``identity``  names the replica; a new folder always gets a new one
``vote``      the election state
``snapshot``  the newest snapshot
``log``       records after the snapshot; a record with a lower or equal index
              replaces everything from that index on

A log record is a header of three little-endian 32-bit words (payload length, CRC-32
of the payload, CRC-32 of the first two words) and the payload. Entries that are synced
together stand in one record: after a power loss any part of what wasn't synced may be
there, and a whole record behind a torn one would look like damage.
"""

from __future__ import annotations

import fcntl
import os
import struct
import zlib
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from uuid import uuid4

from chicoryhold.codec import decode, encode
from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import Entry, EntryBatch, Members, Snapshot, Vote
from chicoryhold.errors import CorruptLog, SettingsError

_HEADER = struct.Struct("<III")
_WORDS = struct.Struct("<II")


class Storage:
    """Reads and writes the files; each write is synced before it returns."""

    def __init__(self, *, folder: Path, log_file: int) -> None:
        self._folder = folder
        self._log_file = log_file

    @property
    def folder(self) -> Path:
        return self._folder

    def save_vote(self, vote: Vote) -> None:
        replace_file(self._folder / "vote", encode(vote))

    def load_vote(self) -> Vote:
        path = self._folder / "vote"
        return decode(path.read_bytes()) if path.exists() else Vote()

    def append(self, entries: Iterable[Entry]) -> None:
        """Store ``entries``; if the disk refuses, nothing of them stays in the file."""
        data = _record(encode(EntryBatch(entries=tuple(entries))))
        end = os.fstat(self._log_file).st_size
        try:
            _write_all(self._log_file, data)
            os.fdatasync(self._log_file)
        except OSError:
            os.ftruncate(self._log_file, end)
            raise

    def save_snapshot(self, snapshot: Snapshot, remaining: Iterable[Entry]) -> None:
        """Store ``snapshot``, then shorten the log to the ``remaining`` entries."""
        replace_file(self._folder / "snapshot", _record(encode(snapshot)))
        entries = tuple(remaining)
        data = _record(encode(EntryBatch(entries=entries))) if entries else b""
        replace_file(self._folder / "log", data)
        new_file = os.open(self._folder / "log", os.O_WRONLY | os.O_APPEND)
        os.dup2(new_file, self._log_file)
        os.close(new_file)

    def load_log(self, founders: Members) -> Log:
        """Return the stored log; an empty folder starts from ``founders``."""
        snapshot = self._load_snapshot(founders)
        log = Log(snapshot=snapshot)
        path = self._folder / "log"
        content = path.read_bytes()
        position = 0
        for end, payload in read_records(content, path):
            position = end
            for entry in _entries_of(decode(payload)):
                if entry.index > snapshot.index:
                    log.write([entry])
        if position < len(content):
            os.truncate(path, position)
            os.fsync(self._log_file)
        return log

    def _load_snapshot(self, founders: Members) -> Snapshot:
        path = self._folder / "snapshot"
        if not path.exists():
            return Snapshot(index=0, term=0, members=founders, data=b"")
        records = list(read_records(path.read_bytes(), path))
        if len(records) != 1:
            raise CorruptLog(_rejoin_advice(path, 0))
        return decode(records[0][1])


def _entries_of(stored: EntryBatch | Entry) -> tuple[Entry, ...]:
    """Logs of earlier versions hold each entry in a record of its own."""
    return stored.entries if isinstance(stored, EntryBatch) else (stored,)


def _write_all(file: int, data: bytes) -> None:
    left = memoryview(data)
    while left:
        left = left[os.write(file, left) :]


def read_records(content: bytes, path: Path) -> Iterator[tuple[int, bytes]]:
    """Yield the end position and payload of each record.

    Stops at a torn tail. Raises ``CorruptLog`` if a broken record is followed by a
    whole one: what was synced before the whole one has then been damaged since.
    """
    position = 0
    while position < len(content):
        payload = _payload_at(content, position)
        if payload is None:
            if _whole_record_after(content, position + 1):
                raise CorruptLog(_rejoin_advice(path, position))
            return
        position += _HEADER.size + len(payload)
        yield position, payload


def _payload_at(content: bytes, position: int) -> bytes | None:
    header = content[position : position + _HEADER.size]
    if len(header) < _HEADER.size:
        return None
    length, payload_crc, header_crc = _HEADER.unpack(header)
    if zlib.crc32(header[: _WORDS.size]) != header_crc:
        return None
    start = position + _HEADER.size
    payload = content[start : start + length]
    if len(payload) < length or zlib.crc32(payload) != payload_crc:
        return None
    return payload


def _whole_record_after(content: bytes, start: int) -> bool:
    last = len(content) - _HEADER.size
    return any(_payload_at(content, p) is not None for p in range(start, last))


def _rejoin_advice(path: Path, position: int) -> str:
    return (
        f"{path} is damaged at byte {position}, before records that were synced: move "
        f"the folder {path.parent} away and start again with an empty one; the "
        "replica then rejoins under a new identity"
    )


def _record(payload: bytes) -> bytes:
    words = _WORDS.pack(len(payload), zlib.crc32(payload))
    return words + struct.pack("<I", zlib.crc32(words)) + payload


def replace_file(path: Path, data: bytes) -> None:
    """Replace ``path`` by ``data`` so that a crash leaves the old or the new."""
    temporary = path.with_suffix(".new")
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)


def sync_folder(folder: Path) -> None:
    """Sync the names in ``folder``."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def read_identity(folder: Path, *, name: str, found: bool) -> str:
    """Return the replica identity kept in ``folder``, creating it in an empty one.

    ``found`` creates the well-known identity of a founding replica; otherwise the
    identity is new, so that a replica whose disk was lost can't vote again under an
    identity that has already voted.
    """
    path = folder / "identity"
    if path.exists():
        return path.read_text().strip()
    if any(folder.glob("*")) and not (folder / "lock").exists():
        raise SettingsError(
            f"{folder} holds files but no identity: name an empty folder"
        )
    suffix = "founder" if found else uuid4().hex[:8]
    identity = f"{name}.{suffix}"
    replace_file(path, identity.encode())
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


def _lock(handle: int, folder: Path) -> None:
    try:
        fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        raise SettingsError(
            f"{folder} is used by another process: stop it or name another folder"
        ) from error
