"""A control host's answers to requests for permits."""

from __future__ import annotations

from concurrent.futures import Future

import pytest

from chicoryhold.hosts.actors import PeerRequest
from chicoryhold.limits.messages import (
    UNLIMITED,
    PermitGrant,
    PermitRequest,
    PermitsUnavailable,
    PermitWant,
)
from chicoryhold.limits.permit_actor import PermitActor
from chicoryhold.limits.permits import PermitAllocator
from chicoryhold.limits.target_permits import TargetPermitAllocator
from chicoryhold.routing.configuration import Configuration, OrganisationRule
from tests.conftest import FakeClock
from tests.fleet_permits import FleetPermits, known_limits


def test_restarted_control_host_gives_no_unlimited_permits_before_it_knows_the_limits():
    clock = FakeClock()
    known = []
    actor = PermitActor(
        allocator=PermitAllocator(
            domains=1, allowance_of=lambda name: None, clock=clock
        ),
        target_allocator=TargetPermitAllocator(domain="a", domains=("a",), clock=clock),
        bus=None,
        clock=clock,
        peers=lambda: (),
        knows_limits=lambda: bool(known),
        limits=known_limits(
            Configuration(version=1, organisations=(OrganisationRule(name="o"),))
        ),
    )

    def ask() -> object:
        want = PermitWant(name="o", wanted=5, needed=1)
        reply: Future = Future()
        request = PermitRequest(wants=(want,))
        actor.on_receive(PeerRequest(sender="h", message=request, reply=reply))
        return reply.result(timeout=0)

    assert ask() == PermitsUnavailable()
    known.append(True)
    assert ask() == PermitGrant(counts=(UNLIMITED,))


@pytest.mark.parametrize("rate", [float("nan"), float("inf"), 1e308, -1.0])
def test_a_rate_that_makes_no_sense_does_not_end_one_control_host_after_the_other(rate):
    clock = FakeClock()
    fleet = FleetPermits(clock=clock, domains=("a", "b"))
    clock.advance(60.0)
    client = fleet.client(0)
    client.take("i-0", rate=rate, timeout=1.0)
    assert client.take("i-1", rate=4.0, timeout=1.0)


def test_a_message_whose_handling_fails_is_dropped_and_the_next_is_answered():
    clock = FakeClock()
    fleet = FleetPermits(clock=clock, domains=("a",))
    clock.advance(60.0)
    broken = PermitRequest(wants=(PermitWant(name="o", wanted="5", needed=None),))
    reply: Future = Future()
    fleet.actors["a"]._allocator = None
    fleet.actors["a"].on_receive(PeerRequest(sender="h", message=broken, reply=reply))
    assert not reply.done()
    assert fleet.client(0).take("i-0", rate=4.0, timeout=1.0)
