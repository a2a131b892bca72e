"""Target choice: affinity, load, homes, cold and failing targets."""

from __future__ import annotations

import collections

from chicoryhold.routing.configuration import (
    RouteRule,
    ServiceRule,
    WeightedService,
)
from chicoryhold.routing.spill import Spill
from chicoryhold.routing.target_choice import (
    Choice,
    HostLocation,
    Overloaded,
    TargetChooser,
    Wanted,
)
from chicoryhold.routing.target_view import LoadReport
from chicoryhold.state.targets import TargetState
from tests.conftest import FakeClock
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


def a_chooser(
    *domains: str, clock: FakeClock | None = None, hosts: int = 0, host: str = "own"
) -> TargetChooser:
    chooser = TargetChooser(
        location=HostLocation(
            host=host,
            domain="north-a",
            region="north",
            regions=REGIONS,
            domain_round_trip=0.001,
            region_round_trip=0.11,
        ),
        clock=clock or FakeClock(),
        entry_hosts=lambda: hosts,
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
    )


def wanted(name: str = "thing", **fields: object) -> Wanted:
    return Wanted(route=ROUTE, service="menu", affinity_key=name, **fields)


def chosen(chooser: TargetChooser, request: Wanted) -> str:
    choice = chooser.choose(request)
    chooser.dropped(choice)
    return choice.view.record.instance


def test_an_object_stays_with_its_target_on_every_host():
    choosers = [a_chooser("north-a", "north-a", "north-b") for _ in range(3)]
    for number in range(30):
        request = wanted(f"thing {number}")
        assert len({chosen(chooser, request) for chooser in choosers}) == 1


def test_objects_spread_over_the_targets_of_the_region():
    chooser = a_chooser("north-a", "north-a", "north-b", "north-b")
    counts = collections.Counter(
        chosen(chooser, wanted(f"thing {number}")) for number in range(200)
    )
    assert len(counts) == 4
    assert min(counts.values()) > 20


def test_a_full_queue_at_the_home_of_an_object_sends_it_to_a_neighbour():
    clock = FakeClock()
    chooser = a_chooser("north-a", "north-a", clock=clock)
    request = wanted()
    choice = chooser.choose(request)
    home = choice.view.record.instance
    full = LoadReport(running=4, waiting=12, slots=4)
    chooser.finished(choice, request, seconds=0.3, load=full)
    assert chosen(chooser, request) != home


def test_another_region_is_left_alone_while_the_own_one_has_room():
    chooser = a_chooser("north-a", "north-b", "south-a", "south-a")
    near = {chosen(chooser, wanted(f"t{n}")) for n in range(50)}
    assert near == {"i-0", "i-1"}


def test_a_request_with_homes_never_leaves_them():
    chooser = a_chooser("north-a", "south-a")
    request = wanted(homes=frozenset({"south"}))
    assert chosen(chooser, request) == "i-1"
    impossible = wanted(homes=frozenset({"west"}))
    assert chooser.choose(impossible) is None


def test_an_evacuated_domain_gets_nothing_and_is_cold_when_it_comes_back():
    clock = FakeClock()
    chooser = a_chooser("north-a", clock=clock)
    records = [target(0, "north-a")]
    apply(chooser, records, frozenset({"north-a"}))
    assert chooser.choose(wanted()) is None
    apply(chooser, records)
    assert chooser.choose(wanted()) is None
    clock.advance(3.1)
    assert chosen(chooser, wanted()) == "i-0"


def test_draining_gone_and_cold_targets_get_nothing():
    chooser = a_chooser("north-a")
    apply(
        chooser,
        [
            target(0, "north-a", state=TargetState.DRAINING),
            target(1, "north-a", state=TargetState.GONE),
            target(2, "north-a", cold_seconds=2.0),
        ],
    )
    assert chooser.choose(wanted()) is None


def test_a_target_that_was_tried_is_avoided():
    chooser = a_chooser("north-a", "north-a")
    first = chosen(chooser, wanted())
    assert chosen(chooser, wanted(avoid=frozenset({first}))) != first


def test_most_targets_failing_at_once_does_not_send_the_region_abroad():
    # Timeouts under load once ejected target after target until all requests of a
    # region went to another one within two seconds.
    chooser = a_chooser("north-a", "north-a", "north-b", "north-b", "south-a")
    for number in range(200):
        request = wanted(f"t{number}")
        choice = chooser.choose(request)
        chooser.failed(choice, unreachable=False)
    near = {chosen(chooser, wanted(f"t{number}")) for number in range(50)}
    assert "i-4" not in near


def test_one_unreachable_target_is_left_alone_for_a_time():
    clock = FakeClock()
    chooser = a_chooser("north-a", "north-a", "north-b", clock=clock)
    request = wanted()
    choice = chooser.choose(request)
    home = choice.view.record.instance
    assert chooser.failed(choice, unreachable=True)
    assert chosen(chooser, request) != home


def test_a_region_with_few_targets_moves_a_fixed_part_of_the_objects_from_the_start():
    # While everything was cold, two targets took the load of a region that others
    # have six for, and its callers waited; growing the part from zero took too long.
    chooser = a_chooser("north-a", *["south-a"] * 5)
    objects = [f"t{number}" for number in range(300)]
    first = [chosen(chooser, wanted(name)) for name in objects]
    abroad = sum(instance != "i-0" for instance in first) / len(first)
    assert 0.55 < abroad < 0.8
    assert [chosen(chooser, wanted(name)) for name in objects] == first


def parts_that_move(load: float, *, first: float = 0.0) -> list[float]:
    """Return the part that moves, each 50 ms for two seconds."""
    clock = FakeClock()
    spill = Spill(clock=clock)
    parts = []
    for _ in range(41):
        parts.append(spill.observe("menu", load, first=first))
        clock.advance(0.05)
    return parts


def test_the_part_that_moves_changes_by_less_than_the_cap_allows():
    grows = parts_that_move(3.0)
    assert 0.05 < grows[-1] - grows[0] <= 0.15
    shrinks = parts_that_move(0.3, first=0.6)
    assert 0 < shrinks[0] - shrinks[-1] <= 0.15


def test_what_moved_stays_abroad_while_half_of_the_own_slots_are_taken():
    # An object that comes back is late once, and abroad it is warm by then.
    assert parts_that_move(0.5, first=0.6)[-1] == 0.6


def test_an_object_of_an_evacuated_domain_gets_one_new_home():
    # Each host once spread such objects by load, so that none of the targets that
    # were left got warm for them.
    choosers = [a_chooser("north-a", "north-a", "north-b", "north-b") for _ in "abc"]
    records = [target(n, d) for n, d in enumerate(["north-a"] * 2 + ["north-b"] * 2)]
    for chooser in choosers:
        apply(chooser, records, frozenset({"north-a"}))
    for number in range(30):
        request = wanted(f"thing {number}")
        assert len({chosen(chooser, request) for chooser in choosers}) == 1
        for chooser in choosers:
            choice = chooser.choose(request)
            assert choice.is_known
            chooser.dropped(choice)


def test_an_object_that_moves_abroad_has_one_home_there():
    choosers = [
        a_chooser("north-a", "south-a", "south-a", "south-a", "south-a") for _ in "abc"
    ]
    for number in range(60):
        request = wanted(f"thing {number}")
        assert len({chosen(chooser, request) for chooser in choosers}) == 1


def full(chooser: TargetChooser, count: int, *, waiting: int = 12) -> None:
    """Let ``count`` targets tell that all slots and a queue are taken."""
    for number in range(count):
        choice = Choice(
            view=chooser.views[f"i-{number}"],
            expected=0.1,
            wait=0.0,
            work=0.1,
            is_known=True,
        )
        chooser.finished(
            choice,
            wanted(),
            seconds=0.1,
            load=LoadReport(running=4, waiting=waiting, slots=4),
        )


def test_a_request_is_refused_once_every_queue_would_make_it_late():
    chooser = a_chooser("north-a", "north-b")
    full(chooser, 1)
    assert isinstance(chooser.choose(wanted()), Choice)
    full(chooser, 2)
    assert isinstance(chooser.choose(wanted()), Overloaded)


def test_less_urgent_requests_are_refused_first():
    chooser = a_chooser("north-a")
    full(chooser, 1, waiting=2)
    assert isinstance(chooser.choose(wanted(rank=0)), Choice)
    assert isinstance(chooser.choose(wanted(rank=4)), Overloaded)


def test_one_busy_target_among_idle_ones_refuses_nothing():
    chooser = a_chooser("north-a", "north-b", "north-b")
    full(chooser, 1)
    assert all(isinstance(chooser.choose(wanted(f"t{n}")), Choice) for n in range(6))


def test_targets_that_were_full_are_asked_again_after_a_moment():
    # What targets had said under overload was believed for as long as nothing was
    # sent to them, so a fifth of all requests was refused for the rest of the day.
    clock = FakeClock()
    chooser = a_chooser("north-a", "north-b", clock=clock)
    full(chooser, 2)
    assert isinstance(chooser.choose(wanted()), Overloaded)
    clock.advance(2.0)
    assert isinstance(chooser.choose(wanted()), Choice)


def test_cold_targets_get_less_than_they_bear_from_all_hosts_together():
    # A service whose targets were all cold refused every request for three seconds.
    clock = FakeClock()
    choosers = [a_chooser(clock=clock, hosts=27, host=f"h{n}") for n in range(27)]
    for chooser in choosers:
        apply(chooser, [target(0, "north-a", cold_seconds=3.0)])
    in_each_second = []
    for _ in range(2):
        sent = 0
        for _ in range(100):
            clock.advance(0.01)
            for chooser in choosers:
                choice = chooser.choose(wanted())
                if isinstance(choice, Choice):
                    chooser.dropped(choice)
                    sent += 1
        in_each_second.append(sent)
    assert sum(in_each_second) >= 16
    assert max(in_each_second) <= 29


def test_a_cold_target_gets_nothing_while_nobody_knows_how_many_hosts_there_are():
    clock = FakeClock()
    chooser = a_chooser(clock=clock, hosts=0)
    apply(chooser, [target(0, "north-a", cold_seconds=3.0)])
    clock.advance(2.0)
    assert chooser.choose(wanted()) is None


def test_the_way_to_another_region_is_measured_by_opening_connections():
    # One distance for all installations made targets 70 ms away look like 110 ms,
    # and what they took for the work looked 40 ms too short.
    chooser = a_chooser("south-a")
    assert chooser.choose(wanted()).expected > 0.11
    work = chooser.choose(wanted()).work
    for seconds in (0.07, 1.07, 0.071):
        chooser.record_connect_time("10.0.0.0:80", seconds)
    assert 0.07 <= chooser.choose(wanted()).expected - work < 0.08
