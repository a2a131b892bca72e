"""Updates of an entry host's copy, without threads or sockets."""

from __future__ import annotations

import queue
from concurrent.futures import Future

import attrs

from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.follower import Follower
from chicoryhold.control.follower_actor import FollowerActor
from chicoryhold.control.messages import FetchChanges, FetchImage
from chicoryhold.hosts.actors import Tick
from chicoryhold.state.changes import CreateOrganisation
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock
from tests.test_control_state import change

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
