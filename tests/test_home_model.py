"""Requests whose route or organisation has homes, over hosts, loads and losses.

Guards against HOME and SHIFT: no request leaves its homes, and the share of requests
that changes its region stays small while nothing but the load changes.
"""

from __future__ import annotations

import collections
from random import Random

import pytest

from chicoryhold.routing.selection import Choice, HostLocation
from chicoryhold.routing.target_choice import TargetChooser
from chicoryhold.routing.target_view import LoadReport
from chicoryhold.state.targets import TargetState
from tests.conftest import FakeClock
from tests.statement_fakes import a_statements
from tests.test_target_choice import FakePermits, apply, criteria, target

REGIONS = {
    "north-a": "north", "north-b": "north", "south-a": "south", "west-a": "west",
}  # fmt: skip
DOMAINS = tuple(REGIONS)
HOMES = (
    frozenset({"south"}), frozenset({"north", "west"}), frozenset({"west"}),
)  # fmt: skip
STATES = (TargetState.READY, TargetState.READY, TargetState.DRAINING, TargetState.GONE)
TARGETS = 24
SLOTS = 4
STEP_SECONDS = 0.1
WINDOW_SECONDS = 2.0
MAX_SHIFT = 0.15
KEYS = 400


def a_host(domain: str, clock: FakeClock, number: int) -> TargetChooser:
    return TargetChooser(
        location=HostLocation(
            host=f"host-{number}", domain=domain, region=REGIONS[domain],
            regions=REGIONS, domain_round_trip=0.001, region_round_trip=0.11,
        ),
        clock=clock,
        statements=a_statements(clock),
        permits=FakePermits(remaining=10**9),
    )  # fmt: skip


def records(random: Random | None = None) -> list:
    """Return targets over all domains, some of which may be lost."""
    return [
        target(
            number,
            DOMAINS[number % len(DOMAINS)],
            slots=SLOTS,
            state=random.choice(STATES) if random else TargetState.READY,
            sequence=2,
        )
        for number in range(TARGETS)
    ]


def report_loads(host: TargetChooser, clock: FakeClock, load: float) -> None:
    """Have each target report that ``load`` of its slots are taken."""
    running = round(load * SLOTS)
    for view in host.views.values():
        report = LoadReport(
            running=min(running, SLOTS), waiting=max(0, running - SLOTS), slots=SLOTS
        )
        view.record_load(report, clock.now())


@pytest.mark.parametrize("seed", range(40))
def test_no_request_is_sent_outside_its_homes(seed):
    random = Random(seed)
    clock = FakeClock()
    hosts = [a_host(random.choice(DOMAINS), clock, n) for n in range(3)]
    sent = 0
    for _ in range(60):
        clock.advance(random.choice((0.05, 0.5)))
        host = random.choice(hosts)
        if random.random() < 0.4:
            evacuated = frozenset(random.sample(DOMAINS, random.randint(0, 2)))
            apply(host, records(random), evacuated=evacuated)
        report_loads(host, clock, random.choice((0.2, 1.0, 3.0)))
        homes = random.choice(HOMES)
        addresses = sorted(view.record.address for view in host.views.values())
        request = criteria(
            f"key-{random.randint(0, 20)}",
            allowed_regions=homes,
            avoid=frozenset(random.sample(addresses, min(3, len(addresses)))),
        )
        choice = host.choose(request)
        if isinstance(choice, Choice):
            sent += 1
            assert choice.view.region in homes
            assert choice.view.record.address not in request.avoid
    assert sent > 0


def region_counts(
    hosts: list[TargetChooser], clock: FakeClock, load: float
) -> collections.Counter:
    """Return in which regions the requests of one window run."""
    counts: collections.Counter = collections.Counter()
    steps = round(WINDOW_SECONDS / STEP_SECONDS)
    for step in range(steps):
        clock.advance(STEP_SECONDS)
        for host in hosts:
            report_loads(host, clock, load)
            for number in range(step, KEYS, steps):
                choice = host.choose(criteria(f"key-{number}"))
                if isinstance(choice, Choice):
                    counts[choice.view.region] += 1
                    host.release(choice)
    return counts


def moved_share(before: collections.Counter, after: collections.Counter) -> float:
    """Return the share of requests that runs in another region than before."""
    regions = before.keys() | after.keys()
    shares = [
        (before[region] / before.total(), after[region] / after.total())
        for region in regions
    ]
    return sum(max(0.0, later - earlier) for earlier, later in shares)


@pytest.mark.parametrize("seed", range(4))
def test_few_requests_of_a_region_change_their_region_while_the_load_jumps(seed):
    """Over several hosts of one region: their shares add up."""
    random = Random(seed)
    clock = FakeClock()
    hosts = [a_host(("north-a", "north-b")[n % 2], clock, n) for n in range(3)]
    for host in hosts:
        apply(host, records())
    before = region_counts(hosts, clock, 0.3)
    spread = []
    for _ in range(10):
        after = region_counts(hosts, clock, random.choice((0.1, 0.5, 1.0, 1.0, 1.2)))
        spread.append(moved_share(before, after))
        before = after
    assert max(spread) <= MAX_SHIFT
    assert max(spread) > 0
