"""A process of the platform while it starts."""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
RUN = ROOT / "platform" / "run.py"
LOADING_MODULE = """
import sys
print("loading", flush=True)
sys.stdin.read()
def {function}():
    print("loaded", flush=True)
"""
EXIT_TIMEOUT_SECONDS = 10.0


@pytest.mark.parametrize("name", ["gateway", "control"])
def test_sighup_does_not_end_a_process_that_loads_its_modules(tmp_path, name):
    (tmp_path / "platform" / "wiring").mkdir(parents=True)
    shutil.copy(RUN, tmp_path / "platform")
    module = tmp_path / "platform" / "wiring" / f"{name}_process.py"
    module.write_text(LOADING_MODULE.format(function=f"run_{name}"))
    process = subprocess.Popen(
        [sys.executable, "-S", str(tmp_path / "platform" / "run.py"), name],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    with process:
        assert process.stdout.readline() == b"loading\n"
        process.send_signal(signal.SIGHUP)
        output, _ = process.communicate(timeout=EXIT_TIMEOUT_SECONDS)
    assert (process.returncode, output) == (0, b"loaded\n")


@pytest.mark.parametrize("name", ["gateway", "control"])
def test_sighup_does_not_end_a_process_that_reads_its_settings(tmp_path, name):
    settings = tmp_path / "settings.toml"
    os.mkfifo(settings)
    process = subprocess.Popen(
        [sys.executable, str(RUN), name],
        env={**os.environ, "CHICORYHOLD_SETTINGS": str(settings)},
        stderr=subprocess.PIPE,
    )
    with process:
        with settings.open("w") as file:  # waits until the process reads the settings
            process.send_signal(signal.SIGHUP)
            file.write("no settings")
        _, errors = process.communicate(timeout=EXIT_TIMEOUT_SECONDS)
    assert b"correct the file" in errors
    assert process.returncode == 1
