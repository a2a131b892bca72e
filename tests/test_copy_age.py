"""How old the copies of a domain's hosts look while nothing is wrong."""

from __future__ import annotations

import queue
from concurrent.futures import Future
from random import Random

import pytest

from chicoryhold.callers.authentication import MAX_LAG_BEHIND_DOMAIN_SECONDS
from chicoryhold.control.follower import Follower
from chicoryhold.control.follower_actor import FollowerActor, choose_sources
from chicoryhold.control.messages import ChangeBatch, FetchChanges
from chicoryhold.control.pending_fetches import PendingFetches
from chicoryhold.hosts.actors import PeerRequest, Tick
from tests.conftest import FakeClock
from tests.test_follower import make_feed

HOSTS = ("a-1", "a-2", "a-3", "a-4")
STEP_SECONDS = 0.05
TICK_SECONDS = 0.2
HEARTBEAT_SECONDS = 0.25
WARM_UP_SECONDS = 5.0


class Domain:
    """Hosts of one domain and the control replica; the first two hosts are relays."""

    def __init__(self, *, seed: int) -> None:
        random = Random(seed)
        self.clock = FakeClock()
        self.started_at = self.clock.now()
        self._fetches = PendingFetches(feed=make_feed(1), clock=self.clock)
        self.followers = {host: Follower(clock=self.clock) for host in HOSTS}
        self._actors = {host: self._start(host) for host in HOSTS}
        self._next_ticks = {
            host: self.started_at + random.uniform(0, TICK_SECONDS) for host in HOSTS
        }

    @property
    def elapsed(self) -> float:
        return self.clock.now() - self.started_at

    def ask(self, sender: str, peer: str, request: FetchChanges) -> Future:
        reply: Future = Future()
        if peer == "control":
            self._fetches.add(request, reply)
        elif peer in self._actors:
            self._actors[peer].on_receive(
                PeerRequest(sender=sender, message=request, reply=reply)
            )
        return reply

    def step(self) -> None:
        self.clock.advance(STEP_SECONDS)
        self._fetches.answer_ready(confirmed_age=self.elapsed % HEARTBEAT_SECONDS)
        for host, actor in self._actors.items():
            if self.clock.now() >= self._next_ticks[host]:
                self._next_ticks[host] += TICK_SECONDS
                actor.on_receive(Tick())
            deliver_replies(actor)

    def _start(self, host: str) -> FollowerActor:
        sources = choose_sources(host, domain_hosts=HOSTS, replicas=("control",))
        return FollowerActor(
            follower=self.followers[host],
            sources=lambda: sources,
            bus=HostBus(name=host, domain=self),
            clock=self.clock,
            domain="a",
        )


class HostBus:
    def __init__(self, *, name: str, domain: Domain) -> None:
        self.name = name
        self._domain = domain

    def ask(self, peer: str, request: FetchChanges) -> Future:
        return self._domain.ask(self.name, peer, request)


def deliver_replies(actor: FollowerActor) -> None:
    while True:
        try:
            envelope = actor.actor_inbox.get_nowait()
        except queue.Empty:
            return
        actor.on_receive(envelope.message)


@pytest.mark.parametrize("seed", range(12))
def test_no_host_refuses_callers_as_old_because_its_fetches_wait_for_changes(seed):
    domain = Domain(seed=seed)
    while domain.elapsed < WARM_UP_SECONDS:
        domain.step()
    while domain.elapsed < 60.0:
        domain.step()
        confirmed = [each.confirmed_at for each in domain.followers.values()]
        assert max(confirmed) - min(confirmed) < MAX_LAG_BEHIND_DOMAIN_SECONDS


@pytest.mark.parametrize(("waited", "age"), [(0.0, 2.25), (1.0, 1.25), (-5.0, 2.25)])
def test_time_on_the_way_counts_as_age_and_time_at_the_source_does_not(waited, age):
    clock = FakeClock()
    follower = follower_after(clock, seconds=2.0, waited=waited)
    assert follower.age == pytest.approx(age)


def test_a_copy_never_looks_newer_than_its_source_whatever_the_reply_says():
    clock = FakeClock()
    assert follower_after(clock, seconds=2.0, waited=1e9).age == pytest.approx(0.25)


def follower_after(clock: FakeClock, *, seconds: float, waited: float) -> Follower:
    """Return a follower whose fetch was answered ``seconds`` after it was sent."""
    follower = Follower(clock=clock)
    sent_at = clock.now()
    batch = make_feed(1).answer(
        FetchChanges(after=0, reports=()), confirmed_age=0.25, waited=waited
    )
    assert isinstance(batch, ChangeBatch)
    clock.advance(seconds)
    follower.on_batch(batch, sent_at=sent_at)
    return follower
