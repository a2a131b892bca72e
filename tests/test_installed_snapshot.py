"""A follower that gets a leader's snapshot, and what its disk holds then."""

from __future__ import annotations

from concurrent.futures import Future
from pathlib import Path
from random import Random

import pytest

from chicoryhold.codec import encode
from chicoryhold.consensus.messages import (
    AppendRequest,
    Entry,
    Members,
    Snapshot,
    SnapshotRequest,
    Vote,
)
from chicoryhold.consensus.replica import Replica
from chicoryhold.control.messages import ReplicaMessage
from chicoryhold.control.replica_actor import ReplicaActor
from chicoryhold.control.storage import Storage, open_storage
from chicoryhold.errors import CorruptLog
from chicoryhold.hosts.actors import PeerRequest
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock

LEADER, FOLLOWER = "a.founder", "b.founder"
MEMBERS = Members(voters=(LEADER, FOLLOWER, "c.founder"))


class SilentBus:
    """A bus that loses what is sent."""

    name = "b"

    def tell(self, peer: str, message: object) -> None:
        return


def entries(first: int, last: int) -> tuple[Entry, ...]:
    return tuple(Entry(index=index, term=1) for index in range(first, last + 1))


def append(first: int, last: int) -> AppendRequest:
    return AppendRequest(
        term=1,
        leader=LEADER,
        previous_index=first - 1,
        previous_term=1 if first > 1 else 0,
        entries=entries(first, last),
        commit=0,
        round=1,
    )


def snapshot(index: int) -> SnapshotRequest:
    data = ControlState().image()
    taken = Snapshot(index=index, term=1, members=MEMBERS, data=data)
    return SnapshotRequest(term=1, leader=LEADER, snapshot=taken, round=2)


def receive_all(storage: Storage, messages: tuple[object, ...]) -> Replica:
    """Run a follower with an empty disk on ``messages`` of its leader."""
    clock = FakeClock()
    replica = Replica(
        identity=FOLLOWER,
        log=storage.load_log(MEMBERS),
        vote=Vote(),
        clock=clock,
        random=Random(1),
    )
    actor = ReplicaActor(
        replica=replica,
        storage=storage,
        state=ControlState(),
        bus=SilentBus(),
        clock=clock,
        snapshot_every=1_000,
        peers=lambda: (),
    )
    for each in messages:
        message = ReplicaMessage(to=FOLLOWER, body=encode(each))
        actor.on_receive(PeerRequest(sender="a", message=message, reply=Future()))
    return replica


@pytest.mark.parametrize(
    ("messages", "kept"),
    [
        ((append(1, 5), snapshot(3)), entries(4, 5)),
        ((append(1, 5), snapshot(3), append(6, 7)), entries(4, 7)),
        ((append(1, 2), snapshot(3), append(4, 5)), entries(4, 5)),
    ],
)
def test_entries_that_outlive_a_leaders_snapshot_are_still_there_after_a_restart(
    tmp_path: Path, messages, kept
):
    with open_storage(tmp_path) as storage:
        held = receive_all(storage, messages).log
    with open_storage(tmp_path) as storage:
        stored = storage.load_log(MEMBERS)
    assert held.slice(held.first_index, limit=100) == kept
    assert stored.slice(stored.first_index, limit=100) == kept


def test_a_log_that_lacks_an_entry_between_others_is_not_read_as_whole(tmp_path):
    with open_storage(tmp_path) as storage:
        storage.append(entries(1, 2))
        storage.append(entries(4, 4))
        with pytest.raises(CorruptLog, match="rejoins under a new identity"):
            storage.load_log(MEMBERS)


def test_entries_that_a_snapshot_replaced_do_not_return_after_a_crash_while_it_is_saved(
    tmp_path,
):
    with open_storage(tmp_path) as storage:
        storage.append(entries(1, 5))
        old_log = (tmp_path / "log").read_bytes()
        taken = Snapshot(index=4, term=2, members=MEMBERS, data=b"")
        storage.save_snapshot(taken, ())
    (tmp_path / "log").write_bytes(old_log)
    later = Entry(index=5, term=2)
    with open_storage(tmp_path) as storage:
        assert storage.load_log(MEMBERS).last_index == 4
        storage.append((later,))
    with open_storage(tmp_path) as storage:
        assert storage.load_log(MEMBERS).slice(5, limit=100) == (later,)


def test_entries_that_were_replaced_before_a_snapshot_do_not_return_after_that_crash(
    tmp_path,
):
    with open_storage(tmp_path) as storage:
        storage.append(entries(1, 5))
        storage.append((Entry(index=3, term=2),))
        old_log = (tmp_path / "log").read_bytes()
        taken = Snapshot(index=3, term=2, members=MEMBERS, data=b"")
        storage.save_snapshot(taken, ())
    (tmp_path / "log").write_bytes(old_log)
    with open_storage(tmp_path) as storage:
        assert storage.load_log(MEMBERS).last_index == 3


def interrupted_by_an_older_build(folder: Path, before: tuple[Entry, ...], index: int):
    """Leave a stored snapshot beside the log before it, as an ended process does."""
    with open_storage(folder) as storage:
        storage.append(before)
        old_log = (folder / "log").read_bytes()
        taken = Snapshot(index=index, term=2, members=MEMBERS, data=b"")
        storage.save_snapshot(taken, ())
    (folder / "log").write_bytes(old_log)


@pytest.mark.parametrize("last_before", [2, 4, 5])
def test_entries_that_an_older_build_stored_after_that_crash_are_read(
    tmp_path, last_before
):
    interrupted_by_an_older_build(tmp_path, entries(1, last_before), index=4)
    stored_later = (Entry(index=5, term=3), Entry(index=6, term=3))
    with open_storage(tmp_path) as storage:
        storage.append(stored_later)
    with open_storage(tmp_path) as storage:
        assert storage.load_log(MEMBERS).slice(5, limit=100) == stored_later
