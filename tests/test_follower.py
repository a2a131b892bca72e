"""Updates of an entry host's copy, without threads or sockets."""

from __future__ import annotations

import contextlib
import queue
from collections.abc import Callable
from concurrent.futures import Future

import attrs
import pytest

from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.follower import Follower
from chicoryhold.control.follower_actor import FetchTiming, FollowerActor
from chicoryhold.control.messages import (
    FetchChanges,
    FetchImage,
    SourceUnavailable,
)
from chicoryhold.hosts.actors import Tick
from chicoryhold.programs.gateway import FETCH_TIMING, FOLLOWER_TICK_SECONDS
from chicoryhold.state.changes import CreateOrganisation
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock
from tests.test_control_state import change

# The users' bound from the acknowledgement of a configuration to its use everywhere.
CONFIG_APPLY_SECONDS = 2.5
MANY_CHANGES = 700  # takes several batches


@attrs.define(kw_only=True)
class SingleSourceBus:
    """A bus on which only the process ``answering`` answers.

    ``asked`` lists the processes that requests were sent to.
    """

    answering: str
    feed: ChangeFeed
    confirmed_age: float
    name: str = "own"
    asked: list[str] = attrs.field(factory=list)

    def reply_to(self, request: FetchChanges | FetchImage) -> object:
        if isinstance(request, FetchImage):
            return self.feed.piece(request)
        return self.feed.answer(request, confirmed_age=self.confirmed_age)

    def ask(self, peer: str, request: FetchChanges | FetchImage) -> Future:
        self.asked.append(peer)
        future: Future = Future()
        if peer == self.answering:
            future.set_result(self.reply_to(request))
        return future


def make_feed(changes: int) -> ChangeFeed:
    state = ControlState()
    feed = ChangeFeed(state=state)
    for number in range(changes):
        accepted = change(str(number), CreateOrganisation(name=f"o{number}"))
        state.apply(accepted)
        feed.record(accepted)
    return feed


def run_until_idle(actor: FollowerActor) -> None:
    actor.on_receive(Tick())
    while True:
        try:
            envelope = actor.actor_inbox.get_nowait()
        except queue.Empty:
            return
        actor.on_receive(envelope.message)


def test_all_changes_of_a_stale_source_are_fetched_before_backing_off_from_it():
    # Guards against a slow start in a domain that is cut off: the host backed off from
    # the other host of the domain as stale after each batch, and then waited for each
    # unreachable control replica to time out. It refused callers until it had repeated
    # this for every batch.
    clock = FakeClock()
    follower = Follower(clock=clock)
    bus = SingleSourceBus(
        answering="neighbour", feed=make_feed(MANY_CHANGES), confirmed_age=5.0
    )
    actor = FollowerActor(
        follower=follower,
        sources=lambda: ("neighbour", "control-1", "control-2"),
        bus=bus,
        clock=clock,
        domain="d",
    )
    run_until_idle(actor)
    assert follower.state.revision == MANY_CHANGES
    assert follower.age == 5.0


def test_follower_backs_off_from_a_stale_source_once_it_has_caught_up_with_it():
    clock = FakeClock()
    bus = SingleSourceBus(answering="neighbour", feed=make_feed(3), confirmed_age=5.0)
    actor = FollowerActor(
        follower=Follower(clock=clock),
        sources=lambda: ("neighbour", "control-1"),
        bus=bus,
        clock=clock,
        domain="d",
    )
    run_until_idle(actor)
    clock.advance(1.0)
    run_until_idle(actor)
    assert bus.asked == ["neighbour", "control-1"]


@attrs.define(kw_only=True)
class ElectionBus:
    """A bus on which ``live`` processes answer as ``reply_to`` says.

    The process ``far`` answers as ``far_replies_to`` says, and isn't there at first.
    """

    live: tuple[str, ...]
    reply_to: Callable[[FetchChanges], object]
    name: str = "own"
    asked: list[str] = attrs.field(factory=list)
    far_replies_to: Callable[[FetchChanges], object] | None = None

    def forget(self, future: Future) -> None:
        """Do nothing: replies to fetches that were given up are ignored."""

    def ask(self, peer: str, request: FetchChanges) -> Future:
        self.asked.append(peer)
        future: Future = Future()
        if peer in self.live:
            future.set_result(self.reply_to(request))
        elif peer == "far" and self.far_replies_to is not None:
            future.set_result(self.far_replies_to(request))
        return future


class Election:
    """A host whose nearest sources are alive, and have no leader for a while."""

    def __init__(
        self,
        *,
        timing: FetchTiming,
        others: tuple[str, ...] = ("d-1", "d-2", "d-3", "d-4"),
    ) -> None:
        self.clock = FakeClock()
        self.state = ControlState()
        self.feed = ChangeFeed(state=self.state)
        self.follower = Follower(clock=self.clock)
        live = ("near-1", "near-2")
        self.bus = ElectionBus(live=live, reply_to=self.confirmed(0.1))
        self._actor = FollowerActor(
            follower=self.follower,
            sources=lambda: (*live, *others),
            bus=self.bus,
            clock=self.clock,
            domain="d",
            timing=timing,
        )

    def confirmed(self, age: float) -> Callable[[FetchChanges], object]:
        return lambda request: self.feed.answer(request, confirmed_age=age)

    def accept_change(self) -> None:
        accepted = change("a", CreateOrganisation(name="o"))
        self.state.apply(accepted)
        self.feed.record(accepted)

    def run(self, seconds: float) -> None:
        """Handle ticks, and after each one reply, as sources hold each fetch."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.advance(FOLLOWER_TICK_SECONDS)
            self._actor.on_receive(Tick())
            with contextlib.suppress(queue.Empty):
                self._actor.on_receive(self._actor.actor_inbox.get_nowait().message)


@pytest.mark.parametrize("timing", [FETCH_TIMING, FetchTiming()])
@pytest.mark.parametrize("answer", ["stale", "unavailable"])
def test_a_host_asks_live_sources_again_soon_after_an_election(timing, answer):
    election = Election(timing=timing)
    election.run(1.0)
    stale = election.confirmed(timing.stale_age + 1)
    unavailable = SourceUnavailable()
    election.bus.reply_to = stale if answer == "stale" else lambda _: unavailable
    election.run(2.0)
    election.accept_change()
    election.bus.reply_to = election.confirmed(0.1)
    election.run(CONFIG_APPLY_SECONDS)
    assert election.follower.state.revision == 1


def test_a_host_stays_with_a_confirmed_source_while_nearer_ones_are_cut_off():
    election = Election(timing=FETCH_TIMING, others=("d-1", "d-2", "d-3", "far"))
    election.run(1.0)
    election.bus.reply_to = election.confirmed(5.0)
    election.bus.far_replies_to = election.confirmed(0.1)
    election.run(8.0)
    assert election.follower.age < FETCH_TIMING.stale_age
    election.bus.asked.clear()
    election.run(4.0)
    assert not {"near-1", "near-2"} & set(election.bus.asked)


def test_a_copy_from_before_the_election_does_not_show_that_others_are_cut_off():
    timing = FetchTiming()
    election = Election(timing=timing, others=("far", "d-1", "d-2"))
    election.run(1.0)
    election.bus.reply_to = lambda _: SourceUnavailable()
    lost_leader_at = election.clock.now()
    election.bus.far_replies_to = lambda request: election.feed.answer(
        request, confirmed_age=election.clock.now() - lost_leader_at
    )
    election.run(2.5)
    election.accept_change()
    election.bus.reply_to = election.confirmed(0.1)
    election.bus.far_replies_to = None
    election.run(CONFIG_APPLY_SECONDS)
    assert election.follower.state.revision == 1
