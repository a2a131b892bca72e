"""Two hosts of a domain that could fetch from each other, and from the leader."""

from __future__ import annotations

from concurrent.futures import Future

import pytest

from chicoryhold.control.follower import Follower
from chicoryhold.control.follower_actor import (
    FETCH_TIMEOUT_SECONDS,
    STALE_SOURCE_AGE_SECONDS,
    FollowerActor,
)
from chicoryhold.control.messages import FetchChanges
from chicoryhold.hosts.actors import PeerRequest, Tick
from tests.conftest import FakeClock
from tests.reporting_hosts import Load, ReportingHosts
from tests.test_follower import ElectionBus, make_feed, run_until_idle

CHANGES = 15


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def bus() -> ElectionBus:
    """Only the first control replica replies, once."""
    feed = make_feed(2)
    bus = ElectionBus(live=("control-1",), reply_to=lambda request: None)

    def reply(request: FetchChanges) -> object:
        bus.live = ()
        return feed.answer(request, confirmed_age=0.1)

    bus.reply_to = reply
    return bus


@pytest.fixture
def actor(clock, bus) -> FollowerActor:
    actor = FollowerActor(
        follower=Follower(clock=clock),
        sources=lambda: ("control-1", "neighbour", "control-2"),
        bus=bus,
        clock=clock,
        domain="d",
    )
    run_until_idle(actor)
    return actor


def ask_from(actor: FollowerActor, sender: str) -> None:
    request = FetchChanges(after=2, digest=b"")
    actor.on_receive(PeerRequest(sender=sender, message=request, reply=Future()))


def next_source(actor: FollowerActor, bus: ElectionBus, clock: FakeClock) -> str:
    """Return who is asked after the fetch that is open has become late."""
    clock.advance(FETCH_TIMEOUT_SECONDS)
    actor.on_receive(Tick())
    return bus.asked[-1]


def test_a_host_asks_none_that_fetches_from_it_while_another_source_is_left(
    actor, bus, clock
):
    clock.advance(0.1)
    ask_from(actor, "neighbour")
    assert next_source(actor, bus, clock) == "control-2"


def test_a_host_asks_its_neighbour_if_that_fetches_from_another_source(
    actor, bus, clock
):
    clock.advance(0.1)
    assert next_source(actor, bus, clock) == "neighbour"


def seconds_until_in_force(seed: int, load: Load) -> float:
    """Return the longest time of some changes after the first replica has ended."""
    hosts = ReportingHosts(seed=seed, load=load)
    hosts.lead("control-1")
    hosts.accept_change()
    hosts.run(8.0)
    hosts.kill_leader()
    hosts.run(1.0)
    hosts.lead("control-2")
    hosts.run(6.0)
    longest = 0.0
    for _ in range(CHANGES):
        hosts.accept_change()
        longest = max(longest, hosts.seconds_until_in_force())
        hosts.seconds_until_reported()
        hosts.run(0.5)
    return longest


@pytest.mark.parametrize(
    "load",
    [Load(way=0.02, pause=0.1), Load(way=0.05, pause=0.3)],
    ids=("idle", "busy"),
)
def test_hosts_do_not_keep_each_other_from_the_leader_while_a_replica_is_down(load):
    longest = max((seconds_until_in_force(seed, load), seed) for seed in range(30))
    assert longest[0] < STALE_SOURCE_AGE_SECONDS, longest
