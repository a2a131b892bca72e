"""No control host grants more than a limit that it hasn't heard of allows."""

from __future__ import annotations

from concurrent.futures import Future

import attrs
import pytest

from chicoryhold.codec import decode, encode
from chicoryhold.hosts.actors import PeerRequest
from chicoryhold.limits.control_host_calls import PermitSources
from chicoryhold.limits.known_limits import KnownLimits
from chicoryhold.limits.messages import (
    UNLIMITED,
    PermitGrant,
    PermitRequest,
    PermitsUnavailable,
    PermitWant,
    StatedLimit,
)
from chicoryhold.limits.permit_actor import PermitActor
from chicoryhold.limits.permit_client import Permission, PermitClient
from chicoryhold.limits.permits import PermitAllocator
from chicoryhold.limits.target_permits import TargetPermitAllocator
from chicoryhold.programs.control_host import allowance_for
from chicoryhold.programs.host_settings import RateTolerance
from chicoryhold.routing.configuration import Configuration, OrganisationRule
from tests.conftest import FakeClock

TOLERANCE = RateTolerance(share=0.2, requests=14, window=5.0)
DOMAINS = ("a", "b", "c")
STEP_SECONDS = 0.01


def configuration(version: int, *organisations: OrganisationRule) -> Configuration:
    return Configuration(version=version, organisations=organisations)


def rule(rate: float, *, name: str = "o") -> OrganisationRule:
    return OrganisationRule(name=name, rate=rate, burst=rate)


def stated(version: int, rate: float) -> StatedLimit:
    return StatedLimit(version=version, rate=rate, burst=rate)


@attrs.define(kw_only=True)
class ControlHost:
    """A control host with the copy ``configuration``, and the bus that reaches it."""

    clock: FakeClock
    configuration: Configuration
    domains: int = len(DOMAINS)
    actor: PermitActor = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        limits = KnownLimits(
            configuration=lambda: self.configuration,
            allowance_for=lambda rule: allowance_for(rule, TOLERANCE),
        )
        self.actor = PermitActor(
            allocator=PermitAllocator(
                domains=self.domains,
                allowance_of=limits.allowance_of,
                clock=self.clock,
            ),
            target_allocator=TargetPermitAllocator(
                domain="a", domains=DOMAINS, clock=self.clock
            ),
            bus=None,
            clock=self.clock,
            peers=lambda: (),
            knows_limits=lambda: True,
            limits=limits,
        )

    def ask(self, *wants: PermitWant) -> object:
        return self.call("control", PermitRequest(wants=wants), timeout=1.0)

    def call(
        self, peer: str, message: PermitRequest, *, timeout: float, on_late=None
    ) -> object:
        reply: Future = Future()
        request = PeerRequest(sender="h", message=message, reply=reply)
        self.actor.on_receive(request)
        return reply.result(timeout=0)

    def client(self) -> PermitClient:
        return PermitClient(
            bus=self,
            clock=self.clock,
            control_hosts=PermitSources(
                reachable=lambda: ("control",), is_same_region=lambda name: True
            ),
        )


def create(copy: Configuration, *, domains: int = len(DOMAINS)) -> ControlHost:
    clock = FakeClock()
    host = ControlHost(clock=clock, configuration=copy, domains=domains)
    clock.advance(60.0)
    return host


def want(limit: StatedLimit | None, *, name: str = "o", needed: int = 1) -> PermitWant:
    return PermitWant(name=name, wanted=1000, needed=needed, limit=limit)


def most_granted(hosts: list[ControlHost], limit: StatedLimit) -> int:
    """Return how many requests run in the window of 5 s, at seven times the rate."""
    clients = [host.client() for host in hosts]
    clock = hosts[0].clock
    granted = 0
    for _ in range(round(TOLERANCE.window / STEP_SECONDS)):
        for client in clients:
            permission = client.permit("o", deadline=clock.now() + 1, limit=limit)
            granted += permission is Permission.GRANTED
        clock.advance(STEP_SECONDS)
    return granted


def allowed_in_window(rate: float) -> float:
    steady = (rate * TOLERANCE.window + rate) * (1 + TOLERANCE.share)
    return steady + TOLERANCE.requests


@pytest.mark.parametrize("old", [(), (rule(0.0),), (rule(500.0),), (rule(1.0),)])
def test_cut_off_control_hosts_keep_to_a_limit_that_they_have_not_heard_of(old):
    clock = FakeClock()
    hosts = [
        ControlHost(clock=clock, configuration=configuration(1, *old)) for _ in DOMAINS
    ]
    clock.advance(60.0)
    assert most_granted(hosts, stated(2, 10.0)) <= allowed_in_window(10.0)


def test_a_new_organisation_is_served_before_the_control_host_has_heard_of_it():
    host = create(configuration(1))
    granted = most_granted([host], stated(2, 10.0))
    assert granted >= 10.0 * TOLERANCE.window / len(DOMAINS)


def test_the_only_control_host_of_the_only_domain_serves_a_new_organisation_in_full():
    host = create(configuration(1), domains=1)
    granted = most_granted([host], stated(2, 10.0))
    assert 10.0 * TOLERANCE.window <= granted <= allowed_in_window(10.0)


def test_an_organisation_that_nobody_says_anything_of_gets_no_unlimited_permits():
    host = create(configuration(1))
    assert host.ask(want(None)) == PermitsUnavailable()
    host.configuration = configuration(2, rule(0.0))
    assert host.ask(want(None)) == PermitGrant(counts=(UNLIMITED,))


def test_permits_in_advance_for_an_unknown_organisation_keep_no_other_from_its_own():
    host = create(configuration(1, rule(0.0)))
    unknown = want(None, name="unknown", needed=0)
    assert host.ask(want(None), unknown) == PermitGrant(counts=(UNLIMITED, 0))


def test_a_removed_limit_holds_until_the_control_host_has_heard_of_its_removal():
    host = create(configuration(1, rule(3.0)))
    assert host.ask(want(stated(1, 3.0))).counts[0] < 10
    host.configuration = configuration(2, rule(0.0))
    assert host.ask(want(stated(1, 3.0))) == PermitGrant(counts=(UNLIMITED,))


def test_a_removed_organisation_is_not_without_a_limit_for_a_host_with_an_older_copy():
    host = create(configuration(2))
    assert 0 <= host.ask(want(stated(1, 3.0))).counts[0] < 10


def test_a_control_host_with_the_newer_copy_grants_by_it():
    host = create(configuration(2, rule(300.0)))
    assert host.ask(want(stated(1, 3.0))).counts[0] > 10


def test_a_host_with_an_older_copy_does_not_undo_what_a_newer_one_has_stated():
    host = create(configuration(1, rule(300.0)))
    assert host.ask(want(stated(3, 3.0))).counts[0] < 10
    host.clock.advance(5.0)
    assert host.ask(want(stated(2, 300.0))).counts[0] < 10
    host.clock.advance(5.0)
    assert host.ask(want(None)).counts[0] < 10


def test_a_stated_limit_ends_with_a_copy_that_is_as_new():
    host = create(configuration(1, rule(300.0)))
    host.ask(want(stated(2, 3.0)))
    host.configuration = configuration(2, rule(300.0))
    host.clock.advance(5.0)
    assert host.ask(want(stated(2, 300.0))).counts[0] > 10


@pytest.mark.parametrize(
    "rate", [float("nan"), float("inf"), -1.0, 0.0, 1.7e308], ids=str
)
def test_a_stated_limit_that_makes_no_sense_ends_no_control_host(rate):
    host = create(configuration(1, rule(3.0)))
    host.ask(want(stated(2, rate)))
    host.clock.advance(5.0)
    assert 0 < host.ask(want(stated(2, 3.0))).counts[0] < 10


def test_two_rules_of_one_name_do_not_hide_the_limit_that_one_of_them_has():
    host = create(configuration(1, rule(0.0), rule(3.0), rule(0.0)))
    assert 0 < host.ask(want(None)).counts[0] < 10


def test_an_old_build_states_no_limit_and_is_read():
    request = PermitRequest(wants=(PermitWant(name="o", wanted=1, needed=1),))
    assert decode(encode(request)).wants[0].limit is None
