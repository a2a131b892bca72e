"""Stop signals of long-running processes."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator

import pytest

from chicoryhold.clock import BootClock
from chicoryhold.programs.signals import (
    ignore_sighup,
    reload_on_sighup,
    stop_signals,
)

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
PROCESSES = 20
FLOOD_SECONDS = 0.04
EXIT_TIMEOUT_SECONDS = 5.0
WAITING_PROCESS = """
import sys
from chicoryhold.clock import BootClock
from chicoryhold.programs.signals import stop_signals
with stop_signals(clock=BootClock()) as stopping:
    print("ready", flush=True)
    stopping.wait()
    sys.stdin.read()
"""


@pytest.fixture(autouse=True)
def former_handlers() -> Iterator[None]:
    """Put the handlers of this process back after the test."""
    handlers = {number: signal.getsignal(number) for number in HANDLED_SIGNALS}
    yield
    for number, handler in handlers.items():
        signal.signal(number, handler)


def ends_after_many_signals() -> bool:
    """Return whether a process ends that gets one stop signal after the other."""
    process = subprocess.Popen(
        [sys.executable, "-c", WAITING_PROCESS],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    with process:
        process.stdout.readline()
        until = time.monotonic() + FLOOD_SECONDS
        while time.monotonic() < until and process.poll() is None:
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGINT)
        process.stdin.close()
        try:
            process.wait(EXIT_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            return False
    return process.returncode == 0


def test_further_stop_signals_do_not_hang_a_process_that_handles_the_first():
    assert [ends_after_many_signals() for _ in range(PROCESSES)] == [True] * PROCESSES


def test_sighup_does_not_end_a_program_that_reads_its_settings_only_once():
    with ignore_sighup():
        os.kill(os.getpid(), signal.SIGHUP)


def test_a_stop_signal_does_not_break_off_the_end_of_a_process_that_is_stopping():
    with stop_signals(clock=BootClock()) as stopping:
        os.kill(os.getpid(), signal.SIGTERM)
        stopping.wait()
    for number in (signal.SIGTERM, signal.SIGINT):
        os.kill(os.getpid(), number)


def test_sighup_does_not_break_off_the_end_of_a_process_that_is_stopping():
    with reload_on_sighup(lambda: None):
        pass
    os.kill(os.getpid(), signal.SIGHUP)


def test_the_time_of_a_stop_is_that_of_its_first_signal():
    clock = BootClock()
    with stop_signals(clock=clock) as stopping:
        assert not stopping.is_set
        os.kill(os.getpid(), signal.SIGTERM)
        first = stopping.wait()
        assert first <= clock.now()
        os.kill(os.getpid(), signal.SIGINT)
        assert stopping.is_set
        assert stopping.wait() == first


def test_a_stop_that_is_requested_while_it_is_waited_for_ends_the_wait():
    with stop_signals(clock=BootClock()) as stopping:
        threading.Timer(0.05, os.kill, (os.getpid(), signal.SIGTERM)).start()
        assert stopping.wait() == stopping.requested_at
