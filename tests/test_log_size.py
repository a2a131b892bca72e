"""How much a control host keeps of its log."""

from __future__ import annotations

from concurrent.futures import Future
from pathlib import Path
from random import Random

import pytest

from chicoryhold.codec import encode
from chicoryhold.consensus.messages import Members
from chicoryhold.consensus.replica import Replica
from chicoryhold.control.replica_actor import ReplicaActor
from chicoryhold.control.replica_requests import Propose
from chicoryhold.control.storage import Storage, open_storage
from chicoryhold.hosts.actors import Tick
from chicoryhold.state.changes import Change, PutConfiguration
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock
from tests.follower_trial import configuration
from tests.single_replica import NoBus

IDENTITY = "a.founder"
MEMBERS = Members(voters=(IDENTITY,))
CHANGES = 60
MOST_BYTES = 6_000_000


def a_leader(storage: Storage, state: ControlState) -> ReplicaActor:
    clock = FakeClock()
    log = storage.load_log(MEMBERS)
    state.load(log.snapshot.data)
    replica = Replica(
        identity=IDENTITY,
        log=log,
        vote=storage.load_vote(),
        clock=clock,
        random=Random(1),
    )
    actor = ReplicaActor(
        replica=replica,
        storage=storage,
        state=state,
        bus=NoBus(),
        clock=clock,
        snapshot_every=500,
        peers=lambda: (),
    )
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
