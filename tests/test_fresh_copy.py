"""When a control host may decide by its copy of the control state."""

from __future__ import annotations

from concurrent.futures import Future
from random import Random

from chicoryhold.codec import encode
from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import (
    AppendRequest,
    Entry,
    Members,
    Snapshot,
    Vote,
)
from chicoryhold.consensus.replica import Replica
from chicoryhold.control.messages import ReplicaMessage
from chicoryhold.control.plane import ControlPlane
from chicoryhold.hosts.actors import PeerRequest
from chicoryhold.state.changes import Change, EvacuateDomain, Outcome
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock
from tests.single_replica import actor_and_plane

LEADER, FOLLOWER = "b.founder", "a.founder"
MEMBERS = Members(voters=(LEADER, FOLLOWER, "c.founder"))


class WatchedState(ControlState):
    """Notes whether the copy counts as fresh while a change is being applied."""

    plane: ControlPlane

    def __init__(self) -> None:
        super().__init__()
        self.was_fresh: list[bool] = []

    def apply(self, change: Change) -> Outcome:
        self.was_fresh.append(self.plane.is_fresh)
        return super().apply(change)


def change(number: int) -> bytes:
    body = encode(EvacuateDomain(domain=f"north-{number}"))
    return encode(Change(request_id=f"r-{number}", operator="", body=body))


def test_a_copy_that_lacks_committed_changes_is_not_fresh_while_they_are_applied():
    """Guards against CONFIG: a control host that had just started decided too early."""
    clock = FakeClock()
    log = Log(snapshot=Snapshot(index=0, term=0, members=MEMBERS, data=b""))
    replica = Replica(
        identity=FOLLOWER, log=log, vote=Vote(), clock=clock, random=Random(1)
    )
    state = WatchedState()
    actor, state.plane = actor_and_plane(replica, state, clock)
    entries = tuple(
        Entry(index=number, term=1, command=change(number)) for number in (1, 2, 3)
    )
    request = AppendRequest(
        term=1, leader=LEADER, previous_index=0, previous_term=0, entries=entries,
        commit=3, round=1, confirmed_age=0.0, reply_sent_at=clock.now(),
    )  # fmt: skip
    message = ReplicaMessage(to=FOLLOWER, body=encode(request))
    actor.on_receive(PeerRequest(sender="b", message=message, reply=Future()))
    assert state.was_fresh == [False] * len(entries)
    assert state.plane.is_fresh
