"""Runs of the soak programs, for the tests that start them."""

from __future__ import annotations

import json
import shutil
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def run_soak(module: str, *, seed: int, seconds: float, timeout: float) -> dict:
    """Run a program and return its result; let it end its processes in any case.

    The logs of a run that fails are kept, in a folder that the failure names.
    """
    folder = tempfile.mkdtemp(prefix=f"{module}-{seed}-")
    run = subprocess.Popen(
        [
            sys.executable,
            "-m",
            module,
            f"--seed={seed}",
            f"--seconds={seconds}",
            f"--folder={folder}",
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        output, errors = run.communicate(timeout=timeout)
    except subprocess.TimeoutExpired:
        run.send_signal(signal.SIGINT)
        run.communicate()
        raise
    assert output, f"{errors}logs: {folder}"
    outcome = json.loads(output)
    has_faults = outcome["faults"] or outcome.get("late_requests")
    is_bad = bool(has_faults) or outcome.get("slowest_end", 0.0) is None
    assert run.returncode == (1 if is_bad else 0), f"logs: {folder}"
    if not is_bad:
        shutil.rmtree(folder)
    return outcome
