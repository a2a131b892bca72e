"""Malformed messages from other control replicas."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import Future
from random import Random

import attrs
import pytest

from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import Members, Snapshot, Vote
from chicoryhold.consensus.replica import Replica
from chicoryhold.control.messages import ReplicaMessage
from chicoryhold.control.plane import ControlPlane
from chicoryhold.control.replica_actor import ReplicaActor
from chicoryhold.control.replica_requests import Propose
from chicoryhold.errors import NotEncodable
from chicoryhold.hosts.actors import PeerRequest, Tick
from chicoryhold.membership.messages import ForwardedChange, ForwardedOutcome
from chicoryhold.membership.target_reports import TargetReports
from chicoryhold.state.changes import Change, EvacuateDomain
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock
from tests.test_control_state import change

IDENTITY = "a.founder"


class NoStorage:
    """Storage whose every write succeeds without doing anything."""

    def save_vote(self, vote: object) -> None:
        return

    def append(self, entries: object) -> None:
        return


class NoBus:
    """A bus without peers."""

    name = "a"


@attrs.frozen(kw_only=True)
class SingleReplica:
    """A leader without followers; its actor runs in the thread of the test."""

    actor: ReplicaActor
    plane: ControlPlane
    state: ControlState

    def run(self) -> None:
        while not self.actor.actor_inbox.empty():
            self.actor.on_receive(self.actor.actor_inbox.get_nowait().message)


@pytest.fixture
def single() -> Iterator[SingleReplica]:
    clock = FakeClock()
    members = Members(voters=(IDENTITY,))
    log = Log(snapshot=Snapshot(index=0, term=0, members=members, data=b""))
    replica = Replica(
        identity=IDENTITY, log=log, vote=Vote(), clock=clock, random=Random(1)
    )
    state = ControlState()
    actor = ReplicaActor(
        replica=replica,
        storage=NoStorage(),
        state=state,
        bus=NoBus(),
        clock=clock,
        snapshot_every=1_000,
        peers=lambda: (),
    )
    plane = ControlPlane(
        replica=replica,
        actor=actor.actor_ref,
        state=state,
        bus=NoBus(),
        clock=clock,
        reports=TargetReports(targets=lambda: state.targets, clock=clock),
    )
    clock.advance(5.0)
    actor.on_receive(Tick())
    assert plane.leads
    yield SingleReplica(actor=actor, plane=plane, state=state)


def test_a_malformed_consensus_message_does_not_stop_the_replica(single):
    message = ReplicaMessage(to=IDENTITY, body=b"undecodable")
    request = PeerRequest(sender="a", message=message, reply=Future())
    single.actor.on_receive(request)
    assert single.plane.leads


def test_a_malformed_forwarded_change_is_refused_before_it_is_in_the_log(single):
    # Guards against a change that stops every replica at each start, when it is
    # applied again.
    malformed = Change(request_id="", operator="", body=b"undecodable")
    answer = single.plane.on_forwarded("b", ForwardedChange(change=malformed))
    single.run()
    assert answer.result(0) == ForwardedOutcome(outcome=None)
    valid = change("", EvacuateDomain(domain="d"))
    answer = single.plane.on_forwarded("b", ForwardedChange(change=valid))
    single.run()
    assert answer.result(0).outcome.accepted
    assert single.state.revision == 1


def test_a_change_that_cannot_be_stored_does_not_end_one_replica_after_the_other(
    single,
):
    too_large = Change(request_id="a", operator="ana", body=b"", based_on=2**64)
    reply: Future = Future()
    single.actor.on_receive(Propose(change=too_large, reply=reply))
    assert isinstance(reply.exception(0), NotEncodable)
    reply = Future()
    valid = change("b", EvacuateDomain(domain="d"))
    single.actor.on_receive(Propose(change=valid, reply=reply))
    assert reply.result(0).accepted
