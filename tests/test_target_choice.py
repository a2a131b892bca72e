"""Target choice: affinity, load, allowed regions, cold and failing targets."""

from __future__ import annotations

import collections

import attrs
import pytest

from chicoryhold.routing.configuration import (
    RouteRule,
    ServiceRule,
    WeightedService,
)
from chicoryhold.routing.selection import (
    Choice,
    HostLocation,
    Overloaded,
    SelectionCriteria,
    TargetPermits,
)
from chicoryhold.routing.spill import SpilloverController
from chicoryhold.routing.stated_limits import StatedLimits
from chicoryhold.routing.target_choice import TargetChooser
from chicoryhold.routing.target_statements import TargetStatements
from chicoryhold.routing.target_view import LoadReport
from chicoryhold.state.targets import TargetState
from tests.conftest import FakeClock
from tests.fleet_permits import FleetPermits
from tests.statement_fakes import a_statements
from tests.test_targets_state import a_record

REGIONS = {"north-a": "north", "north-b": "north", "south-a": "south"}
ROUTE = RouteRule(
    name="r",
    host="h",
    prefix="/",
    parts=(WeightedService(service="menu", weight=1),),
    objective=0.3,
    sticky=True,
)


@attrs.define(kw_only=True)
class FakePermits:
    """Grants ``remaining`` permits, and records the targets that they are for."""

    remaining: int = 0
    asked: list[str] = attrs.field(factory=list)

    def take(self, instance: str, *, rate: float, timeout: float) -> bool:
        self.asked.append(instance)
        self.remaining -= 1
        return self.remaining >= 0


def a_chooser(
    *domains: str, clock: FakeClock | None = None, host: str = "own",
    limits: StatedLimits | None = None, permits: TargetPermits | None = None,
    statements: TargetStatements | None = None,
) -> TargetChooser:  # fmt: skip
    clock = clock or FakeClock()
    chooser = TargetChooser(
        location=HostLocation(
            host=host,
            domain="north-a",
            region="north",
            regions=REGIONS,
            domain_round_trip=0.001,
            region_round_trip=0.11,
        ),
        clock=clock,
        statements=statements or a_statements(clock, limits=limits),
        permits=permits or FakePermits(),
    )
    apply(chooser, [target(n, domain) for n, domain in enumerate(domains)])
    return chooser


def target(number: int, domain: str, **fields: object):
    return a_record(
        instance=f"i-{number}", address=f"10.0.0.{number}:80", domain=domain, **fields
    )


def apply(chooser: TargetChooser, records, evacuated=frozenset()) -> None:
    chooser.update(
        records,
        evacuated=evacuated,
        service_rule=lambda name: ServiceRule(
            name=name, cold_seconds=3.0, cold_rate=16.0
        ),
        revision=41,
    )


def criteria(name: str = "thing", **fields: object) -> SelectionCriteria:
    return SelectionCriteria(route=ROUTE, service="menu", affinity_key=name, **fields)


def chosen(chooser: TargetChooser, request: SelectionCriteria) -> str:
    choice = chooser.choose(request)
    chooser.release(choice)
    return choice.view.record.instance


def test_all_hosts_choose_the_same_target_for_an_affinity_key():
    choosers = [a_chooser("north-a", "north-a", "north-b") for _ in range(3)]
    for number in range(30):
        request = criteria(f"thing {number}")
        assert len({chosen(chooser, request) for chooser in choosers}) == 1


def test_affinity_keys_spread_over_the_targets_of_the_region():
    chooser = a_chooser("north-a", "north-a", "north-b", "north-b")
    counts = collections.Counter(
        chosen(chooser, criteria(f"thing {number}")) for number in range(200)
    )
    assert len(counts) == 4
    assert min(counts.values()) > 20


def test_a_full_queue_at_the_preferred_target_moves_the_key_to_another():
    clock = FakeClock()
    chooser = a_chooser("north-a", "north-a", clock=clock)
    request = criteria()
    choice = chooser.choose(request)
    preferred = choice.view.record.instance
    load = LoadReport(running=4, waiting=12, slots=4)
    chooser.record_success(choice, request, seconds=0.3, load=load)
    assert chosen(chooser, request) != preferred


def test_other_regions_get_nothing_while_the_local_region_has_capacity():
    chooser = a_chooser("north-a", "north-b", "south-a", "south-a")
    instances = {chosen(chooser, criteria(f"t{n}")) for n in range(50)}
    assert instances == {"i-0", "i-1"}


def test_a_request_stays_in_its_allowed_regions():
    chooser = a_chooser("north-a", "south-a")
    request = criteria(allowed_regions=frozenset({"south"}))
    assert chosen(chooser, request) == "i-1"
    impossible = criteria(allowed_regions=frozenset({"west"}))
    assert chooser.choose(impossible) is None


def test_an_evacuated_domain_gets_nothing_and_is_cold_after_the_evacuation():
    clock = FakeClock()
    chooser = a_chooser("north-a", clock=clock)
    records = [target(0, "north-a")]
    apply(chooser, records, frozenset({"north-a"}))
    assert chooser.choose(criteria()) is None
    apply(chooser, records)
    assert not isinstance(chooser.choose(criteria()), Choice)
    clock.advance(3.1)
    assert chosen(chooser, criteria()) == "i-0"


def test_draining_and_gone_targets_and_cold_ones_without_a_permit_get_nothing():
    chooser = a_chooser("north-a")
    apply(
        chooser,
        [
            target(0, "north-a", state=TargetState.DRAINING),
            target(1, "north-a", state=TargetState.GONE),
            target(2, "north-a", cold_seconds=2.0),
        ],
    )
    assert not isinstance(chooser.choose(criteria()), Choice)
    apply(chooser, [target(0, "north-a", state=TargetState.DRAINING)])
    assert chooser.choose(criteria()) is None


def address_of(chooser: TargetChooser, instance: str) -> str:
    return chooser.views[instance].record.address


def test_a_target_at_an_address_in_avoid_is_not_chosen():
    chooser = a_chooser("north-a", "north-a")
    first = chosen(chooser, criteria())
    avoid = frozenset({address_of(chooser, first)})
    assert chosen(chooser, criteria(avoid=avoid)) != first


def test_another_instance_at_an_address_in_avoid_is_not_chosen():
    """Guards against REFUSED: what had refused was asked again under a new name."""
    chooser = a_chooser("north-a", "north-a")
    first = chosen(chooser, criteria())
    address = address_of(chooser, first)
    other = next(
        v.record for v in chooser.views.values() if v.record.address != address
    )
    for number in range(20):
        successor = a_record(instance=f"n-{number}", born_ms=2_000, address=address)
        apply(chooser, [other, successor])
        avoid = frozenset({address})
        assert chosen(chooser, criteria(avoid=avoid)) == other.instance


def test_failures_of_most_targets_do_not_move_all_requests_to_another_region():
    # Guards against a cascade: timeouts under load ejected one target after another,
    # until all requests of a region went to another region within two seconds.
    chooser = a_chooser("north-a", "north-a", "north-b", "north-b", "south-a")
    for number in range(200):
        request = criteria(f"t{number}")
        choice = chooser.choose(request)
        chooser.record_failure(choice, unreachable=False)
    instances = {chosen(chooser, criteria(f"t{number}")) for number in range(50)}
    assert "i-4" not in instances


def test_an_unreachable_target_is_ejected():
    clock = FakeClock()
    chooser = a_chooser("north-a", "north-a", "north-b", clock=clock)
    request = criteria()
    choice = chooser.choose(request)
    preferred = choice.view.record.instance
    assert chooser.record_failure(choice, unreachable=True)
    assert chosen(chooser, request) != preferred


def test_a_region_with_few_targets_spills_a_fixed_share_of_the_keys_from_the_start():
    # A share that grows from zero is too slow for a region with a third of the others'
    # targets: after a cold start its two targets got the load of six and requests
    # queued.
    chooser = a_chooser("north-a", *["south-a"] * 5)
    keys = [f"t{number}" for number in range(300)]
    first = [chosen(chooser, criteria(key)) for key in keys]
    remote_share = sum(instance != "i-0" for instance in first) / len(first)
    assert 0.55 < remote_share < 0.8
    assert [chosen(chooser, criteria(key)) for key in keys] == first


def spillover_shares(load: float, *, initial_share: float = 0.0) -> list[float]:
    """Return the spillover share every 50 ms for two seconds."""
    clock = FakeClock()
    spillover = SpilloverController(clock=clock)
    shares = []
    for _ in range(41):
        shares.append(
            spillover.observe("menu", load, initial_share=lambda: initial_share)
        )
        clock.advance(0.05)
    return shares


def test_the_spillover_share_changes_by_at_most_the_permitted_rate():
    growing = spillover_shares(3.0)
    assert 0.05 < growing[-1] - growing[0] <= 0.15
    shrinking = spillover_shares(0.3, initial_share=0.6)
    assert 0 < shrinking[0] - shrinking[-1] <= 0.15


def test_the_spillover_share_is_kept_at_medium_load():
    # A key that moves back starts with a late response, while the target that it moved
    # to already has an affinity hit.
    assert spillover_shares(0.5, initial_share=0.6)[-1] == 0.6


def test_a_key_of_an_evacuated_domain_gets_one_new_preferred_target():
    # Guards against hosts spreading such keys by load, so that no remaining target
    # gets affinity hits for them.
    choosers = [a_chooser("north-a", "north-a", "north-b", "north-b") for _ in "abc"]
    records = [target(n, d) for n, d in enumerate(["north-a"] * 2 + ["north-b"] * 2)]
    for chooser in choosers:
        apply(chooser, records, frozenset({"north-a"}))
    for number in range(30):
        request = criteria(f"thing {number}")
        assert len({chosen(chooser, request) for chooser in choosers}) == 1
        for chooser in choosers:
            choice = chooser.choose(request)
            assert choice.is_affinity_hit
            chooser.release(choice)


def test_a_key_that_spills_over_has_one_preferred_target_there():
    choosers = [
        a_chooser("north-a", "south-a", "south-a", "south-a", "south-a") for _ in "abc"
    ]
    for number in range(60):
        request = criteria(f"thing {number}")
        assert len({chosen(chooser, request) for chooser in choosers}) == 1


def report_full(chooser: TargetChooser, count: int, *, waiting: int = 12) -> None:
    """Let the first ``count`` targets report that all slots and a queue are in use."""
    for number in range(count):
        choice = Choice(
            view=chooser.views[f"i-{number}"],
            expected_latency=0.1,
            queue_wait=0.0,
            processing_time=0.1,
            is_affinity_hit=True,
        )
        chooser.record_success(
            choice,
            criteria(),
            seconds=0.1,
            load=LoadReport(running=4, waiting=waiting, slots=4),
        )


def test_a_request_is_refused_if_it_would_be_late_in_every_queue():
    chooser = a_chooser("north-a", "north-b")
    report_full(chooser, 1)
    assert isinstance(chooser.choose(criteria()), Choice)
    report_full(chooser, 2)
    assert isinstance(chooser.choose(criteria()), Overloaded)


def test_less_urgent_requests_are_refused_first():
    chooser = a_chooser("north-a")
    report_full(chooser, 1, waiting=2)
    assert isinstance(chooser.choose(criteria(rank=0)), Choice)
    assert isinstance(chooser.choose(criteria(rank=4)), Overloaded)


def test_one_busy_target_among_idle_ones_causes_no_refusal():
    chooser = a_chooser("north-a", "north-b", "north-b")
    report_full(chooser, 1)
    assert all(isinstance(chooser.choose(criteria(f"t{n}")), Choice) for n in range(6))


def test_targets_that_reported_being_full_get_requests_again_later():
    # Guards against load reports without expiry: targets that reported an overload got
    # no requests, so never reported again, and a fifth of all requests was refused for
    # the rest of the day.
    clock = FakeClock()
    chooser = a_chooser("north-a", "north-b", clock=clock)
    report_full(chooser, 2)
    assert isinstance(chooser.choose(criteria()), Overloaded)
    clock.advance(2.0)
    assert isinstance(chooser.choose(criteria()), Choice)


def test_a_cold_target_gets_a_limited_rate_from_all_hosts_together():
    # A cold target must get some requests: a service whose targets were all cold
    # refused every request for three seconds.
    clock = FakeClock()
    fleet = FleetPermits(clock=clock, domains=tuple(REGIONS))
    choosers = [
        a_chooser(clock=clock, host=f"h{n}", permits=fleet.client(n)) for n in range(27)
    ]
    for chooser in choosers:
        apply(chooser, [target(0, "north-a", cold_seconds=3.0)])
    sent_per_second = []
    for _ in range(2):
        sent = 0
        for _ in range(100):
            clock.advance(0.01)
            for chooser in choosers:
                choice = chooser.choose(criteria())
                if isinstance(choice, Choice):
                    chooser.release(choice)
                    sent += 1
        sent_per_second.append(sent)
    assert sum(sent_per_second) >= 16
    assert max(sent_per_second) <= 29


def test_a_cold_target_gets_nothing_while_no_control_host_gives_permits():
    clock = FakeClock()
    permits = FakePermits()
    chooser = a_chooser(clock=clock, permits=permits)
    apply(chooser, [target(0, "north-a", cold_seconds=3.0)])
    clock.advance(2.0)
    assert not isinstance(chooser.choose(criteria()), Choice)
    assert permits.asked == ["i-0"]


def test_the_round_trip_to_another_region_is_measured_by_opening_connections():
    # With a fixed round trip of 110 ms for all installations, targets that were 70 ms
    # away had their processing times estimated 40 ms too short.
    chooser = a_chooser("south-a")
    assert chooser.choose(criteria()).expected_latency > 0.11
    processing_time = chooser.choose(criteria()).processing_time
    for seconds in (0.07, 1.07, 0.071):
        chooser.record_connect_time("10.0.0.0:80", seconds)
    assert 0.07 <= chooser.choose(criteria()).expected_latency - processing_time < 0.08


def test_targets_that_failed_during_a_cut_are_used_at_once_after_it():
    clock = FakeClock()
    chooser = a_chooser("north-a", "north-b", clock=clock)
    sick, healthy = chooser.views["i-0"], chooser.views["i-1"]
    sick.record_failure(clock.now(), unreachable=True)
    clock.advance(1.0)
    cut_at = clock.now()
    for _ in range(4):
        healthy.record_failure(clock.now(), unreachable=True)
    chooser.forget_failures(since=cut_at)
    assert healthy.ejected_until < clock.now()
    assert (healthy.failures, healthy.failure_rate) == (0, 0.0)
    assert sick.failures == 1


def failures_until_the_end(*, unreachable: bool) -> int:
    """Return how many of 100 requests fail while no local target responds."""
    clock = FakeClock()
    local = ("north-a", "north-a", "north-b", "north-b")
    chooser = a_chooser(*local, "south-a", "south-a", clock=clock)
    failed = 0
    for number in range(100):
        criteria = SelectionCriteria(
            route=ROUTE, service="menu", affinity_key=f"key-{number}"
        )
        choice = chooser.choose(criteria)
        clock.advance(0.05)
        if choice.view.region == "north":
            chooser.record_failure(choice, unreachable=unreachable)
            failed += 1
        else:
            chooser.record_success(choice, criteria, seconds=0.2, load=None)
    return failed


def test_host_that_reaches_only_targets_of_another_region_uses_these():
    assert failures_until_the_end(unreachable=True) <= 20


def test_region_whose_targets_answer_with_failures_is_not_left():
    assert failures_until_the_end(unreachable=False) == 100


@pytest.mark.parametrize("rank", [-(2**63), -1, 0, 2**63 - 1])
def test_no_rank_that_a_configuration_may_hold_fails_the_choice(rank):
    chooser = a_chooser("north-a", "north-a")
    for _ in range(40):
        outcome = chooser.choose(criteria(rank=rank))
    assert isinstance(outcome, Overloaded)
