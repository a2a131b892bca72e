"""The log tells that a process didn't run for a time."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from loguru import logger

from chicoryhold.pauses import PauseWatch
from tests.conftest import FakeClock

CHECK_INTERVAL_SECONDS = 0.1


@pytest.fixture
def lines() -> Iterator[list[dict]]:
    seen: list[dict] = []
    sink = logger.add(lambda message: seen.append(message.record["extra"]))
    yield seen
    logger.remove(sink)


class Process:
    """``busy`` is the part of the time in which the process uses a processor."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self._used = 0.0
        self.watch = PauseWatch(clock=self.clock, processor_time=lambda: self._used)

    def run(self, seconds: float, *, busy: float) -> None:
        for _ in range(round(seconds / CHECK_INTERVAL_SECONDS)):
            self.miss(CHECK_INTERVAL_SECONDS, busy=busy)
            self.watch.check()

    def miss(self, seconds: float, *, busy: float) -> None:
        self.clock.advance(seconds)
        self._used += seconds * busy


def test_a_process_that_runs_logs_no_pause(lines):
    Process().run(10.0, busy=1.0)
    assert lines == []


@pytest.mark.parametrize(("busy", "used"), [(0.0, 0.0), (0.5, 1.5)])
def test_a_pause_and_a_busy_machine_are_told_apart(lines, busy, used):
    process = Process()
    process.run(1.0, busy=busy)
    process.miss(3.0, busy=busy)
    assert process.watch.check() == pytest.approx(3.0)
    process.run(1.0, busy=busy)
    assert [line["seconds"] for line in lines] == [pytest.approx(3.0)]
    assert lines[0]["processor_seconds"] == pytest.approx(used)


def test_the_time_before_the_first_check_is_no_pause(lines):
    process = Process()
    process.clock.advance(60.0)
    assert process.watch.unchecked_seconds == 0.0
    assert process.watch.check() == 0.0
    assert lines == []
