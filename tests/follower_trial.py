"""A host that follows control hosts over links of a given delay and bandwidth."""

from __future__ import annotations

import heapq
import itertools
import queue
from collections.abc import Callable
from concurrent.futures import Future

import attrs

from chicoryhold.codec import encode
from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.follower import Follower
from chicoryhold.control.follower_actor import FollowerActor
from chicoryhold.control.messages import FetchChanges, FetchImage
from chicoryhold.control.pending_fetches import PendingFetches
from chicoryhold.hosts.actors import Tick
from chicoryhold.programs.gateway import FETCH_TIMING, FOLLOWER_TICK_SECONDS
from chicoryhold.routing.configuration import (
    Configuration,
    RouteRule,
    WeightedService,
)
from chicoryhold.state.changes import PutConfiguration
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock
from tests.test_control_state import change

STEP_SECONDS = 0.01
SOURCES = ("control-1", "control-2", "control-3")
SOURCE_HOLDS_SECONDS = 0.5
CONFIRMED_AGE_SECONDS = 0.1


def configuration(version: int, *, routes: int) -> Configuration:
    """Return a version that differs from the others in one route."""
    rules = []
    for number in range(routes):
        service = f"service-{version}" if number == version % routes else "service"
        rules.append(
            RouteRule(
                name=f"route-{number}",
                host=f"host-{number % 50}.example",
                prefix=f"/prefix/{number}/",
                parts=(WeightedService(service=service, weight=1.0),),
                timeout=2.0,
                homes=("north", "south"),
            )
        )
    return Configuration(version=version, routes=tuple(rules))


@attrs.frozen(kw_only=True)
class Link:
    """``delay`` is the time in seconds that a reply takes beside its bytes' time."""

    delay: float
    bytes_per_second: float = float("inf")


class Trial:
    """Accepts changes at the sources and measures how late the host applies them.

    All sources have each change as soon as it is accepted. ``pause`` is the span in
    which the host's threads don't run.
    """

    def __init__(
        self, *, link: Link, routes: int = 1, pause: tuple[float, float] = (0, 0)
    ) -> None:
        self.clock = FakeClock()
        self.name = "own"
        self.asked: list[str] = []
        self.received_bytes = 0
        self.silent: set[str] = set()
        self._link = link
        self._link_is_free_at = 0.0
        self._routes = routes
        self._pause = pause
        self._started_at = self.clock.now()
        self._state = ControlState()
        self._feed = ChangeFeed(state=self._state)
        self._fetches = {
            source: PendingFetches(
                feed=self._feed, clock=self.clock, max_wait=SOURCE_HOLDS_SECONDS
            )
            for source in SOURCES
        }
        self._arrivals: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._accepted_at: dict[int, float] = {}
        self.follower = Follower(clock=self.clock)
        self._actor = FollowerActor(
            follower=self.follower,
            sources=lambda: SOURCES,
            bus=self,
            clock=self.clock,
            domain="d",
            timing=FETCH_TIMING,
        )
        self._next_tick = self.elapsed

    @property
    def elapsed(self) -> float:
        return self.clock.now() - self._started_at

    @property
    def version(self) -> int:
        return self._state.configuration.version

    @property
    def lag(self) -> float:
        """For how long the oldest change has been accepted that isn't in force."""
        in_force = self.follower.state.configuration.version
        missing = [
            at for version, at in self._accepted_at.items() if version > in_force
        ]
        return self.elapsed - min(missing) if missing else 0.0

    def ask(self, peer: str, request: FetchChanges | FetchImage) -> Future:
        """Send a request, as the bus does; the link delays only the replies."""
        self.asked.append(peer)
        arrived: Future = Future()
        held: Future = Future()
        if peer in self.silent:
            return arrived
        held.add_done_callback(lambda done: self._send(done.result(), arrived))
        if isinstance(request, FetchImage):
            held.set_result(self._feed.piece(request))
        else:
            self._fetches[peer].add(request, held)
        return arrived

    def forget(self, future: Future) -> None:
        """Do nothing: a reply to a fetch that was given up still arrives."""

    def accept(self) -> None:
        """Accept another version of the configuration."""
        version = self.version + 1
        body = PutConfiguration(
            configuration=configuration(version, routes=self._routes), text=b""
        )
        accepted = change(str(version), body)
        assert self._state.apply(accepted).accepted
        self._feed.record(accepted)
        self._accepted_at[version] = self.elapsed

    def oldest_age(self, seconds: float) -> float:
        """Run for ``seconds``, and return the largest age of the copy in that time."""
        end = self.elapsed + seconds
        oldest = 0.0
        while self.elapsed < end:
            self.step()
            oldest = max(oldest, self.follower.age)
        return oldest

    def step(self) -> None:
        self.clock.advance(STEP_SECONDS)
        for fetches in self._fetches.values():
            fetches.answer_ready(confirmed_age=CONFIRMED_AGE_SECONDS)
        while self._arrivals and self._arrivals[0][0] <= self.elapsed:
            heapq.heappop(self._arrivals)[2]()
        if self._pause[0] <= self.elapsed < self._pause[1]:
            return
        if self.elapsed >= self._next_tick:
            self._next_tick = self.elapsed + FOLLOWER_TICK_SECONDS
            self._actor.on_receive(Tick())
        while True:
            try:
                self._actor.on_receive(self._actor.actor_inbox.get_nowait().message)
            except queue.Empty:
                return

    def run(self, seconds: float) -> float:
        """Run for ``seconds``, and return the longest lag in that time."""
        end = self.elapsed + seconds
        longest = 0.0
        while self.elapsed < end:
            self.step()
            longest = max(longest, self.lag)
        return longest

    def storm(self, versions: int, *, gap: float) -> float:
        """Accept ``versions`` every ``gap`` seconds; return the longest lag."""
        longest = 0.0
        for _ in range(versions):
            self.accept()
            longest = max(longest, self.run(gap))
        return longest

    def _send(self, reply: object, arrived: Future) -> None:
        size = len(encode(reply))
        self.received_bytes += size
        begins = max(self.elapsed, self._link_is_free_at)
        self._link_is_free_at = begins + size / self._link.bytes_per_second
        arrives = self._link_is_free_at + self._link.delay
        entry = (arrives, next(self._order), lambda: arrived.set_result(reply))
        heapq.heappush(self._arrivals, entry)
