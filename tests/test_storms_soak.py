"""Soak runs of real hosts while the configuration changes in storms."""

from __future__ import annotations

import pytest

from tests.soak_runs import run_soak

SECONDS = 8.0
RUN_TIMEOUT_SECONDS = 90.0
MIN_ANSWERS = 10
SEEDS = (3, 5, 2)  # pauses on slow links; a busy host; many versions


@pytest.mark.parametrize("seed", SEEDS)
def test_no_host_decides_by_a_configuration_that_was_replaced_before_the_bound(seed):
    outcome = run_soak(
        "bench.storms", seed=seed, seconds=SECONDS, timeout=RUN_TIMEOUT_SECONDS
    )
    assert outcome["faults"] == []
    assert outcome["slowest_end"] is not None
    assert outcome["probes"].get("added 200", 0) >= MIN_ANSWERS
    assert outcome["acknowledged"] >= MIN_ANSWERS
