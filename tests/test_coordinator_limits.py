"""Tests of limits that targets name, at their coordinator."""

from __future__ import annotations

from chicoryhold.hosts.messages import (
    Admit,
    Admitted,
    Hello,
    KnownLimit,
    NotAdmitted,
    Release,
)
from chicoryhold.load.target_rules import check_limit
from chicoryhold.steering.coordinator import Coordinator
from tests.coordinators import admit, announcement, create_coordinator, take_answers


def limited_coordinator(clock, *, targets=1, limit=4.0) -> Coordinator:
    """Return a coordinator of targets with 50 slots, of which the first has a limit."""
    coordinator = create_coordinator(clock)
    for number in range(targets):
        address = f"t{number + 1}"
        coordinator.announce(announcement(address=address, instance=address, slots=50))
    coordinator.targets.record_limit("t1", limit)
    clock.advance(1.0)
    return coordinator


def renew_targets(coordinator: Coordinator, clock) -> None:
    for target in list(coordinator.targets.targets):
        coordinator.announce(
            announcement(
                address=target.address,
                instance=target.instance,
                sequence=int(clock.now() * 1000),
                slots=target.slots,
            )
        )


def grants_by_address(coordinator: Coordinator, clock, *, seconds: float) -> dict:
    """Send 100 requests a second; return when each target was granted a slot."""
    granted: dict[str, list[float]] = {}
    for step in range(int(seconds * 100)):
        clock.advance(0.01)
        if step % 100 == 0:
            renew_targets(coordinator, clock)
        request = Admit(organisation="", service="menus", patience=0.5)
        coordinator.admit(step, request)
        coordinator.tick()
        for answer in take_answers(coordinator):
            if isinstance(answer, Admitted):
                granted.setdefault(answer.address, []).append(clock.now())
                coordinator.release(Release(grant=answer.grant, ok=True, latency=0.1))
    return granted


def test_a_target_with_a_limit_gets_no_more_slots_a_second(clock):
    coordinator = limited_coordinator(clock)
    times = grants_by_address(coordinator, clock, seconds=20)["t1"]
    assert check_limit(times, rate=4.0, since=0.0).is_kept
    assert len(times) >= 0.9 * 4 * 20


def test_requests_move_to_targets_without_a_limit(clock):
    coordinator = limited_coordinator(clock, targets=2)
    granted = grants_by_address(coordinator, clock, seconds=10)
    assert check_limit(granted["t1"], rate=4.0, since=0.0).is_kept
    assert len(granted["t1"]) + len(granted["t2"]) == 1000


def test_a_request_that_would_wait_too_long_for_a_limit_is_refused_at_once(clock):
    coordinator = limited_coordinator(clock)
    grants_by_address(coordinator, clock, seconds=5)
    coordinator.admit(10_000, Admit(organisation="", service="menus", patience=0.2))
    refused = take_answers(coordinator)[0]
    assert isinstance(refused, NotAdmitted)
    assert refused.retry_after >= 0.25


def test_a_limit_ends_with_an_answer_that_names_none(clock):
    coordinator = limited_coordinator(clock)
    (granted,) = admit(coordinator)
    ended = Release(grant=granted.grant, ok=True, latency=0.1, has_no_limit=True)
    coordinator.release(ended)
    granted = grants_by_address(coordinator, clock, seconds=2)
    assert len(granted["t1"]) == 200


def test_a_failure_says_nothing_about_a_limit(clock):
    coordinator = limited_coordinator(clock)
    (granted,) = admit(coordinator)
    coordinator.release(Release(grant=granted.grant, ok=False, latency=0.1))
    times = grants_by_address(coordinator, clock, seconds=10)["t1"]
    assert check_limit(times, rate=4.0, since=0.0).is_kept


def test_the_next_coordinator_learns_limits_from_heartbeats(clock):
    coordinator = create_coordinator(clock)
    limits = (KnownLimit(address="t1", rate=4.0), KnownLimit(address="t2", rate=4.0))
    coordinator.announce(announcement(address="t1", slots=50))
    coordinator.record_held_slots(Hello(host="h", limits=limits))
    coordinator.announce(announcement(address="t2", instance="i2", slots=50))
    granted = grants_by_address(coordinator, clock, seconds=10)
    for address in ("t1", "t2"):
        assert check_limit(granted[address], rate=4.0, since=0.0).is_kept


def test_a_new_process_at_the_address_has_no_limit(clock):
    coordinator = limited_coordinator(clock)
    coordinator.announce(announcement(address="t1", instance="new", slots=50))
    granted = grants_by_address(coordinator, clock, seconds=2)
    assert len(granted["t1"]) == 200


def test_a_late_answer_of_a_former_process_says_nothing_of_the_next_ones_limit(clock):
    """Guards against a limit that the answer of another process ended."""
    coordinator = create_coordinator(clock)
    coordinator.announce(announcement(slots=50))
    (former,) = admit(coordinator)
    coordinator.announce(announcement(instance="next", slots=50))
    coordinator.targets.record_limit("t1", 4.0)
    ended = Release(grant=former.grant, ok=True, latency=0.1, has_no_limit=True)
    coordinator.release(ended)
    clock.advance(1.0)
    times = grants_by_address(coordinator, clock, seconds=10)["t1"]
    assert check_limit(times, rate=4.0, since=0.0).is_kept


def test_failures_of_a_former_process_eject_not_the_next_one(clock):
    coordinator = create_coordinator(clock)
    coordinator.announce(announcement(slots=50))
    former = [admit(coordinator)[0].grant for _ in range(20)]
    coordinator.announce(announcement(instance="next", slots=50))
    for grant in former:
        coordinator.release(Release(grant=grant, ok=False, latency=0.1))
    assert [type(answer) for answer in admit(coordinator)] == [Admitted]
