"""How an entry host discovers control hosts after a start or an outage."""

from __future__ import annotations

import queue
from concurrent.futures import Future

import attrs
import pytest

from chicoryhold.hosts.actors import Tick
from chicoryhold.membership.messages import ControlHost, ControlHosts, EntryHost
from chicoryhold.membership.presence_actor import (
    OPEN_REPORT_SECONDS,
    ControlHostList,
    PresenceActor,
)
from chicoryhold.metrics import Metrics
from chicoryhold.routing.stated_limits import StatedLimits
from tests.conftest import FakeClock
from tests.crash_fakes import a_guard
from tests.currency_fakes import a_current_copy

SEEDS = ("10.1.0.1", "10.2.0.1", "10.3.0.1")
OWN = EntryHost(name="own", domain="b", region="r", address="10.2.0.9:80", ready=False)


@attrs.define(kw_only=True)
class FakeBus:
    """Keeps the latest request to each peer, and all that weren't given up."""

    asked: dict[str, Future] = attrs.field(factory=dict)
    open: list[Future] = attrs.field(factory=list)

    def ask(self, peer: str, message: object) -> Future:
        self.asked[peer] = Future()
        self.open.append(self.asked[peer])
        return self.asked[peer]

    def forget(self, future: Future) -> None:
        self.open.remove(future)

    def reply(self, future: Future, message: object) -> None:
        """Deliver a reply, unless its request was given up."""
        if future in self.open:
            future.set_result(message)


def known_hosts(clock: FakeClock) -> ControlHostList:
    return ControlHostList(seeds=lambda: SEEDS, domain="b", region="r", clock=clock)


def an_actor(
    control_hosts: ControlHostList, bus: FakeBus, clock: FakeClock, **fields: object
) -> PresenceActor:
    return PresenceActor(
        control_hosts=control_hosts,
        bus=bus,
        clock=clock,
        describe=lambda: OWN,
        limits=StatedLimits(clock=clock, metrics=Metrics(process="test")),
        guard=a_guard(clock),
        currency=a_current_copy(clock),
        **fields,
    )


def process_inbox(actor: PresenceActor) -> None:
    while True:
        try:
            actor.on_receive(actor.actor_inbox.get_nowait().message)
        except queue.Empty:
            return


def test_a_host_without_control_hosts_asks_all_seeds_and_reports_the_first_reply():
    # Guards against a slow start. An entry host asked only the first seed, and its
    # first fetch of the configuration was sent there before a connection was open. The
    # message was lost and sent again 1.2 s later.
    clock = FakeClock()
    bus = FakeBus()
    control_hosts = known_hosts(clock)
    reached = []
    actor = an_actor(
        control_hosts,
        bus,
        clock,
        on_reachable=lambda: reached.append(control_hosts.reachable),
    )
    actor.on_receive(Tick())
    assert tuple(bus.asked) == SEEDS
    assert reached == []
    host = ControlHost(name="10.2.0.1", domain="b", region="r")
    bus.asked["10.2.0.1"].set_result(ControlHosts(hosts=(host,), entry_hosts=3))
    process_inbox(actor)
    assert reached == [("10.2.0.1",)]
    assert control_hosts.entry_hosts == 3


def test_a_host_that_lost_all_control_hosts_asks_all_of_them_again():
    clock = FakeClock()
    bus = FakeBus()
    control_hosts = known_hosts(clock)
    actor = an_actor(control_hosts, bus, clock)
    actor.on_receive(Tick())
    bus.asked["10.1.0.1"].set_result(ControlHosts(hosts=(), entry_hosts=1))
    process_inbox(actor)
    clock.advance(5.0)
    bus.asked.clear()
    actor.on_receive(Tick())
    assert set(bus.asked) == set(SEEDS)


def test_relay_hosts_of_all_recent_replies_are_known():
    # A control host that had just started replied with a list without entry hosts.
    clock = FakeClock()
    control_hosts = known_hosts(clock)
    peer = attrs.evolve(OWN, name="peer", ready=True)
    control_hosts.record_reply("10.1.0.1", ControlHosts(hosts=(), relay_hosts=(peer,)))
    control_hosts.record_reply("10.2.0.1", ControlHosts(hosts=()))
    assert control_hosts.relay_hosts == (peer,)
    clock.advance(1.0)
    control_hosts.record_reply("10.2.0.1", ControlHosts(hosts=()))
    clock.advance(1.0)
    assert control_hosts.relay_hosts == ()


def test_relay_hosts_stay_known_while_no_control_host_replies():
    clock = FakeClock()
    control_hosts = known_hosts(clock)
    peer = attrs.evolve(OWN, name="peer", ready=True)
    control_hosts.record_reply("10.1.0.1", ControlHosts(hosts=(), relay_hosts=(peer,)))
    clock.advance(5.0)
    assert control_hosts.relay_hosts == (peer,)


@pytest.mark.parametrize("seconds", [0.3, 2.0])
def test_a_reply_that_is_slower_than_the_next_report_is_not_lost(seconds):
    # A host that started while its region had no control host heard of none: a reply
    # from another region takes 0.11 s, and a report was given up after 0.1 s.
    clock = FakeClock()
    bus = FakeBus()
    control_hosts = known_hosts(clock)
    actor = an_actor(control_hosts, bus, clock)
    actor.on_receive(Tick())
    first = bus.asked["10.1.0.1"]
    for _ in range(round(seconds / 0.1)):
        clock.advance(0.1)
        actor.on_receive(Tick())
    bus.reply(first, ControlHosts(hosts=(), entry_hosts=1))
    process_inbox(actor)
    assert control_hosts.reachable == ("10.1.0.1",)


def test_requests_that_get_no_reply_are_given_up_after_a_time():
    clock = FakeClock()
    bus = FakeBus()
    actor = an_actor(known_hosts(clock), bus, clock)
    for _ in range(100):
        actor.on_receive(Tick())
        clock.advance(0.1)
    rounds = OPEN_REPORT_SECONDS / 0.1 + 1
    assert len(bus.open) <= rounds * len(SEEDS)
