"""Who is there: the roster of hosts, and which replicas vote."""

from __future__ import annotations

from chicoryhold.consensus.messages import Members
from chicoryhold.control.membership import next_members
from chicoryhold.membership.messages import (
    ControlHost,
    ControlPresence,
    EntryHost,
    SeenEntryHost,
)
from chicoryhold.membership.registry import HostRegistry, by_nearness
from tests.conftest import FakeClock


def control(name: str, domain: str = "north-a", region: str = "north") -> ControlHost:
    return ControlHost(name=name, domain=domain, region=region)


def entry(name: str, *, ready: bool = True, region: str = "north") -> EntryHost:
    return EntryHost(
        name=name,
        domain=f"{region}-a",
        region=region,
        address=f"{name}:80",
        ready=ready,
    )


def a_roster() -> tuple[HostRegistry, FakeClock]:
    clock = FakeClock()
    return HostRegistry(own=control("c1"), clock=clock), clock


def named(registry: HostRegistry, region: str = "north") -> list[str]:
    hosts = registry.entry_hosts(region=region)
    return sorted(host.name for host in hosts)


def test_a_silent_entry_host_is_no_longer_named_after_two_seconds():
    registry, clock = a_roster()
    registry.hear_entry(entry("e1"))
    clock.advance(1.5)
    registry.hear_entry(entry("e2"))
    clock.advance(1.0)
    assert named(registry) == ["e2"]


def test_a_leaving_entry_host_is_no_longer_named_at_once():
    registry, _ = a_roster()
    registry.hear_entry(entry("e1"))
    registry.hear_entry(entry("e2"))
    assert registry.hear_entry(entry("e1", ready=False))
    assert named(registry) == ["e2"]


def test_hosts_heard_elsewhere_count_from_when_they_were_heard():
    registry, clock = a_roster()
    presence = ControlPresence(
        host=control("c2"),
        entry_hosts=(SeenEntryHost(host=entry("e1"), age=1.5),),
        targets=(),
    )
    registry.hear_control(presence)
    assert named(registry) == ["e1"]
    clock.advance(0.6)
    assert named(registry) == []


def test_an_older_word_of_a_host_does_not_replace_a_newer_one():
    registry, clock = a_roster()
    clock.advance(1.0)
    registry.hear_entry(entry("e1", ready=False))
    presence = ControlPresence(
        host=control("c2"),
        entry_hosts=(SeenEntryHost(host=entry("e1"), age=0.5),),
        targets=(),
    )
    registry.hear_control(presence)
    assert named(registry) == []


def test_callers_of_a_region_without_hosts_get_those_of_the_others():
    registry, _ = a_roster()
    registry.hear_entry(entry("e1", region="south"))
    assert named(registry) == ["e1"]


def test_control_hosts_are_sorted_by_nearness():
    hosts = [
        control("far", "south-a", "south"),
        control("near", "north-b"),
        control("own", "north-a"),
    ]
    ordered = by_nearness(hosts, domain="north-a", region="north")
    assert [host.name for host in ordered] == ["own", "near", "far"]


def step(members: Members, joining: list[str], **fields: object) -> Members | None:
    return next_members(
        members, joining=joining, caught_up=lambda _: True, voter_limit=3, **fields
    )


def test_a_sixth_replica_stays_a_learner_where_the_voters_are_complete():
    members = Members(voters=("a.1", "b.1", "c.1"), learners=("d.1",))
    assert step(members, ["d.1"]) is None


def test_a_learner_takes_the_place_of_a_silent_voter():
    members = Members(voters=("a.1", "b.1", "c.1"), learners=("d.1",))
    grown = step(members, ["d.1"], silent=("b.1",))
    assert grown == Members(voters=("a.1", "b.1", "c.1", "d.1"))
    assert step(grown, [], silent=("b.1",)).voters == ("a.1", "c.1", "d.1")


def test_a_replica_that_lost_its_disk_replaces_its_own_former_self():
    members = Members(voters=("a.1", "b.1", "c.1"), learners=("b.2",))
    grown = step(members, ["b.2"])
    assert grown.voters == ("a.1", "b.1", "c.1", "b.2")
    assert step(grown, []).voters == ("a.1", "c.1", "b.2")
