"""Which entry hosts callers are told to use, and for how long."""

from __future__ import annotations

from random import Random

import pytest

from chicoryhold.membership.look_ups import (
    LIFETIME_SECONDS,
    MAX_ADDRESSES,
    REMOTE_LIFETIME_SECONDS,
    LookUps,
)
from chicoryhold.membership.messages import ControlHost, ControlPresence, EntryHost
from chicoryhold.membership.registry import HostRegistry
from tests.conftest import FakeClock

REPORT_SECONDS = 0.5


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def registry(clock) -> HostRegistry:
    own = ControlHost(name="c-north", domain="north-a", region="north")
    return HostRegistry(own=own, clock=clock)


def look_ups(registry: HostRegistry) -> LookUps:
    return LookUps(registry=registry, random=Random(1))


def report_entry_hosts(registry: HostRegistry, domain: str, count: int = 2) -> None:
    for number in range(count):
        registry.record_entry_report(
            EntryHost(
                name=f"{domain}-{number}",
                domain=domain,
                region=domain.partition("-")[0],
                address=f"{domain}-{number}:80",
                ready=True,
            )
        )


def report_control_host(registry: HostRegistry, domain: str) -> None:
    host = ControlHost(
        name=f"c-{domain}", domain=domain, region=domain.partition("-")[0]
    )
    registry.merge_control_presence(
        ControlPresence(host=host, entry_hosts=(), targets=())
    )


def lifetime(registry: HostRegistry, domain: str) -> float:
    region = domain.partition("-")[0]
    return look_ups(registry).answer(domain=domain, region=region).lifetime


def pass_time(clock, registry, *domains: str, seconds: float) -> None:
    """Let time pass in which only the entry hosts of ``domains`` report."""
    until = clock.now() + seconds
    while clock.now() < until:
        clock.advance(REPORT_SECONDS)
        for domain in domains:
            report_entry_hosts(registry, domain)


def test_callers_whose_control_hosts_are_down_need_not_ask_again_soon(registry, clock):
    # Each look-up of theirs waits a second for every nearer control host that is down.
    report_control_host(registry, "south-a")
    report_entry_hosts(registry, "south-a")
    assert lifetime(registry, "south-a") == LIFETIME_SECONDS
    pass_time(clock, registry, "south-a", seconds=3.0)
    assert lifetime(registry, "south-a") == REMOTE_LIFETIME_SECONDS
    report_control_host(registry, "south-a")
    assert lifetime(registry, "south-a") == LIFETIME_SECONDS


def test_hosts_of_a_domain_that_is_lost_as_a_whole_are_not_named_for_long(
    registry, clock
):
    report_control_host(registry, "south-a")
    report_entry_hosts(registry, "south-a")
    for _ in range(8):
        pass_time(clock, registry, "south-b", seconds=REPORT_SECONDS)
        assert lifetime(registry, "south-a") == LIFETIME_SECONDS


def test_callers_of_a_domain_without_control_hosts_ask_as_often_as_others(
    registry, clock
):
    pass_time(clock, registry, "south-a", "north-a", seconds=5.0)
    assert lifetime(registry, "south-a") == LIFETIME_SECONDS
    assert lifetime(registry, "north-a") == LIFETIME_SECONDS


def test_all_hosts_of_a_large_region_are_named_equally_often(registry):
    count = 3 * MAX_ADDRESSES
    report_entry_hosts(registry, "south-a", count)
    answers = look_ups(registry)
    named = [answers.answer(domain="south-a", region="south") for _ in range(300)]
    assert all(len(set(a.addresses)) == MAX_ADDRESSES for a in named)
    times = [address for answer in named for address in answer.addresses]
    counts = [times.count(f"south-a-{n}:80") for n in range(count)]
    assert min(counts) > 60 and max(counts) < 140


def test_there_is_no_answer_while_no_host_is_ready(registry):
    assert look_ups(registry).answer(domain="south-a", region="south") is None
