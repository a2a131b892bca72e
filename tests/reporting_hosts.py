"""Entry hosts of a domain that fetch from control replicas and from each other."""

from __future__ import annotations

import heapq
import itertools
import queue
import random
from collections.abc import Callable
from concurrent.futures import Future

import attrs

from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.follower import Follower
from chicoryhold.control.follower_actor import FollowerActor, choose_sources
from chicoryhold.control.in_force import InForceReports
from chicoryhold.control.messages import FetchChanges, FetchImage, SourceUnavailable
from chicoryhold.control.pending_fetches import PendingFetches
from chicoryhold.hosts.actors import PeerRequest, Tick
from chicoryhold.programs.entry import FOLLOWER_TICK_SECONDS
from chicoryhold.state.changes import CreateOrganisation
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock
from tests.test_control_state import change

STEP_SECONDS = 0.01
CONTROLS = ("control-1", "control-2", "control-3")
HOSTS = ("h1", "h2", "h3")
CONFIRMED_AGE_SECONDS = 0.05

Request = FetchChanges | FetchImage


@attrs.frozen(kw_only=True)
class Load:
    """Mean seconds of a message's way, and of a pause that a host has each second."""

    way: float
    pause: float


@attrs.frozen(kw_only=True)
class _Envelope:
    """What an actor's inbox holds."""

    message: PeerRequest


@attrs.define(kw_only=True)
class _Host:
    follower: Follower
    actor: FollowerActor
    next_tick_at: float
    paused_until: float = 0.0

    def step(self, now: float) -> None:
        if now < self.paused_until:
            return
        if now >= self.next_tick_at:
            self.next_tick_at = now + FOLLOWER_TICK_SECONDS
            self.actor.on_receive(Tick())
        while True:
            try:
                envelope = self.actor.actor_inbox.get_nowait()
            except queue.Empty:
                return
            self.actor.on_receive(envelope.message)


@attrs.frozen(kw_only=True)
class _HostBus:
    name: str
    group: ReportingHosts

    def ask(self, peer: str, request: Request) -> Future:
        return self.group.ask(self.name, peer, request)

    def forget(self, future: Future) -> None:
        """Do nothing: replies to fetches that were given up are ignored."""


class ReportingHosts:
    """One control replica leads; the others name it, and have its state."""

    def __init__(self, *, seed: int, load: Load) -> None:
        self._random = random.Random(seed)
        self._load = load
        self._clock = FakeClock()
        self._state = ControlState()
        self._feed = ChangeFeed(state=self._state)
        self._messages: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ended = ""
        self._named_leader = ""
        self.lead(self._random.choice(CONTROLS))
        self._hosts = {name: self._create_host(name) for name in HOSTS}

    @property
    def leader(self) -> str:
        return self._leader

    def lead(self, name: str) -> None:
        """Let the control replica ``name`` lead, which has no reports yet."""
        self._leader = self._named_leader = name
        self._reports = InForceReports(clock=self._clock)
        self._fetches = PendingFetches(feed=self._feed, clock=self._clock)

    def kill_leader(self) -> None:
        """End the leader for good; the others name it until another one leads."""
        self._ended = self._leader
        self._leader = ""

    def accept_change(self) -> None:
        name = f"o{self._state.revision}"
        accepted = change(name, CreateOrganisation(name=name))
        assert self._state.apply(accepted).accepted
        self._feed.record(accepted)

    def run(self, seconds: float) -> None:
        end = self._clock.now() + seconds
        while self._clock.now() < end:
            self._step()

    def seconds_until_in_force(self) -> float:
        """Run until all hosts have the newest revision."""
        return self._run_until(
            lambda: all(
                host.follower.state.revision == self._state.revision
                for host in self._hosts.values()
            )
        )

    def seconds_until_reported(self) -> float:
        """Run until the leader was told that all hosts have the newest revision."""
        return self._run_until(self._is_reported)

    def ask(self, sender: str, peer: str, request: Request) -> Future:
        answered: Future = Future()
        reply: Future = Future()
        reply.add_done_callback(
            lambda done: self._send(lambda: answered.set_result(done.result()))
        )
        self._send(lambda: self._receive(sender, peer, request, reply))
        return answered

    def _create_host(self, name: str) -> _Host:
        follower = Follower(clock=self._clock)
        sources = choose_sources(name, domain_hosts=HOSTS, replicas=CONTROLS)
        actor = FollowerActor(
            follower=follower,
            sources=lambda: sources,
            bus=_HostBus(name=name, group=self),
            clock=self._clock,
            domain="d",
        )
        first_tick = self._clock.now() + self._random.random() * FOLLOWER_TICK_SECONDS
        return _Host(follower=follower, actor=actor, next_tick_at=first_tick)

    def _send(self, arrive: Callable[[], None]) -> None:
        arrives_at = self._clock.now() + self._some_seconds(self._load.way)
        heapq.heappush(self._messages, (arrives_at, next(self._order), arrive))

    def _some_seconds(self, mean: float) -> float:
        return self._random.expovariate(1 / mean)

    def _receive(self, sender: str, peer: str, request: Request, reply: Future) -> None:
        if peer in self._hosts:
            message = PeerRequest(sender=sender, message=request, reply=reply)
            self._hosts[peer].actor.actor_inbox.put(_Envelope(message=message))
        elif peer == self._ended:
            return
        elif peer != self._leader:
            reply.set_result(SourceUnavailable(leader=self._named_leader))
        elif isinstance(request, FetchImage):
            now = self._clock.now()
            reply.set_result(self._feed.piece(request, confirmed_at=now, now=now))
        else:
            self._reports.record(request.reports)
            self._fetches.add(request, reply)

    def _step(self) -> None:
        self._clock.advance(STEP_SECONDS)
        now = self._clock.now()
        while self._messages and self._messages[0][0] <= now:
            heapq.heappop(self._messages)[2]()
        if self._leader:
            self._fetches.answer_ready(confirmed_age=CONFIRMED_AGE_SECONDS)
        for host in self._hosts.values():
            if self._random.random() < STEP_SECONDS:
                host.paused_until = now + self._some_seconds(self._load.pause)
            host.step(now)

    def _run_until(self, condition: Callable[[], bool]) -> float:
        began_at = self._clock.now()
        while not condition():
            self._step()
        return self._clock.now() - began_at

    def _is_reported(self) -> bool:
        hosts = self._reports.hosts()
        is_heard_of_all = {host.host for host in hosts} == set(HOSTS)
        return is_heard_of_all and all(
            host.revision == self._state.revision for host in hosts
        )
