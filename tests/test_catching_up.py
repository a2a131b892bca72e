"""Decisions of a host that has just started and still catches up with the state."""

from __future__ import annotations

import queue
from collections.abc import Iterator
from concurrent.futures import Future

import attrs
import pytest

from chicoryhold.callers.authentication import Authenticator
from chicoryhold.callers.refusals import RefusalKind
from chicoryhold.callers.request import CallerRequest
from chicoryhold.callers.service import CallerService
from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS
from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.follower import Follower
from chicoryhold.control.follower_actor import FollowerActor
from chicoryhold.control.messages import ChangeBatch, FetchChanges, FetchImage
from chicoryhold.control.pending_fetches import PendingFetches
from chicoryhold.hosts.actors import Tick
from chicoryhold.hosts.domain_view import DomainView
from chicoryhold.metrics import Metrics
from chicoryhold.programs.draining import Drain, drain_timing
from chicoryhold.programs.gateway_host import Gateway
from chicoryhold.programs.gateway_links import create_target_links
from chicoryhold.programs.host_settings import GatewaySettings
from chicoryhold.programs.signals import StopSignal
from chicoryhold.routing.configuration import (
    Configuration,
    RouteRule,
    WeightedService,
)
from chicoryhold.routing.selection import HostLocation
from chicoryhold.routing.stated_limits import StatedLimits
from chicoryhold.routing.target_choice import TargetChooser
from chicoryhold.state.changes import (
    Change,
    CreateOrganisation,
    PutConfiguration,
    PutTable,
)
from chicoryhold.state.control_state import ControlState
from chicoryhold.targets.dialect import OWN_DIALECT
from tests.conftest import FakeClock
from tests.crash_fakes import CrashedTargets, a_guard
from tests.statement_fakes import a_statements
from tests.test_control_state import HEADING, change
from tests.test_target_choice import FakePermits

REPLIES = 6
CHANGES_PER_BATCH = 200
NEWEST_VERSION = 3 * CHANGES_PER_BATCH
ADDED_ROUTE = "/added-last/"


@attrs.define(kw_only=True)
class BatchBus:
    """A bus to one source, which answers with batches of ``CHANGES_PER_BATCH``."""

    changes: list[Change]
    digest: bytes
    confirmed_age: float
    name: str = "own"
    requests: list[FetchChanges] = attrs.field(factory=list)
    peers: list[str] = attrs.field(factory=list)

    def forget(self, future: Future) -> None:
        """Do nothing: replies to fetches that were given up are ignored."""

    def ask(self, peer: str, request: FetchChanges) -> Future:
        self.requests.append(request)
        self.peers.append(peer)
        batch = ChangeBatch(
            after=request.after,
            revision=len(self.changes),
            digest=self.digest,
            confirmed_age=self.confirmed_age,
            changes=tuple(
                self.changes[request.after : request.after + CHANGES_PER_BATCH]
            ),
        )
        future: Future = Future()
        future.set_result(batch)
        return future


def configuration(version: int) -> Configuration:
    """Return a version of which only the newest one has the route ``ADDED_ROUTE``."""
    prefixes = ["/first/"] + [ADDED_ROUTE] * (version == NEWEST_VERSION)
    parts = (WeightedService(service="s", weight=1.0),)
    return Configuration(
        version=version,
        routes=tuple(
            RouteRule(name=prefix, host="shop.example", prefix=prefix, parts=parts)
            for prefix in prefixes
        ),
    )


def bus_of(bodies: list[object], *, confirmed_age: float) -> BatchBus:
    state = ControlState()
    changes = [
        change(str(number), body, based_on=number) for number, body in enumerate(bodies)
    ]
    assert all(state.apply(each).accepted for each in changes)
    return BatchBus(changes=changes, digest=state.digest, confirmed_age=confirmed_age)


def configuration_bus(*, confirmed_age: float = 0.1) -> BatchBus:
    bodies = [
        PutConfiguration(configuration=configuration(version), text=b"")
        for version in range(1, NEWEST_VERSION + 1)
    ]
    return bus_of(bodies, confirmed_age=confirmed_age)


def table_bus() -> BatchBus:
    first = HEADING + "service,s,deadline,2,s\nroute,/first/,service,s,\n"
    newest = first + f"route,{ADDED_ROUTE},service,s,\n"
    older = [PutTable(text=first)] * (NEWEST_VERSION - 1)
    return bus_of([*older, PutTable(text=newest)], confirmed_age=0.1)


def start(
    bus: BatchBus, *, on_applied=None, sources: tuple[str, ...] = ("control",),
    clock: FakeClock | None = None,
) -> tuple[Follower, FollowerActor]:  # fmt: skip
    clock = clock or FakeClock()
    follower = Follower(clock=clock)
    actor = FollowerActor(
        follower=follower,
        sources=lambda: sources,
        bus=bus,
        clock=clock,
        domain="d",
        on_applied=on_applied and (lambda: on_applied(follower)),
    )
    return follower, actor


def replies(actor: FollowerActor, count: int = REPLIES) -> Iterator[None]:
    """Start the actor and yield after each of the first replies that it handles."""
    actor.on_receive(Tick())
    for _ in range(count):
        try:
            actor.on_receive(actor.actor_inbox.get_nowait().message)
        except queue.Empty:
            return
        yield


def create_gateway(follower: Follower) -> Gateway:
    clock = FakeClock()
    settings = GatewaySettings(
        name="h", domain="d", region="r", regions={"d": "r"}, seeds=(), bus_port=1,
        metrics_port=2, callers_address="h:3",
    )  # fmt: skip
    location = HostLocation(
        host="h", domain="d", region="r", regions={"d": "r"}, domain_round_trip=0.001,
        region_round_trip=0.1,
    )  # fmt: skip
    chooser = TargetChooser(
        location=location,
        clock=clock,
        statements=a_statements(clock),
        permits=FakePermits(),
    )
    metrics = Metrics(process="h")
    links = create_target_links(
        chooser=chooser, dialect=OWN_DIALECT, clock=clock, metrics=metrics
    )
    return Gateway(
        settings=settings,
        follower=follower,
        chooser=chooser,
        limits=StatedLimits(clock=clock, metrics=metrics),
        crashes=CrashedTargets().watch(clock),
        links=links,
        metrics=metrics,
        clock=clock,
        drain=Drain(
            clock=clock,
            timing=drain_timing(6.0, min_seconds=1.5, idle_seconds=0.5),
            stopping=StopSignal(clock=clock),
        ),
    )


def test_restarted_host_never_applies_a_superseded_configuration():
    applied = []
    _, actor = start(
        configuration_bus(),
        on_applied=lambda follower: applied.append(follower.state.configuration),
    )
    for _ in replies(actor):
        pass
    assert [each.version for each in applied] == [0, NEWEST_VERSION]


def test_gateway_is_not_ready_before_its_copy_has_the_newest_route():
    follower, actor = start(configuration_bus())
    gateway = create_gateway(follower)
    for _ in replies(actor):
        gateway.apply()
        route = gateway.route_index.route(host="shop.example", path=ADDED_ROUTE)
        assert gateway.ready == (route is not None)
    assert gateway.ready


def test_copy_of_a_source_that_was_never_confirmed_itself_is_not_used():
    follower, actor = start(configuration_bus(confirmed_age=UNCONFIRMED_AGE_SECONDS))
    for _ in replies(actor):
        assert follower.state.revision == 0
    assert follower.fetched_revision == NEWEST_VERSION


def test_host_does_not_report_revisions_while_it_catches_up():
    bus = configuration_bus()
    _, actor = start(bus)
    for _ in replies(actor):
        pass
    reported = {r.revision for request in bus.requests for r in request.reports}
    assert reported == {NEWEST_VERSION}


def test_restarted_host_does_not_answer_callers_that_a_known_route_is_missing():
    follower, actor = start(table_bus())
    clock = FakeClock()
    view = DomainView(replicas=("h",), clock=clock)
    service = CallerService(
        guard=a_guard(clock),
        follower=follower,
        authenticator=Authenticator(follower=follower, view=view, clock=clock),
        claims=None,
        forwarder=None,
        clock=clock,
        observe=lambda completed: None,
    )
    request = CallerRequest(
        method="GET", path=ADDED_ROUTE, request_target="", headers={},
        body=b"", key=None, idempotency_key=None, deadline=None,
    )  # fmt: skip
    kinds = [service.serve(request).unwrap_err().kind for _ in replies(actor)]
    assert RefusalKind.NO_ROUTE not in kinds
    assert kinds[0] is RefusalKind.NOT_READY
    assert kinds[-1] is RefusalKind.KEY_MISSING


@attrs.define(kw_only=True)
class FeedBus:
    """A bus to sources with a feed each. Those in ``silent`` never send an image."""

    feeds: dict[str, ChangeFeed]
    silent: frozenset[str] = frozenset()
    name: str = "own"

    def ask(self, peer: str, request: FetchChanges | FetchImage) -> Future:
        future: Future = Future()
        if isinstance(request, FetchChanges):
            future.set_result(self.feeds[peer].answer(request, confirmed_age=0.1))
        elif peer not in self.silent:
            future.set_result(self.feeds[peer].piece(request))
        return future


def accept(state: ControlState, feed: ChangeFeed, *, count: int, prefix: str) -> None:
    for _ in range(count):
        name = f"{prefix}{state.revision}"
        accepted = change(name, CreateOrganisation(name=name))
        assert state.apply(accepted).accepted
        feed.record(accepted)


def run_for(actor: FollowerActor, clock: FakeClock, *, steps: int) -> None:
    actor.on_receive(Tick())
    for _ in range(steps):
        clock.advance(0.1)
        try:
            actor.on_receive(actor.actor_inbox.get_nowait().message)
        except queue.Empty:
            actor.on_receive(Tick())


def follower_at(feed: ChangeFeed, clock: FakeClock) -> Follower:
    follower = Follower(clock=clock)
    batch = feed.answer(FetchChanges(after=0), confirmed_age=0.0)
    follower.on_batch(batch, sent_at=clock.now())
    return follower


def fetching_actor(follower: Follower, bus: FeedBus, clock: FakeClock) -> FollowerActor:
    return FollowerActor(
        follower=follower,
        sources=lambda: tuple(bus.feeds),
        bus=bus,
        clock=clock,
        domain="d",
    )


def test_copy_with_another_history_is_replaced_though_its_source_keeps_an_older_image():
    clock = FakeClock()
    states = {prefix: ControlState() for prefix in ("own", "other")}
    feeds = {prefix: ChangeFeed(state=state) for prefix, state in states.items()}
    for prefix, state in states.items():
        accept(state, feeds[prefix], count=50, prefix=prefix)
        feeds[prefix].piece(FetchImage(revision=0, offset=0))
        accept(state, feeds[prefix], count=10, prefix=prefix)
    follower = follower_at(feeds["own"], clock)
    bus = FeedBus(feeds={"control": feeds["other"]})
    run_for(fetching_actor(follower, bus, clock), clock, steps=50)
    assert follower.state.digest == states["other"].digest


def test_copy_goes_on_with_a_source_that_keeps_an_older_image_than_the_copy():
    clock = FakeClock()
    state = ControlState()
    feed = ChangeFeed(state=state)
    accept(state, feed, count=50, prefix="o")
    feed.piece(FetchImage(revision=0, offset=0))
    accept(state, feed, count=10, prefix="o")
    follower = follower_at(feed, clock)
    accept(state, feed, count=5, prefix="o")
    without_changes = ChangeFeed(state=state)
    bus = FeedBus(
        feeds={"first": without_changes, "second": feed}, silent=frozenset({"first"})
    )
    run_for(fetching_actor(follower, bus, clock), clock, steps=50)
    assert follower.state.revision == 65


def test_nothing_is_decided_between_an_image_and_the_changes_after_it():
    clock = FakeClock()
    state = ControlState()
    feed = ChangeFeed(state=state)
    accept(state, feed, count=50, prefix="o")
    image = feed.piece(FetchImage(revision=0, offset=0))
    accept(state, feed, count=10, prefix="o")
    follower = Follower(clock=clock)
    assert follower.on_piece(image, source="control")
    assert follower.fetched_revision == 50
    assert follower.state.revision == 0
    batch = feed.answer(FetchChanges(after=50), confirmed_age=0.0)
    follower.on_batch(batch, sent_at=clock.now())
    assert follower.state.revision == 60


@pytest.mark.parametrize(("seconds", "asked"), [(1.4, {"first"}), (1.7, {"second"})])
def test_starting_host_waits_for_an_unconfirmed_source_as_long_as_an_election(
    seconds, asked
):
    clock = FakeClock()
    bus = configuration_bus(confirmed_age=UNCONFIRMED_AGE_SECONDS)
    follower, actor = start(bus, sources=("first", "second"), clock=clock)
    for _ in replies(actor, count=4):
        pass
    clock.advance(seconds)
    bus.peers.clear()
    for _ in replies(actor, count=1):
        pass
    clock.advance(0.1)
    for _ in replies(actor, count=1):
        pass
    assert set(bus.peers[-1:]) == asked


def test_pending_fetch_is_answered_when_its_source_is_first_confirmed():
    clock = FakeClock()
    state = ControlState()
    feed = ChangeFeed(state=state)
    accept(state, feed, count=3, prefix="o")
    pending = PendingFetches(feed=feed, clock=clock)
    reply: Future = Future()
    pending.add(FetchChanges(after=3), reply)
    pending.answer_ready(confirmed_age=UNCONFIRMED_AGE_SECONDS)
    assert not reply.done()
    pending.answer_ready(confirmed_age=0.1)
    assert reply.result(timeout=0).confirmed_age == 0.1
    later: Future = Future()
    pending.add(FetchChanges(after=3), later)
    pending.answer_ready(confirmed_age=0.1)
    assert not later.done()


def test_a_fetch_that_may_not_wait_is_answered_without_a_change():
    clock = FakeClock()
    state = ControlState()
    feed = ChangeFeed(state=state)
    accept(state, feed, count=3, prefix="o")
    pending = PendingFetches(feed=feed, clock=clock)
    pending.answer_ready(confirmed_age=0.1)
    reply: Future = Future()
    request = FetchChanges(after=3, digest=state.digest, at_once=True)
    pending.add(request, reply)
    pending.answer_ready(confirmed_age=0.1)
    assert reply.result(timeout=0).revision == 3
