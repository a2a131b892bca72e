"""How much a control host keeps of its log."""

from __future__ import annotations

from concurrent.futures import Future
from pathlib import Path
from random import Random

import pytest

from chicoryhold.codec import encode
from chicoryhold.consensus.messages import AppendRequest, Entry, Members
from chicoryhold.consensus.replica import Replica
from chicoryhold.control.messages import ReplicaMessage
from chicoryhold.control.replica_actor import ReplicaActor
from chicoryhold.control.replica_requests import Propose
from chicoryhold.control.storage import Storage, open_storage
from chicoryhold.hosts.actors import PeerRequest, Tick
from chicoryhold.state.changes import Change, PutConfiguration
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock
from tests.follower_trial import configuration
from tests.single_replica import NoBus

IDENTITY = "a.founder"
MEMBERS = Members(voters=(IDENTITY,))
CHANGES = 60
MOST_BYTES = 6_000_000


def a_replica(
    storage: Storage, state: ControlState, *, clock: FakeClock, members: Members
) -> ReplicaActor:
    log = storage.load_log(members)
    state.load(log.snapshot.data)
    replica = Replica(
        identity=IDENTITY,
        log=log,
        vote=storage.load_vote(),
        clock=clock,
        random=Random(1),
    )
    return ReplicaActor(
        replica=replica,
        storage=storage,
        state=state,
        bus=NoBus(),
        clock=clock,
        snapshot_every=500,
        peers=lambda: (),
    )


def a_leader(storage: Storage, state: ControlState) -> ReplicaActor:
    clock = FakeClock()
    actor = a_replica(storage, state, clock=clock, members=MEMBERS)
    clock.advance(5.0)
    actor.on_receive(Tick())
    return actor


def put(actor: ReplicaActor, version: int, *, routes: int) -> None:
    body = PutConfiguration(
        configuration=configuration(version, routes=routes), text=b""
    )
    change = Change(request_id="", operator="", body=encode(body))
    reply: Future = Future()
    actor.on_receive(Propose(change=change, reply=reply))
    assert reply.result(0).accepted


@pytest.mark.parametrize("routes", [700, 2_500])
def test_the_log_stays_short_however_long_its_entries_are(tmp_path: Path, routes):
    """Guards against CONFIG: control hosts ran out of memory as they read their log."""
    state = ControlState()
    largest = 0
    with open_storage(tmp_path) as storage:
        actor = a_leader(storage, state)
        for version in range(1, CHANGES + 1):
            put(actor, version, routes=routes)
            largest = max(largest, (tmp_path / "log").stat().st_size)
    assert largest <= MOST_BYTES
    restarted = ControlState()
    with open_storage(tmp_path) as storage:
        a_leader(storage, restarted)
    assert restarted.configuration.version == CHANGES
    assert restarted.digest == state.digest


def test_the_log_of_a_large_state_is_bounded_by_the_states_size(tmp_path: Path):
    """Guards against CONFIG: it grew to four times the size of a large state."""
    state = ControlState()
    largest = 0
    with open_storage(tmp_path) as storage:
        actor = a_leader(storage, state)
        for version in range(1, 9):
            put(actor, version, routes=20_000)
            if (tmp_path / "snapshot").exists():
                largest = max(largest, (tmp_path / "log").stat().st_size)
    assert largest <= 3 * (tmp_path / "snapshot").stat().st_size


def receive(actor: ReplicaActor, message: AppendRequest) -> None:
    body = ReplicaMessage(to=IDENTITY, body=encode(message))
    sender = message.leader.partition(".")[0]
    actor.on_receive(PeerRequest(sender=sender, message=body, reply=Future()))


def long_entry(index: int, term: int) -> Entry:
    body = PutConfiguration(
        configuration=configuration(index, routes=2_500), text=bytes(500_000)
    )
    change = Change(request_id="", operator="", body=encode(body))
    return Entry(index=index, term=term, command=encode(change))


def test_the_log_file_stays_short_while_leaders_replace_entries(tmp_path: Path):
    """Guards against CONFIG: replaced entries stayed in the file that a start reads."""
    leaders = ("b.founder", "c.founder")
    state = ControlState()
    largest = 0
    with open_storage(tmp_path) as storage:
        actor = a_replica(
            storage,
            state,
            clock=FakeClock(),
            members=Members(voters=(IDENTITY, *leaders)),
        )
        for term in range(1, 31):
            entries = (Entry(index=term, term=term), long_entry(term + 1, term))
            request = AppendRequest(
                term=term, leader=leaders[term % 2], previous_index=term - 1,
                previous_term=term - 1, entries=entries, commit=term, round=term,
            )  # fmt: skip
            receive(actor, request)
            largest = max(largest, (tmp_path / "log").stat().st_size)
    assert largest <= MOST_BYTES
    with open_storage(tmp_path) as storage:
        assert storage.load_log(MEMBERS).last_index == 31
