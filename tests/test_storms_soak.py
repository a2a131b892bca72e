"""Soak runs of real hosts while the configuration changes in storms."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
SECONDS = 8.0
RUN_TIMEOUT_SECONDS = 90.0
MIN_ANSWERS = 10
SEEDS = (3, 5, 2)  # pauses on slow links; a busy host; many versions


def run_soak(seed: int) -> dict:
    """Run the program and return its result; let it end its processes in any case."""
    run = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "bench.storms",
            f"--seed={seed}",
            f"--seconds={SECONDS}",
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        output, errors = run.communicate(timeout=RUN_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        run.send_signal(signal.SIGINT)
        run.communicate()
        raise
    assert output, errors
    return json.loads(output)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_host_decides_by_a_configuration_that_was_replaced_before_the_bound(seed):
    outcome = run_soak(seed)
    assert outcome["faults"] == []
    assert outcome["slowest_end"] is not None
    assert outcome["probes"].get("added 200", 0) >= MIN_ANSWERS
    assert outcome["acknowledged"] >= MIN_ANSWERS
