"""Tests of coordinators: targets, slots and waiting requests."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings, strategies as st

from chicoryhold.hosts.messages import (
    Admit,
    Admitted,
    HeldSlots,
    Hello,
    NotAdmitted,
    Release,
)
from chicoryhold.state.table import OrganisationLimits
from chicoryhold.steering.coordinator import TARGET_DISCOVERY_SECONDS
from chicoryhold.steering.targets import ANNOUNCEMENT_TTL_SECONDS
from tests.conftest import FakeClock
from tests.coordinators import admit, announcement, create_coordinator, take_answers


@settings(max_examples=300)
@given(seed=st.integers(0, 2**32))
def test_no_target_ever_holds_more_than_its_slots(seed):
    random = Random(seed)
    clock = FakeClock()
    coordinator = create_coordinator(clock)
    held: dict[str, str] = {}
    deadlines: dict[str, float] = {}
    sequence = 0
    for step in range(200):
        clock.advance(random.random() * 0.2)
        sequence += 1
        name = f"t{random.randrange(3)}"
        action = random.random()
        if action < 0.3:
            coordinator.announce(
                announcement(address=name, instance=name, sequence=sequence)
            )
        elif action < 0.35:
            coordinator.announce(
                announcement(address=name, instance=f"{name}.{step}", sequence=sequence)
            )
        elif action < 0.7:
            coordinator.admit(
                step, Admit(organisation="o", service="menus", patience=2.0)
            )
        elif held:
            grant = random.choice(list(held))
            del held[grant]
            ok = random.random() < 0.8
            coordinator.release(Release(grant=grant, ok=ok, latency=0.1))
        # A host finishes its request by its deadline, patience / 0.9 after it asked.
        held = {grant: held[grant] for grant in held if deadlines[grant] > clock.now()}
        coordinator.tick()
        for answer in take_answers(coordinator):
            if isinstance(answer, Admitted):
                held[answer.grant] = answer.address
                deadlines[answer.grant] = clock.now() - answer.waited + 2.0 / 0.9
        for name in {"t0", "t1", "t2"}:
            assert list(held.values()).count(name) <= 2


def test_draining_target_receives_no_requests_even_if_an_older_announcement_follows(
    clock,
):
    coordinator = create_coordinator(clock)
    coordinator.announce(announcement(sequence=1))
    coordinator.announce(announcement(sequence=3, draining=True))
    coordinator.announce(announcement(sequence=2))
    coordinator.announce(announcement(sequence=4))
    assert isinstance(admit(coordinator)[0], NotAdmitted)


def test_target_that_stops_renewing_receives_no_requests(clock):
    coordinator = create_coordinator(clock)
    coordinator.announce(announcement())
    clock.advance(ANNOUNCEMENT_TTL_SECONDS + 0.01)
    assert isinstance(admit(coordinator)[0], NotAdmitted)


def test_replaced_process_at_an_address_cannot_announce_again(clock):
    coordinator = create_coordinator(clock)
    coordinator.announce(announcement(instance="old", sequence=9))
    coordinator.announce(announcement(instance="new", sequence=1, service="slots"))
    assert not coordinator.announce(announcement(instance="old", sequence=10)).accepted
    assert isinstance(admit(coordinator)[0], NotAdmitted)


def test_failing_target_is_ejected_whatever_load_it_announces(clock):
    coordinator = create_coordinator(clock)
    coordinator.announce(announcement(address="bad", slots=5))
    for _ in range(3):
        grant = admit(coordinator)[0]
        coordinator.release(Release(grant=grant.grant, ok=False, latency=0.1))
    coordinator.announce(announcement(address="bad", slots=5, sequence=2, load=0.0))
    coordinator.announce(announcement(address="good", slots=1))
    assert [answer.address for answer in admit(coordinator)] == ["good"]
    assert admit(coordinator) == []


def test_new_coordinator_counts_slots_that_hosts_still_hold(clock):
    coordinator = create_coordinator(clock, epoch=2)
    held = (HeldSlots(address="t1", count=2),)
    coordinator.record_held_slots(Hello(host="a-1", held=held))
    coordinator.announce(announcement(slots=2))
    assert admit(coordinator) == []
    coordinator.record_held_slots(Hello(host="a-1", held=()))
    coordinator.tick()
    assert isinstance(take_answers(coordinator)[0], Admitted)


def test_slot_that_a_host_never_releases_is_freed_after_its_deadline(clock):
    coordinator = create_coordinator(clock)
    coordinator.announce(announcement(slots=1))
    admit(coordinator)
    clock.advance(1 / 0.9)
    coordinator.announce(announcement(slots=1, sequence=2))
    coordinator.tick()
    assert admit(coordinator, ticket=2) == []
    clock.advance(1.2)
    coordinator.announce(announcement(slots=1, sequence=3))
    coordinator.tick()
    take_answers(coordinator)
    assert isinstance(admit(coordinator, ticket=3)[0], Admitted)


def test_waiting_request_is_refused_when_its_patience_ends(clock):
    coordinator = create_coordinator(clock)
    coordinator.announce(announcement(slots=1))
    admit(coordinator)
    assert admit(coordinator, ticket=2) == []
    clock.advance(1.01)
    coordinator.announce(announcement(slots=1, sequence=2))
    coordinator.tick()
    assert isinstance(take_answers(coordinator)[0], NotAdmitted)


def test_token_of_a_request_that_found_no_slot_is_refunded(clock):
    coordinator = create_coordinator(
        clock, limits=OrganisationLimits(rate=0.01, burst=1)
    )
    clock.advance(200)
    request = Admit(organisation="o", service="menus", patience=1.0)
    for _ in range(3):
        coordinator.admit(1, request)
        assert take_answers(coordinator)[0].reason == "no_target"
    coordinator.announce(announcement())
    coordinator.admit(1, request)
    assert isinstance(take_answers(coordinator)[0], Admitted)
    coordinator.admit(1, request)
    assert take_answers(coordinator)[0].reason == "rate_exceeded"


def test_a_request_waits_until_a_new_coordinator_knows_the_targets(clock):
    # Guards against no_target from each new coordinator, until targets have announced
    # themselves to it.
    coordinator = create_coordinator(clock)
    assert admit(coordinator, ticket=1) == []
    clock.advance(1.0)
    coordinator.announce(announcement())
    assert isinstance(take_answers(coordinator)[0], Admitted)


def test_a_request_is_refused_once_a_new_coordinator_knows_that_it_has_no_target(clock):
    coordinator = create_coordinator(clock, limits=OrganisationLimits(rate=1, burst=1))
    clock.advance(0.2)
    coordinator.admit(1, Admit(organisation="", service="menus", patience=9.0))
    clock.advance(TARGET_DISCOVERY_SECONDS - 0.2)
    coordinator.announce(announcement(service="slots"))
    coordinator.tick()
    assert take_answers(coordinator)[0].reason == "no_target"
    assert admit(coordinator, ticket=2)[0].reason == "no_target"
