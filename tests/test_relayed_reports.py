"""Reports of the revision in force that entry hosts pass on for one another."""

from __future__ import annotations

from concurrent.futures import Future

import attrs
import pytest

from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.follower import Follower
from chicoryhold.control.follower_actor import FollowerActor
from chicoryhold.control.in_force import InForceReports
from chicoryhold.control.messages import FetchChanges, HostReport
from chicoryhold.hosts.actors import PeerRequest
from tests.conftest import FakeClock
from tests.reporting_hosts import CONTROLS, Load, ReportingHosts
from tests.test_follower import make_feed, run_until_idle

ECHO_SECONDS = 8.0
WAIT_SECONDS = 8.0  # the default of the operators' command


@attrs.define(kw_only=True)
class LeaderBus:
    """A bus to a leader, which records the reports of each fetch and then holds it."""

    name: str
    reports: InForceReports
    feed: ChangeFeed
    fetch: FetchChanges | None = None
    held: Future | None = None

    def ask(self, peer: str, request: FetchChanges) -> Future:
        self.reports.record(request.reports)
        self.fetch, self.held = request, Future()
        return self.held

    def answer(self) -> None:
        self.held.set_result(self.feed.answer(self.fetch, confirmed_age=0.1))


@attrs.define(kw_only=True)
class RelayTrial:
    """The host ``h1``, which fetches from the leader and which others fetch from."""

    clock: FakeClock = attrs.field(factory=FakeClock)
    bus: LeaderBus = attrs.field(init=False)
    actor: FollowerActor = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.bus = LeaderBus(
            name="h1", reports=InForceReports(clock=self.clock), feed=make_feed(2)
        )
        self.actor = FollowerActor(
            follower=Follower(clock=self.clock),
            sources=lambda: ("leader",),
            bus=self.bus,
            clock=self.clock,
            domain="d",
        )
        run_until_idle(self.actor)
        self.fetch_again()

    def fetch_again(self) -> None:
        self.bus.answer()
        run_until_idle(self.actor)

    def receive(self, *reports: HostReport) -> None:
        """Let another host's fetch arrive that brings ``reports``."""
        request = FetchChanges(after=2, reports=reports)
        self.actor.on_receive(
            PeerRequest(sender="another", message=request, reply=Future())
        )

    def revisions_at_leader(self) -> dict[str, int]:
        """Return the revision of each host at the leader, after one more fetch."""
        self.clock.advance(0.5)
        self.fetch_again()
        return {host.host: host.revision for host in self.bus.reports.hosts()}


def a_report(host: str, revision: int, *, age: float = 0.0) -> HostReport:
    return HostReport(host=host, domain="d", revision=revision, age=age)


@pytest.fixture
def relay() -> RelayTrial:
    return RelayTrial()


def test_an_older_report_that_another_host_passes_on_does_not_replace_a_newer(relay):
    relay.receive(a_report("h3", 2))
    relay.receive(a_report("h2", 2), a_report("h3", 1, age=ECHO_SECONDS))
    assert relay.revisions_at_leader()["h3"] == 2


def test_the_report_of_a_host_is_not_replaced_by_an_older_one_that_it_sends_too(relay):
    relay.receive(a_report("h3", 2), a_report("h3", 1, age=ECHO_SECONDS))
    assert relay.revisions_at_leader()["h3"] == 2


def test_a_host_does_not_pass_on_reports_of_its_own_that_come_back_to_it(relay):
    relay.receive(a_report("h2", 2), a_report("h1", 1, age=ECHO_SECONDS))
    relay.revisions_at_leader()
    own = [report for report in relay.bus.fetch.reports if report.host == "h1"]
    assert [report.revision for report in own] == [2]


def test_a_newer_report_of_a_lower_revision_counts(relay):
    relay.receive(a_report("h3", 2))
    relay.clock.advance(1.0)
    relay.receive(a_report("h3", 1))
    assert relay.revisions_at_leader()["h3"] == 1


def seconds_until_told(seed: int, load: Load) -> float:
    """Return how long after a change, itself 2 s after an election, ``wait`` ends."""
    hosts = ReportingHosts(seed=seed, load=load)
    hosts.accept_change()
    hosts.run(8.0)
    hosts.accept_change()
    former = hosts.leader
    hosts.kill_leader()
    hosts.run(1.0)
    hosts.lead(next(name for name in CONTROLS if name != former))
    hosts.run(2.0)
    hosts.accept_change()
    return hosts.seconds_until_in_force() + hosts.seconds_until_reported()


@pytest.mark.parametrize(
    "load",
    [Load(way=0.02, pause=0.1), Load(way=0.05, pause=0.3)],
    ids=("idle", "busy"),
)
def test_the_leader_is_told_of_a_change_in_time_after_hosts_asked_each_other(load):
    longest = max((seconds_until_told(seed, load), seed) for seed in range(60))
    assert longest[0] < WAIT_SECONDS, longest
