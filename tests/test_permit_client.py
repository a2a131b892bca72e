"""An entry host gets permits, and limits itself when no control host answers."""

from __future__ import annotations

from collections.abc import Callable

from chicoryhold.errors import PeerTimeout
from chicoryhold.limits.control_host_calls import MAX_HOSTS_ASKED, PermitSources
from chicoryhold.limits.messages import (
    UNLIMITED,
    PermitGrant,
    PermitRequest,
    PermitsUnavailable,
)
from chicoryhold.limits.permit_client import (
    PERMIT_LIFETIME_SECONDS,
    Permission,
    PermitClient,
)
from tests.conftest import FakeClock


class FakeBus:
    """Grants permits while some remain, or lets each call time out if ``silent``.

    Control hosts in ``unready`` don't know the limits yet.
    """

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.remaining = 0
        self.silent = False
        self.unready: set[str] = set()
        self.requests: list[PermitRequest] = []
        self.late: list[tuple[PermitRequest, Callable[[object], None]]] = []

    def call(
        self, peer: str, message: PermitRequest, *, timeout: float, on_late=None
    ) -> PermitGrant | PermitsUnavailable:
        self.requests.append(message)
        if self.silent:
            self.clock.advance(timeout)
            self.late.append((message, on_late))
            raise PeerTimeout("silent")
        if peer in self.unready:
            return PermitsUnavailable()
        counts = []
        for want in message.wants:
            granted = min(self.remaining, want.wanted)
            self.remaining -= granted
            counts.append(granted)
        return PermitGrant(counts=tuple(counts))


def create_client(hosts: tuple[str, ...] = ("c1", "c2", "c3")):
    clock = FakeClock()
    bus = FakeBus(clock)
    client = PermitClient(
        bus=bus,
        clock=clock,
        control_hosts=PermitSources(
            reachable=lambda: hosts, is_same_region=lambda host: True
        ),
    )
    return client, bus, clock


def ask(client: PermitClient, clock: FakeClock, name: str = "o") -> Permission:
    return client.permit(name, deadline=clock.now() + 2)


def test_a_request_is_denied_once_the_only_permit_is_used():
    client, bus, clock = create_client()
    bus.remaining = 1
    assert ask(client, clock) is Permission.GRANTED
    assert ask(client, clock) is Permission.DENIED


def test_a_denial_is_repeated_without_another_message():
    client, bus, clock = create_client()
    for _ in range(5):
        assert ask(client, clock) is Permission.DENIED
    assert len(bus.requests) == 1


def test_one_message_prefetches_for_all_organisations_with_demand():
    client, bus, clock = create_client()
    bus.remaining = 10_000
    for _ in range(40):
        for name in ("a", "b", "c"):
            assert ask(client, clock, name) is Permission.GRANTED
        clock.advance(0.05)
    assert len(bus.requests) < 40


def test_a_request_waits_for_at_most_two_silent_hosts():
    client, bus, clock = create_client(("c1", "c2", "c3", "c4"))
    bus.silent = True
    started = clock.now()
    ask(client, clock)
    assert len(bus.requests) == MAX_HOSTS_ASKED
    assert clock.now() - started < 0.35


def test_an_isolated_host_lets_a_fraction_of_its_usual_rate_pass():
    client, bus, clock = create_client()
    bus.remaining = 10_000
    for _ in range(200):
        ask(client, clock)
        clock.advance(0.05)
    bus.silent = True
    passed = 0
    started = clock.now()
    while clock.now() - started < 5:
        passed += ask(client, clock) is Permission.GRANTED
        clock.advance(0.02)
    assert 20 < passed < 0.8 * 20 * 5


def test_a_request_without_a_limit_is_granted():
    client, bus, clock = create_client()
    bus.call = lambda peer, message, timeout, on_late=None: PermitGrant(
        counts=(UNLIMITED,) * len(message.wants)
    )
    assert ask(client, clock) is Permission.GRANTED


def test_another_control_host_is_asked_when_one_does_not_know_the_limits_yet():
    clock = FakeClock()
    bus = FakeBus(clock)
    bus.remaining = 3
    bus.unready = {f"c{number}" for number in range(MAX_HOSTS_ASKED)}
    client = PermitClient(
        bus=bus,
        clock=clock,
        control_hosts=PermitSources(
            reachable=lambda: (*sorted(bus.unready), "ready"),
            is_same_region=lambda host: True,
        ),
    )
    for _ in range(3):
        assert ask(client, clock) is Permission.GRANTED
    assert len(bus.requests) == MAX_HOSTS_ASKED + 3


def test_a_grant_that_arrives_late_serves_the_next_request():
    client, bus, clock = create_client()
    bus.silent = True
    ask(client, clock)
    asked = len(bus.requests)
    request, on_late = bus.late[-1]
    on_late(PermitGrant(counts=tuple(1 for _ in request.wants)))
    assert ask(client, clock) is Permission.GRANTED
    assert len(bus.requests) == asked


def test_a_control_host_whose_reply_was_late_is_asked_again():
    client, bus, clock = create_client(hosts=("c1",))
    bus.silent = True
    ask(client, clock)
    bus.silent = False
    bus.remaining = 1
    bus.late[-1][1](PermitGrant(counts=(0,)))
    assert ask(client, clock) is Permission.GRANTED


def test_a_grant_that_arrives_after_its_lifetime_is_not_used():
    client, bus, clock = create_client(hosts=("c1",))
    bus.silent = True
    ask(client, clock)
    clock.advance(PERMIT_LIFETIME_SECONDS)
    bus.late[-1][1](PermitGrant(counts=(1,)))
    bus.silent = False
    assert ask(client, clock) is Permission.DENIED
    assert bus.requests[-1].wants[0].unused == 0
