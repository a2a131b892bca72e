"""Soak runs of real entry hosts that get signals and configurations in series."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

SECONDS = 4.0
RUN_TIMEOUT_SECONDS = 60.0
MIN_ANSWERS_AFTER_STOP = 10
SEEDS = (1, 2, 4)  # busy hosts; few clients, so drains end idle; more than its threads


@pytest.mark.parametrize("seed", SEEDS)
def test_no_request_is_lost_or_broken_off_when_hosts_are_stopped_in_series(seed):
    # Regression test: requests that a draining host took on open connections were
    # passed on to a target, and its process ended without an answer to them.
    command = [sys.executable, "-m", "chicoryhold.trial.stops", f"--seed={seed}"]
    completed = subprocess.run(
        [*command, f"--seconds={SECONDS}"],
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_SECONDS,
    )
    assert completed.stdout, completed.stderr
    outcome = json.loads(completed.stdout)
    assert outcome["fault_counts"] == {}, outcome["faults"][:5]
    assert completed.returncode == 0
    answers = [
        count
        for result, count in outcome["results_after_stop"].items()
        if result.isdecimal()
    ]
    assert sum(answers) >= MIN_ANSWERS_AFTER_STOP
