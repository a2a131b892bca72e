"""The files of a control replica after crashes, corruption and write errors."""

from __future__ import annotations

import os

import pytest

from chicoryhold.consensus.messages import Entry, Members, Snapshot, Vote
from chicoryhold.control.storage import open_storage, read_identity
from chicoryhold.errors import CorruptLog, SettingsError

FOUNDERS = Members(voters=("c1.founder",))


def entries(first: int, last: int, term: int = 1) -> list[Entry]:
    return [
        Entry(index=index, term=term, command=f"change {index}".encode())
        for index in range(first, last + 1)
    ]


def store_one_by_one(storage, stored: list[Entry]) -> None:
    """Sync each entry separately, as for changes acknowledged one after another."""
    for entry in stored:
        storage.append([entry])


def load(folder):
    with open_storage(folder) as storage:
        log = storage.load_log(FOUNDERS)
        return log.slice(log.first_index, limit=10_000)


def test_torn_last_record_is_cut_at_every_length(tmp_path):
    with open_storage(tmp_path) as storage:
        storage.append(entries(1, 2))
    whole = (tmp_path / "log").read_bytes()
    with open_storage(tmp_path) as storage:
        storage.append(entries(3, 3))
    content = (tmp_path / "log").read_bytes()
    for length in range(len(whole), len(content)):
        (tmp_path / "log").write_bytes(content[:length])
        assert load(tmp_path) == tuple(entries(1, 2))
        assert (tmp_path / "log").read_bytes() == whole


def test_appending_after_a_torn_record_loses_nothing(tmp_path):
    with open_storage(tmp_path) as storage:
        store_one_by_one(storage, entries(1, 3))
    content = (tmp_path / "log").read_bytes()
    (tmp_path / "log").write_bytes(content[:-5])
    with open_storage(tmp_path) as storage:
        storage.load_log(FOUNDERS)
        storage.append(entries(3, 4, term=2))
    assert load(tmp_path) == (*entries(1, 2), *entries(3, 4, term=2))


def test_damage_before_synced_records_refuses_to_start_and_says_how_to_rejoin(tmp_path):
    with open_storage(tmp_path) as storage:
        store_one_by_one(storage, entries(1, 5))
    content = bytearray((tmp_path / "log").read_bytes())
    for position in range(0, len(content) // 2, 7):
        damaged = bytearray(content)
        damaged[position] ^= 0xFF
        (tmp_path / "log").write_bytes(damaged)
        with pytest.raises(CorruptLog, match="rejoins under a new identity"):
            load(tmp_path)


def test_conflicting_entry_replaces_everything_after_it(tmp_path):
    with open_storage(tmp_path) as storage:
        storage.append(entries(1, 5))
        storage.append(entries(3, 3, term=2))
    assert load(tmp_path) == (*entries(1, 2), *entries(3, 3, term=2))


def test_snapshot_shortens_the_log_and_later_entries_survive(tmp_path):
    snapshot = Snapshot(index=3, term=1, members=FOUNDERS, data=b"state")
    with open_storage(tmp_path) as storage:
        storage.append(entries(1, 4))
        storage.save_snapshot(snapshot, entries(4, 4))
        storage.append(entries(5, 5))
    with open_storage(tmp_path) as storage:
        log = storage.load_log(FOUNDERS)
        assert log.snapshot == snapshot
        assert log.slice(4, limit=9) == tuple(entries(4, 5))


def test_crash_between_snapshot_and_log_keeps_both_consistent(tmp_path):
    snapshot = Snapshot(index=3, term=1, members=FOUNDERS, data=b"state")
    with open_storage(tmp_path) as storage:
        storage.append(entries(1, 4))
        old_log = (tmp_path / "log").read_bytes()
        storage.save_snapshot(snapshot, entries(4, 4))
    (tmp_path / "log").write_bytes(old_log)
    assert load(tmp_path) == tuple(entries(4, 4))


def test_log_that_the_snapshot_covers_whole_is_skipped(tmp_path):
    snapshot = Snapshot(index=4, term=1, members=FOUNDERS, data=b"state")
    with open_storage(tmp_path) as storage:
        storage.append(entries(1, 4))
        old_log = (tmp_path / "log").read_bytes()
        storage.save_snapshot(snapshot, ())
    (tmp_path / "log").write_bytes(old_log)
    assert load(tmp_path) == ()


def test_vote_is_read_back(tmp_path):
    with open_storage(tmp_path) as storage:
        storage.save_vote(Vote(term=7, candidate="c2.founder"))
    with open_storage(tmp_path) as storage:
        assert storage.load_vote() == Vote(term=7, candidate="c2.founder")


def test_lost_folder_gets_an_identity_that_never_voted(tmp_path):
    first, second = (tmp_path / name for name in ("a", "b"))
    for folder in (first, second):
        with open_storage(folder):
            pass
    founder = read_identity(first, name="c1", found=True)
    assert read_identity(first, name="c1", found=False) == founder
    assert read_identity(second, name="c1", found=False) != founder


def test_folder_can_be_open_in_one_process_only(tmp_path):
    with open_storage(tmp_path):
        with pytest.raises(SettingsError, match="used by another process"):
            with open_storage(tmp_path):
                pass


def test_entries_synced_together_are_all_cut_when_the_first_of_them_is_torn(tmp_path):
    # Guards against a refused start after a power loss: of two unsynced records, the
    # first was torn and the second valid, which the replica took for corruption.
    with open_storage(tmp_path) as storage:
        storage.append([Entry(index=1, term=1, command=b"kept")])
        size = (tmp_path / "log").stat().st_size
        storage.append([Entry(index=n, term=1, command=b"x" * 64) for n in (2, 3)])
    content = bytearray((tmp_path / "log").read_bytes())
    content[size : size + 20] = bytes(20)
    (tmp_path / "log").write_bytes(bytes(content))
    with open_storage(tmp_path) as storage:
        assert storage.load_log(Members(voters=())).last_index == 1


def test_write_that_fails_on_a_full_disk_leaves_no_partial_record(
    tmp_path, monkeypatch
):
    with open_storage(tmp_path) as storage:
        storage.append([Entry(index=1, term=1, command=b"kept")])
        real_write = os.write
        monkeypatch.setattr(os, "write", lambda f, data: real_write(f, bytes(data[:5])))

        def raise_disk_full(file: int) -> None:
            raise OSError(28, "No space left on device")

        monkeypatch.setattr(os, "fdatasync", raise_disk_full)
        with pytest.raises(OSError, match="No space"):
            storage.append([Entry(index=2, term=1, command=b"lost")])
        monkeypatch.undo()
        storage.append([Entry(index=2, term=1, command=b"second attempt")])
    with open_storage(tmp_path) as storage:
        log = storage.load_log(Members(voters=()))
    assert log.entry(2).command == b"second attempt"
