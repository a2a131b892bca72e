"""The registry of live hosts."""

from __future__ import annotations

import msgspec

from chicoryhold.membership.messages import (
    ControlHost,
    ControlPresence,
    EntryHost,
    SeenEntryHost,
)
from chicoryhold.membership.registry import HostRegistry, sort_by_proximity
from tests.conftest import FakeClock


def control_host(
    name: str, domain: str = "north-a", region: str = "north"
) -> ControlHost:
    return ControlHost(name=name, domain=domain, region=region)


def entry_host(
    name: str, *, ready: bool = True, region: str = "north",
    reaches_targets: bool = True, current: bool = True,
) -> EntryHost:  # fmt: skip
    return EntryHost(
        name=name,
        domain=f"{region}-a",
        region=region,
        address=f"{name}:80",
        ready=ready,
        reaches_targets=reaches_targets,
        current=current,
    )


def make_registry() -> tuple[HostRegistry, FakeClock]:
    clock = FakeClock()
    return HostRegistry(own=control_host("c1"), clock=clock), clock


def ready_names(registry: HostRegistry, region: str = "north") -> list[str]:
    hosts = registry.entry_hosts(region=region)
    return sorted(host.name for host in hosts)


def test_a_silent_entry_host_is_not_listed_after_two_seconds():
    registry, clock = make_registry()
    registry.record_entry_report(entry_host("e1"))
    clock.advance(1.5)
    registry.record_entry_report(entry_host("e2"))
    clock.advance(1.0)
    assert ready_names(registry) == ["e2"]


def test_a_leaving_entry_host_is_removed_from_the_list_at_once():
    registry, _ = make_registry()
    registry.record_entry_report(entry_host("e1"))
    registry.record_entry_report(entry_host("e2"))
    assert registry.record_entry_report(entry_host("e1", ready=False))
    assert ready_names(registry) == ["e2"]


def test_hosts_learned_from_a_peer_time_out_by_the_age_of_their_report():
    registry, clock = make_registry()
    presence = ControlPresence(
        host=control_host("c2"),
        entry_hosts=(SeenEntryHost(host=entry_host("e1"), age=1.5),),
        targets=(),
    )
    registry.merge_control_presence(presence)
    assert ready_names(registry) == ["e1"]
    clock.advance(0.6)
    assert ready_names(registry) == []


def test_an_older_report_does_not_replace_a_newer_one():
    registry, clock = make_registry()
    clock.advance(1.0)
    registry.record_entry_report(entry_host("e1", ready=False))
    presence = ControlPresence(
        host=control_host("c2"),
        entry_hosts=(SeenEntryHost(host=entry_host("e1"), age=0.5),),
        targets=(),
    )
    registry.merge_control_presence(presence)
    assert ready_names(registry) == []


def test_callers_of_a_region_without_hosts_get_those_of_the_others():
    registry, _ = make_registry()
    registry.record_entry_report(entry_host("e1", region="south"))
    assert ready_names(registry) == ["e1"]


def test_callers_are_handed_over_from_hosts_that_reach_no_target():
    registry, _ = make_registry()
    registry.record_entry_report(entry_host("e1", reaches_targets=False))
    registry.record_entry_report(entry_host("e2"))
    assert ready_names(registry) == ["e2"]


def test_hosts_that_reach_no_target_stay_listed_if_few_others_remain():
    registry, _ = make_registry()
    registry.record_entry_report(entry_host("far", region="south"))
    for name in ("e1", "e2", "e3"):
        registry.record_entry_report(entry_host(name, reaches_targets=False))
    assert ready_names(registry) == ["e1", "e2", "e3"]
    registry.record_entry_report(entry_host("e4"))
    assert ready_names(registry) == ["e1", "e2", "e3", "e4"]


def test_relay_hosts_reach_targets_and_come_from_every_region():
    registry, _ = make_registry()
    own = entry_host("e5", reaches_targets=False)
    registry.record_entry_report(own)
    registry.record_entry_report(entry_host("cut", reaches_targets=False))
    registry.record_entry_report(entry_host("leaving", ready=False))
    for number in range(40):
        registry.record_entry_report(entry_host(f"n{number}"))
    registry.record_entry_report(entry_host("s1", region="south"))
    names = {host.name for host in registry.relay_hosts(own)}
    assert len(names) == 16
    assert "s1" in names
    assert not names & {"e5", "cut", "leaving"}


def test_hosts_that_are_cut_off_together_get_different_relay_hosts():
    registry, _ = make_registry()
    for number in range(64):
        registry.record_entry_report(entry_host(f"n{number:02}"))
    first = registry.relay_hosts(entry_host("n00", reaches_targets=False))
    second = registry.relay_hosts(entry_host("n32", reaches_targets=False))
    assert not set(first) & set(second)


def test_a_report_without_the_statement_counts_as_reaching_targets():
    host = msgspec.convert(
        {"name": "e", "domain": "d", "region": "r", "address": "e:80", "ready": True},
        EntryHost,
    )
    assert host.reaches_targets


def test_control_hosts_are_sorted_by_proximity():
    hosts = [
        control_host("far", "south-a", "south"),
        control_host("near", "north-b"),
        control_host("own", "north-a"),
    ]
    ordered = sort_by_proximity(hosts, domain="north-a", region="north")
    assert [host.name for host in ordered] == ["own", "near", "far"]
