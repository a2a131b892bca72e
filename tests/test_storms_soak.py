"""Soak runs of real hosts while the configuration changes in storms."""

from __future__ import annotations

import pytest

from tests.soak_runs import run_soak

SECONDS = 8.0
RUN_TIMEOUT_SECONDS = 90.0
MIN_ANSWERS = 10
SEEDS = (3, 5, 2)  # pauses on slow links; a busy host; many versions


@pytest.fixture(scope="module", params=SEEDS)
def outcome(request) -> dict:
    return run_soak(
        "bench.storms", seed=request.param, seconds=SECONDS, timeout=RUN_TIMEOUT_SECONDS
    )


def test_no_host_decides_by_a_configuration_that_was_replaced_before_the_bound(
    outcome,
):
    assert outcome["faults"] == []
    assert outcome["slowest_end"] is not None
    assert outcome["probes"].get("added 200", 0) >= MIN_ANSWERS
    assert outcome["acknowledged"] >= MIN_ANSWERS


def test_no_host_in_a_storm_sends_requests_to_targets_that_said_they_leave(outcome):
    assert outcome["late_requests"] == []
    assert outcome["bound_pairs"] > 0
    assert outcome["successors"] > 0
