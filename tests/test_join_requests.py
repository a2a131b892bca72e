"""How a new replica's request to join reaches the leader."""

from __future__ import annotations

from concurrent.futures import Future
from random import Random

import attrs
import pytest

from chicoryhold.codec import encode
from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import AppendRequest, Members, Snapshot, Vote
from chicoryhold.consensus.replica import Replica
from chicoryhold.control.messages import JoinRequest, ReplicaMessage
from chicoryhold.control.replica_actor import ReplicaActor
from chicoryhold.hosts.actors import PeerRequest, Tick
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock
from tests.single_replica import NoStorage, single_replica

MEMBERS = Members(voters=("a.founder", "b.founder", "c.founder"))
REQUEST = JoinRequest(identity="n.1")


@attrs.define
class RecordingBus:
    name: str = "a"
    told: list[tuple[str, object]] = attrs.Factory(list)

    def tell(self, peer: str, message: object) -> None:
        self.told.append((peer, message))

    @property
    def join_requests(self) -> list[tuple[str, object]]:
        return [each for each in self.told if isinstance(each[1], JoinRequest)]


@pytest.fixture
def bus() -> RecordingBus:
    return RecordingBus()


@pytest.fixture
def follower(bus) -> ReplicaActor:
    """Return the actor of a replica that follows nobody yet."""
    clock = FakeClock()
    log = Log(snapshot=Snapshot(index=0, term=0, members=MEMBERS, data=b""))
    replica = Replica(
        identity="a.founder", log=log, vote=Vote(), clock=clock, random=Random(1)
    )
    return ReplicaActor(
        replica=replica,
        storage=NoStorage(),
        state=ControlState(),
        bus=bus,
        clock=clock,
        snapshot_every=1_000,
        peers=lambda: (),
    )


def receive(actor: ReplicaActor, sender: str, message: object) -> None:
    actor.on_receive(PeerRequest(sender=sender, message=message, reply=Future()))


def follow(actor: ReplicaActor, leader: str) -> None:
    heartbeat = AppendRequest(
        term=1, leader=leader, previous_index=0, previous_term=0, entries=(),
        commit=0, round=1,
    )  # fmt: skip
    message = ReplicaMessage(to="a.founder", body=encode(heartbeat))
    receive(actor, leader.partition(".")[0], message)


def test_a_request_to_join_reaches_a_leader_that_the_new_replica_does_not_know(
    follower, bus
):
    """Guards against CONFIG: hosts whose settings name no leader never joined."""
    follow(follower, "b.founder")
    receive(follower, "n", REQUEST)
    assert bus.join_requests == [("b", REQUEST)]


def test_a_request_to_join_that_was_passed_on_goes_no_further(follower, bus):
    follow(follower, "b.founder")
    receive(follower, "c", REQUEST)
    assert bus.join_requests == []


def test_a_request_to_join_is_not_passed_on_while_nobody_leads(follower, bus):
    receive(follower, "n", REQUEST)
    assert bus.join_requests == []


@pytest.mark.parametrize(("sender", "joins"), [("n", True), ("a", True), ("x", False)])
def test_a_leader_takes_requests_to_join_from_the_replica_or_a_member(sender, joins):
    leader = single_replica()
    receive(leader.actor, sender, REQUEST)
    leader.actor._bus.tell = lambda peer, message: None
    leader.actor.on_receive(Tick())
    members = leader.actor._replica.members
    assert (REQUEST.identity in members.learners) == joins
