"""JSON log output, and its evaluation by ``chicoryhold explain``."""

from __future__ import annotations

import msgspec
import pytest
from loguru import logger

from chicoryhold.errors import OperatorRequestFailed, SettingsError
from chicoryhold.logs import BURST_LINES, JsonLogSink
from chicoryhold.operators.commands import find_command
from chicoryhold.operators.explain import explain
from tests.conftest import FakeClock

LOG = """\
5.1 entry-1 {"at":101.0,"process":"e1","event":"follower: left.","age":2}
{"at":103.5,"process":"e1","event":"gateway: refused.","request":"r1","seconds":0.5}
{"at":103.2,"process":"e1","event":"delivery: failed.","request":"r1","target":"t"}
{"at":103.3,"process":"e1","event":"gateway: refused.","request":"r2"}
not a line of ours
{"at":90.0,"process":"e1","event":"gateway: started."}
"""


class WrittenLines:
    """Stands for a log whose reader is never slow."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def put(self, line: str, *, kind: object) -> bool:
        self.lines.append(line)
        return True

    def stop(self) -> None:
        pass


def test_lines_of_one_request_are_sorted_by_time(tmp_path):
    path = tmp_path / "log"
    path.write_text(LOG)
    explanation = explain("r1", [str(path)], around=3.0)
    assert [line["at"] for line in explanation.request_lines] == [103.2, 103.5]
    assert [line["at"] for line in explanation.context_lines] == [101.0]
    assert explanation.as_fields()["request"][0]["details"] == "target=t"


def test_error_for_a_request_without_lines_names_the_possible_causes(tmp_path):
    path = tmp_path / "log"
    path.write_text(LOG)
    with pytest.raises(OperatorRequestFailed, match="'r9'.*left out under load"):
        explain("r9", [str(path)], around=0)
    with pytest.raises(SettingsError, match="name a log file"):
        explain("r1", [str(tmp_path / "missing")], around=0)


def test_explain_accepts_several_files():
    assert find_command(["explain", "r1", "a", "b", "c"]) is not None
    assert find_command(["explain", "r1"]) is None


def test_lines_above_the_rate_limit_are_dropped_and_counted():
    clock = FakeClock()
    output = WrittenLines()
    sink = JsonLogSink(output=output, now=clock.now)
    handler = logger.add(sink, format="{message}", level="INFO")
    for _ in range(BURST_LINES + 50):
        logger.bind(request="r1").info("gateway: refused.")
    clock.advance(1)
    logger.info("gateway: stopping.")
    logger.remove(handler)
    lines = [msgspec.json.decode(line) for line in output.lines]
    assert len(lines) == BURST_LINES + 1
    assert lines[-1]["lines_left_out"] == 50
    assert lines[0]["request"] == "r1"


def test_a_flood_of_refusals_does_not_hide_a_warning():
    # On a day with a burst, each host wrote as many refusals as the limit allows, and
    # nothing of what caused them.
    clock = FakeClock()
    output = WrittenLines()
    sink = JsonLogSink(output=output, now=clock.now)
    handler = logger.add(sink, format="{message}", level="INFO")
    for _ in range(2 * BURST_LINES):
        logger.info("gateway: refused.")
    for _ in range(2 * BURST_LINES):
        logger.warning("permits: a control host did not reply.")
    logger.remove(handler)
    events = [msgspec.json.decode(line)["event"] for line in output.lines]
    assert events.count("gateway: refused.") == BURST_LINES
    assert events.count("permits: a control host did not reply.") == BURST_LINES
