"""The log tells why the copy of a host is old."""

from __future__ import annotations

import queue
from collections.abc import Iterator
from concurrent.futures import Future

import pytest
from loguru import logger

from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.follower import Follower
from chicoryhold.control.follower_actor import FollowerActor
from chicoryhold.control.messages import FetchChanges
from chicoryhold.hosts.actors import Tick
from chicoryhold.programs.gateway import FETCH_TIMING, FOLLOWER_TICK_SECONDS
from chicoryhold.state.changes import CreateOrganisation
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock
from tests.test_control_state import change


@pytest.fixture
def lines() -> Iterator[list[dict]]:
    """The fields of each line that says that the copy is old."""
    seen: list[dict] = []

    def keep(message) -> None:
        if message.record["message"] == "follower: the copy is old.":
            seen.append(message.record["extra"])

    sink = logger.add(keep, level="INFO")
    yield seen
    logger.remove(sink)


class Host:
    """A host with one source, whose replies the test delivers."""

    def __init__(self) -> None:
        self.name = "own"
        self.clock = FakeClock()
        self.sources: tuple[str, ...] = ("control",)
        self.waiting: list[tuple[FetchChanges, Future]] = []
        self._state = ControlState()
        self._feed = ChangeFeed(state=self._state)
        accepted = change("a", CreateOrganisation(name="o"))
        self._state.apply(accepted)
        self._feed.record(accepted)
        self._actor = FollowerActor(
            follower=Follower(clock=self.clock),
            sources=lambda: self.sources,
            bus=self,
            clock=self.clock,
            domain="d",
            timing=FETCH_TIMING,
        )

    def ask(self, peer: str, request: FetchChanges) -> Future:
        future: Future = Future()
        self.waiting.append((request, future))
        return future

    def forget(self, future: Future) -> None:
        """Do nothing: the test delivers replies all the same."""

    def reply(self) -> None:
        for request, future in self.waiting:
            future.set_result(self._feed.answer(request, confirmed_age=0.1))
        self.waiting.clear()

    def tick(self, seconds: float = FOLLOWER_TICK_SECONDS) -> None:
        self.clock.advance(seconds)
        self._actor.on_receive(Tick())

    def handle(self) -> None:
        while True:
            try:
                self._actor.on_receive(self._actor.actor_inbox.get_nowait().message)
            except queue.Empty:
                return

    def run(self, seconds: float, *, replies: bool) -> None:
        for _ in range(round(seconds / FOLLOWER_TICK_SECONDS)):
            self.tick()
            if replies:
                self.reply()
                self.handle()


def test_the_log_is_silent_while_the_copy_is_recent(lines):
    Host().run(10.0, replies=True)
    assert lines == []


def test_the_log_names_a_host_that_knows_no_source_that_replies(lines):
    host = Host()
    host.run(2.0, replies=True)
    host.sources = ()
    host.run(5.0, replies=True)
    assert lines[-1]["without_source"] > 0
    assert lines[-1]["reason"] == "no source is known that replies"
    assert lines[-1]["age"] > 3.0


def test_the_log_tells_replies_that_are_late_on_their_way(lines):
    host = Host()
    host.run(2.0, replies=True)
    host.run(0.5, replies=False)
    host.run(2.0, replies=True)
    assert max(line["on_the_way"] for line in lines) == pytest.approx(0.75)
    assert max(line["queued"] for line in lines) == 0.0


def test_the_log_tells_replies_that_wait_for_the_hosts_own_threads(lines):
    host = Host()
    host.run(2.0, replies=True)
    host.tick()
    host.reply()
    host.clock.advance(0.8)
    host.handle()
    host.clock.advance(0.3)
    host.run(1.0, replies=False)
    assert max(line["queued"] for line in lines) == pytest.approx(0.8)
    assert max(line["on_the_way"] for line in lines) <= FOLLOWER_TICK_SECONDS


def test_the_log_tells_that_the_process_was_paused(lines):
    host = Host()
    host.run(2.0, replies=True)
    host.tick(3.0)
    host.run(1.0, replies=False)
    assert max(line["between_ticks"] for line in lines) == pytest.approx(3.0)


def test_the_log_tells_for_how_long_a_copy_was_never_confirmed(lines):
    host = Host()
    host.run(5.0, replies=False)
    assert not lines[-1]["was_confirmed"]
    assert lines[-1]["age"] > 3.0
    assert lines[-1]["unanswered"] > 3.0
