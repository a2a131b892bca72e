"""A reader of the log that pauses holds up nobody; lines are dropped and counted."""

from __future__ import annotations

import os
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from contextlib import suppress

import msgspec
import pytest

from chicoryhold.crash import CRASH_EXIT_CODE
from chicoryhold.log_queue import KEPT_LINES, MAX_WAITING_BYTES, LogQueue
from chicoryhold.logs import DROPPED_EVENT, _json_report, _text_report
from chicoryhold.trial.fleet import wait_until

LINE = "x" * 1000 + "\n"
PIPE_BYTES = 65536
FILLING = b"."  # one byte, so that none is left
ENOUGH_LINES = 2 * (MAX_WAITING_BYTES + PIPE_BYTES) // len(LINE)
JOIN_SECONDS = 30

PROGRAM = """
import os, sys
from loguru import logger
from chicoryhold import logs

configure, lines, end = sys.argv[1:]
logs.BURST_LINES = 1e9
log = getattr(logs, configure)(process="p", level="INFO")
for _ in range(int(lines)):
    logger.info("flood " + 1000 * "x")
logger.info("last")
other = 2 if "json" in configure else 1
os.write(other, str(log.dropped_count).encode())
if end == "crash":
    from chicoryhold.crash import exit_after_failure
    exit_after_failure("thread", "t", None)
"""


class Pipe:
    """A pipe whose reader reads only when it is told to."""

    def __init__(self) -> None:
        self.reader: int | None
        self.reader, self.writer = os.pipe()
        self.text = ""

    def read(self) -> str:
        """Read all that is there now; return all that was read so far."""
        os.set_blocking(self.reader, False)
        with suppress(BlockingIOError):
            while data := os.read(self.reader, 2**20):
                self.text += data.decode()
        return self.text

    def fill(self) -> None:
        """Leave no room in the pipe, so that the next line waits for the reader."""
        os.set_blocking(self.writer, False)
        with suppress(BlockingIOError):
            while os.write(self.writer, FILLING):
                pass
        os.set_blocking(self.writer, True)

    def close_reader(self) -> None:
        if self.reader is not None:
            os.close(self.reader)
            self.reader = None


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    pipe = Pipe()
    yield pipe
    pipe.close_reader()
    os.close(pipe.writer)


@pytest.fixture
def log(pipe) -> Iterator[LogQueue]:
    queue = LogQueue(descriptor=pipe.writer, report=lambda count: f"dropped {count}\n")
    yield queue
    pipe.close_reader()
    queue.stop()
    assert not queue._thread.is_alive()


def run_within_limit(work: Callable[[], None]) -> None:
    """Run ``work`` in a thread, and fail if it doesn't end."""
    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    thread.join(JOIN_SECONDS)
    assert not thread.is_alive()


def flood(log: LogQueue, pipe: Pipe) -> None:
    """Log more lines than may wait, to a pipe that takes none."""
    pipe.fill()
    run_within_limit(
        lambda: [log.put(LINE, kind="usual") for _ in range(ENOUGH_LINES)] and None
    )


def wait_for_text(pipe: Pipe, text: str) -> None:
    wait_until(lambda: text in pipe.read(), what=f"{text!r} in the log", timeout=30)


def test_a_reader_that_pauses_does_not_hold_up_who_logs(log, pipe):
    flood(log, pipe)
    assert 0 < log.dropped_count < ENOUGH_LINES


def test_the_number_of_dropped_lines_is_written_once_the_reader_goes_on(log, pipe):
    flood(log, pipe)
    dropped = log.dropped_count
    wait_for_text(pipe, "dropped")
    wait_until(
        lambda: pipe.read().count(LINE) == ENOUGH_LINES - dropped,
        what="the lines that were kept",
        timeout=30,
    )
    reported = [line.split()[1] for line in pipe.text.split("\n") if "dropped" in line]
    assert sum(map(int, reported)) == dropped


def test_a_flood_of_one_kind_leaves_room_for_the_first_lines_of_others(log, pipe):
    flood(log, pipe)
    line = LINE.replace("x", "y")
    kept = [log.put(line, kind="stop") for _ in range(KEPT_LINES + 1)]
    assert kept == [True] * KEPT_LINES + [False]
    wait_for_text(pipe, line * KEPT_LINES)


def test_many_kinds_take_no_memory_without_a_limit(log, pipe):
    flood(log, pipe)
    kinds = range(2 * (MAX_WAITING_BYTES // len(LINE)))
    assert not all(log.put(LINE, kind=kind) for kind in kinds)


def test_what_waits_at_the_end_is_written(log, pipe):
    log.put("last\n", kind="usual")
    log.stop()
    assert pipe.read() == "last\n"


def test_an_end_does_not_wait_for_a_reader_that_pauses(log, pipe):
    flood(log, pipe)
    run_within_limit(log.stop)


def test_lines_without_a_reader_are_dropped_and_counted(log, pipe):
    pipe.close_reader()
    log.put("nobody reads this\n", kind="usual")
    wait_until(lambda: log.dropped_count == 1, what="the line to be dropped", timeout=5)


def test_lines_reach_a_descriptor_that_does_not_block(log, pipe):
    os.set_blocking(pipe.writer, False)
    lines = 2 * PIPE_BYTES // len(LINE)
    for _ in range(lines):
        log.put(LINE, kind="usual")
    wait_until(lambda: pipe.read().count(LINE) == lines, what="all lines", timeout=30)


@pytest.mark.parametrize("end, code", [("return", 0), ("crash", CRASH_EXIT_CODE)])
@pytest.mark.parametrize(
    "configure", ["configure_json_logging", "configure_text_logging"]
)
def test_a_process_ends_while_the_reader_of_its_log_pauses(pipe, configure, end, code):
    command = [sys.executable, "-c", PROGRAM, configure, str(ENOUGH_LINES), end]
    outputs = [pipe.writer, subprocess.PIPE]
    if "text" in configure:
        outputs.reverse()
    process = subprocess.run(
        command, stdout=outputs[0], stderr=outputs[1], timeout=60, check=False
    )
    assert process.returncode == code
    assert int(process.stdout or process.stderr) > 0
    assert pipe.read().count("flood") > 10


def test_a_process_that_crashes_writes_its_last_lines():
    command = [sys.executable, "-c", PROGRAM, "configure_json_logging", "50", "crash"]
    process = subprocess.run(command, capture_output=True, timeout=60, check=False)
    assert process.stderr == b"0"
    lines = [msgspec.json.decode(line) for line in process.stdout.splitlines()]
    events = [line["event"] for line in lines]
    assert events[-2:] == ["last", "thread: t failed; the process exits."]


def test_the_report_of_dropped_lines_has_the_form_of_other_lines():
    report = msgspec.json.decode(_json_report("p", 3))
    assert (report["event"], report["process"], report["lines"]) == (
        DROPPED_EVENT, "p", 3,
    )  # fmt: skip
    assert _text_report("p", 3).endswith(f"Z WARNING p {DROPPED_EVENT} lines=3\n")
