"""What a control host logs about its disk."""

from __future__ import annotations

import pytest
from loguru import logger

from chicoryhold.control.disk_writer import DiskWriter


class LoggedStorage:
    log_bytes = 42


@pytest.fixture
def lines():
    logged: list[str] = []
    sink = logger.add(lambda line: logged.append(str(line)), format="{message} {extra}")
    yield logged
    logger.remove(sink)


@pytest.mark.parametrize(("seconds", "is_logged"), [(0.2, False), (1.1, True)])
def test_a_write_that_holds_up_heartbeats_is_logged(clock, lines, seconds, is_logged):
    """Tells a leader that waits for its disk from one that gets no processor time."""
    writer = DiskWriter(storage=LoggedStorage(), clock=clock)
    writer.write(lambda disk: clock.advance(seconds))
    assert any("took long" in line and "1.1" in line for line in lines) == is_logged


def test_a_write_that_failed_is_repeated_and_both_are_logged(clock, lines, monkeypatch):
    monkeypatch.setattr("time.sleep", clock.advance)
    failures = [OSError("full"), OSError("full")]

    def write(disk: LoggedStorage) -> None:
        if failures:
            raise failures.pop()

    DiskWriter(storage=LoggedStorage(), clock=clock).write(write)
    texts = [line.partition(" {")[0] for line in lines]
    assert texts == [
        "control: disk write failed; retrying.",
        "control: disk write succeeded after retrying.",
        "control: a disk write took long; nothing was sent meanwhile.",
    ]
