"""How an entry host gets permits, and what it does when nobody gives any."""

from __future__ import annotations

from chicoryhold.errors import PeerTimeout
from chicoryhold.limits.messages import UNLIMITED, PermitGrant, PermitRequest
from chicoryhold.limits.permit_client import (
    MOST_ASKED,
    Permission,
    PermitClient,
)
from tests.conftest import FakeClock


class FakeBus:
    """Answers with what is left, or with silence that takes its time."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.left = 0
        self.silent = False
        self.requests: list[PermitRequest] = []

    def call(self, peer: str, message: PermitRequest, *, timeout: float) -> PermitGrant:
        self.requests.append(message)
        if self.silent:
            self.clock.advance(timeout)
            raise PeerTimeout("silent")
        counts = []
        for want in message.wants:
            given = min(self.left, want.wanted)
            self.left -= given
            counts.append(given)
        return PermitGrant(counts=tuple(counts))


def a_client(hosts: tuple[str, ...] = ("c1", "c2", "c3")):
    clock = FakeClock()
    bus = FakeBus(clock)
    client = PermitClient(
        bus=bus,
        clock=clock,
        control_hosts=lambda: hosts,
        is_near=lambda host: True,
    )
    return client, bus, clock


def ask(client: PermitClient, clock: FakeClock, name: str = "o") -> Permission:
    return client.permit(name, deadline=clock.now() + 2)


def test_a_permit_is_used_once_and_then_denied():
    client, bus, clock = a_client()
    bus.left = 1
    assert ask(client, clock) is Permission.GRANTED
    assert ask(client, clock) is Permission.DENIED


def test_a_denial_answers_for_a_moment_without_another_message():
    client, bus, clock = a_client()
    for _ in range(5):
        assert ask(client, clock) is Permission.DENIED
    assert len(bus.requests) == 1


def test_one_message_asks_ahead_for_all_organisations_with_demand():
    client, bus, clock = a_client()
    bus.left = 10_000
    for _ in range(40):
        for name in ("a", "b", "c"):
            assert ask(client, clock, name) is Permission.GRANTED
        clock.advance(0.05)
    assert len(bus.requests) < 40


def test_a_request_waits_for_two_silent_hosts_at_most():
    client, bus, clock = a_client(("c1", "c2", "c3", "c4"))
    bus.silent = True
    started = clock.now()
    ask(client, clock)
    assert len(bus.requests) == MOST_ASKED
    assert clock.now() - started < 0.35


def test_a_host_that_reaches_nobody_lets_a_part_of_its_usual_rate_pass():
    client, bus, clock = a_client()
    bus.left = 10_000
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


def test_no_limit_needs_no_more_than_one_message_a_while():
    client, bus, clock = a_client()
    bus.call = lambda peer, message, timeout: PermitGrant(
        counts=(UNLIMITED,) * len(message.wants)
    )
    assert ask(client, clock) is Permission.GRANTED
