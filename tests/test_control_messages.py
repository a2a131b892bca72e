"""Malformed messages from other control replicas."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import Future

import pytest

from chicoryhold.control.messages import ReplicaMessage
from chicoryhold.control.replica_requests import Propose
from chicoryhold.errors import NotEncodable
from chicoryhold.hosts.actors import PeerRequest
from chicoryhold.membership.messages import ForwardedChange, ForwardedOutcome
from chicoryhold.state.changes import Change, EvacuateDomain
from tests.single_replica import IDENTITY, SingleReplica, single_replica
from tests.test_control_state import change


@pytest.fixture
def single() -> Iterator[SingleReplica]:
    yield single_replica()


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
