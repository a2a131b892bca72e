"""Which target is expected to respond first, beside a plain computation of it."""

from __future__ import annotations

from random import Random

import pytest

from chicoryhold.routing.affinity import rendezvous_score, stable_hash
from chicoryhold.routing.latency import (
    COLD_TIME_FACTOR,
    FAILURE_COST_SECONDS,
    MIN_SLOWNESS,
    LatencyEstimator,
)
from chicoryhold.routing.selection import HostLocation
from chicoryhold.routing.target_view import LoadReport, TargetView
from chicoryhold.routing.work_times import ProcessingTimes
from tests.test_target_choice import REGIONS, criteria
from tests.test_targets_state import a_record

NOW = 100.0
LOCATION = HostLocation(
    host="own", domain="north-a", region="north", regions=REGIONS,
    domain_round_trip=0.001, region_round_trip=0.11,
)  # fmt: skip
KEYS = ("k1", "k2", "k3")


def a_view(random: Random, number: int) -> TargetView:
    domain = random.choice(tuple(REGIONS))
    view = TargetView(
        record=a_record(
            instance=f"i-{number}", domain=domain, slots=random.randint(1, 6)
        ),
        region=REGIONS[domain],
        cold_until=NOW + random.choice((-1.0, -1.0, -1.0, 1.0)),
        in_flight=random.randint(0, 8),
        failure_rate=random.choice((0.0, 0.0, 0.2)),
        slowness=random.choice((0.1, 1.0, 1.0, 2.5)),
    )
    if random.random() < 0.7:
        load = LoadReport(running=random.randint(0, 6), waiting=0, slots=6)
        view.record_load(load, NOW - random.uniform(0.0, 2.0))
    if random.random() < 0.3:
        view.recent_keys.add(random.choice(KEYS))
    return view


def plain_latency(view: TargetView, key: str, preferred: TargetView) -> float:
    """The expected latency by its definition, one step a line."""
    times = ProcessingTimes.initial(criteria().route.objective)
    cold = NOW < view.cold_until
    is_hit = not cold and (view is preferred or key in view.recent_keys)
    work = times.estimate(is_hit=is_hit) * (COLD_TIME_FACTOR if cold else 1)
    slots = max(1, view.slots)
    queued = max(0.0, view.occupancy(NOW) + 1 - slots)
    slowness = max(MIN_SLOWNESS, view.slowness)
    wait = queued / slots * times.queued_request_time * slowness
    if view.record.domain == LOCATION.domain:
        round_trip = 0.0
    elif view.region == LOCATION.region:
        round_trip = LOCATION.domain_round_trip
    else:
        round_trip = LOCATION.region_round_trip
    return (
        work * slowness + wait + round_trip + FAILURE_COST_SECONDS * view.failure_rate
    )


def plain_preferred(views: list[TargetView], key: str) -> TargetView:
    warm = [view for view in views if NOW >= view.cold_until] or views
    scores = [
        rendezvous_score(stable_hash(key), stable_hash(view.record.instance))
        for view in warm
    ]
    return warm[scores.index(max(scores))]


@pytest.mark.parametrize("seed", range(200))
def test_the_fastest_target_is_the_one_that_a_plain_computation_finds(seed):
    random = Random(seed)
    views = [a_view(random, number) for number in range(random.randint(1, 30))]
    key = random.choice(KEYS)
    preferred = plain_preferred(views, key)
    latencies = [plain_latency(view, key, preferred) for view in views]
    estimate = LatencyEstimator(location=LOCATION).fastest(criteria(key), views, NOW)
    expected = views[latencies.index(min(latencies))]
    assert estimate.view is expected
    assert estimate.expected_latency == pytest.approx(min(latencies))
    assert estimate.is_cold == (NOW < expected.cold_until)
    assert estimate.is_cross_region == (expected.region != LOCATION.region)
    known = expected is preferred or key in expected.recent_keys
    assert estimate.is_affinity_hit == (known and not estimate.is_cold)
