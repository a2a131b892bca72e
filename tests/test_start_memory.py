"""What a control host holds in memory while it starts from a long log."""

from __future__ import annotations

import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import attrs
import pytest

from chicoryhold.consensus.messages import Entry, Members, Snapshot
from chicoryhold.control.storage import open_storage

MEMBERS = Members(voters=("a.founder",))
ENTRY_BYTES = 500_000  # a configuration of 2,800 routes


@attrs.define
class Memory:
    """``peak`` and ``kept`` count bytes beyond those held before a block."""

    peak: int = 0
    kept: int = 0


@contextmanager
def counted_memory() -> Iterator[Memory]:
    memory = Memory()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        yield memory
        now, peak = tracemalloc.get_traced_memory()
        memory.peak, memory.kept = peak - before, now - before
    finally:
        tracemalloc.stop()


def entry(index: int, *, term: int = 1) -> Entry:
    return Entry(index=index, term=term, command=bytes(ENTRY_BYTES))


def store_one_by_one(folder: Path, stored: Iterator[Entry]) -> None:
    with open_storage(folder) as storage:
        for each in stored:
            storage.append([each])


def test_a_start_reads_the_log_record_by_record(tmp_path):
    """Guards against CONFIG: a start held all of a long log twice and was ended."""
    store_one_by_one(tmp_path, (entry(index) for index in range(1, 41)))
    with open_storage(tmp_path) as storage, counted_memory() as memory:
        log = storage.load_log(MEMBERS)
    assert log.last_index == 40
    assert memory.peak <= memory.kept + 4 * ENTRY_BYTES


def test_a_start_holds_nothing_of_what_the_log_file_has_besides_the_log(tmp_path):
    """Each new leader replaces entries that weren't committed; their records stay."""
    stored = (entry(index, term=term) for term in range(1, 21) for index in (1, 2))
    store_one_by_one(tmp_path, stored)
    with open_storage(tmp_path) as storage, counted_memory() as memory:
        log = storage.load_log(MEMBERS)
    assert log.last_index == 2
    assert memory.peak <= 8 * ENTRY_BYTES


def test_a_start_reads_a_snapshot_once(tmp_path):
    snapshot = Snapshot(index=1, term=1, members=MEMBERS, data=bytes(8_000_000))
    with open_storage(tmp_path) as storage:
        storage.save_snapshot(snapshot, ())
    with open_storage(tmp_path) as storage, counted_memory() as memory:
        log = storage.load_log(MEMBERS)
    assert log.snapshot == snapshot
    assert memory.peak <= 2.2 * len(snapshot.data)


@pytest.mark.parametrize("torn_bytes", [1, ENTRY_BYTES // 2])
def test_a_torn_record_behind_a_long_log_is_cut_without_reading_all_again(
    tmp_path, torn_bytes
):
    store_one_by_one(tmp_path, (entry(index) for index in range(1, 11)))
    path = tmp_path / "log"
    with open(path, "r+b") as file:
        file.truncate(path.stat().st_size - torn_bytes)
    with open_storage(tmp_path) as storage, counted_memory() as memory:
        log = storage.load_log(MEMBERS)
    assert log.last_index == 9
    assert memory.peak <= memory.kept + 6 * ENTRY_BYTES
