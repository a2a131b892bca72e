"""The actor that campaigns for a domain's lease and renews it."""

from __future__ import annotations

import queue
from concurrent.futures import Future
from random import Random

import attrs

from chicoryhold.hosts.actors import PeerRequest, Tick
from chicoryhold.hosts.domain_view import DomainView
from chicoryhold.hosts.messages import Admit, Admitted, LeaseRequest, NotCoordinator
from chicoryhold.steering.coordinator_actor import CoordinatorActor
from chicoryhold.steering.lease import LEASE_SECONDS, LeaseCandidate, LeaseVoter
from tests.conftest import FakeClock
from tests.coordinators import announcement, create_coordinator

REPLICAS = ("h1", "h2", "h3")
TICK_SECONDS = 0.05
LONG_UPTIME_SECONDS = 10.0  # longer than any loan


@attrs.define(kw_only=True)
class VotersBus:
    """A bus that passes lease requests to voters, which answer at once."""

    name: str
    voters: dict[str, LeaseVoter]

    def ask(self, peer: str, message: LeaseRequest) -> Future:
        future: Future = Future()
        future.set_result(self.voters[peer].on_request(message))
        return future

    def forget(self, future: Future) -> None:
        return


def create_actor(
    name: str, seed: int, clock: FakeClock, *, uptime: float
) -> CoordinatorActor:
    """Return the actor of ``name``, all voters having started ``uptime`` ago."""
    voters = {voter: LeaseVoter(clock=clock) for voter in REPLICAS}
    clock.advance(uptime)
    return CoordinatorActor(
        candidate=LeaseCandidate(name=name, voters=REPLICAS, clock=clock),
        view=DomainView(replicas=REPLICAS, clock=clock),
        bus=VotersBus(name=name, voters=voters),
        clock=clock,
        random=Random(seed),
        create=lambda epoch: create_coordinator(clock, epoch=epoch),
        domain_hosts={"a": REPLICAS},
    )


def tick(actor: CoordinatorActor) -> None:
    actor.on_receive(Tick())
    while True:
        try:
            actor.on_receive(actor.actor_inbox.get_nowait().message)
        except queue.Empty:
            return


def send(actor: CoordinatorActor, message: object) -> object:
    reply: Future = Future()
    actor.on_receive(PeerRequest(sender="h1", message=message, reply=reply))
    return reply.result(0)


def test_targets_are_known_when_a_coordinator_has_waited_for_earlier_loans():
    # Guards against no_target after the wait: its announcements were refused until
    # then, and a target announces itself only once a second.
    clock = FakeClock()
    actor = create_actor("h1", 1, clock, uptime=LEASE_SECONDS)
    while not actor._candidate.valid:
        clock.advance(TICK_SECONDS)
        tick(actor)
    request = Admit(organisation="", service="menus", patience=1.0)
    assert isinstance(send(actor, request), NotCoordinator)
    assert send(actor, announcement(service="menus")).accepted
    while isinstance(reply := send(actor, request), NotCoordinator):
        clock.advance(TICK_SECONDS)
        tick(actor)
    assert isinstance(reply, Admitted)


def test_a_new_coordinator_renews_its_lease_before_it_expires():
    # Guards against the last replica of a domain losing each lease that it wins: its
    # next round was due after the delay between two campaigns.
    for seed in range(20):
        clock = FakeClock()
        actor = create_actor("h3", seed, clock, uptime=LONG_UPTIME_SECONDS)
        while not actor._candidate.valid:
            clock.advance(TICK_SECONDS)
            tick(actor)
        for _ in range(100):
            clock.advance(TICK_SECONDS)
            tick(actor)
            assert actor._candidate.valid, f"seed {seed}"
        assert actor._candidate.epoch == 1
