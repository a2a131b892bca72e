"""Log lines about targets that leave by an entry host's copy."""

from __future__ import annotations

from collections.abc import Iterable

import pytest
from loguru import logger

from chicoryhold.gateway.target_state_log import MAX_LINES, TargetStateLog
from chicoryhold.metrics import Metrics
from chicoryhold.state.targets import TargetRecord, TargetState
from tests.test_targets_state import a_record

DRAINING = a_record(state=TargetState.DRAINING, sequence=25)
GONE = a_record(state=TargetState.GONE, sequence=25)


def lines_of(*copies: Iterable[TargetRecord]) -> list[dict]:
    """Return what is logged of ``copies``, whose revisions are 1, 2 and so on."""
    lines: list[dict] = []
    log = TargetStateLog(metrics=Metrics(process="test"))
    handler = logger.add(lambda line: lines.append(line.record["extra"]))
    try:
        for number, records in enumerate(copies):
            log.record(records, revision=number + 1, age=0.25)
    finally:
        logger.remove(handler)
    return lines


def test_a_line_says_when_the_copy_learnt_that_a_target_drains():
    (line,) = lines_of([a_record()], [DRAINING], [DRAINING])
    assert (line["target"], line["born"], line["report"]) == ("i-1", 1_000, 25)
    assert (line["state"], line["before"]) == ("draining", "ready")
    assert (line["revision"], line["age"]) == (2, 0.25)


@pytest.mark.parametrize(("copy", "state"), [([GONE], "gone"), ([], "absent")])
def test_a_line_says_when_the_copy_learnt_that_a_target_is_gone(copy, state):
    (line,) = lines_of([a_record()], copy)
    assert (line["state"], line["before"]) == (state, "ready")


def test_a_first_copy_logs_targets_that_drain_but_none_that_are_gone():
    assert lines_of([GONE]) == []
    (line,) = lines_of([DRAINING])
    assert line["before"] is None


def test_a_new_process_of_an_instance_is_compared_with_no_earlier_one():
    assert lines_of([DRAINING], [a_record(born_ms=2_000)])[1:] == []
    later = a_record(born_ms=2_000, state=TargetState.DRAINING)
    assert lines_of([DRAINING], [later])[1]["before"] is None


def test_a_copy_by_which_all_targets_leave_logs_a_bounded_number_of_lines():
    count = MAX_LINES + 7
    records = [
        a_record(instance=f"i-{n}", address=f"10.0.1.{n}:80") for n in range(count)
    ]
    lines = lines_of(records, [])
    assert len(lines) == MAX_LINES + 1
    assert lines[-1]["targets"] == 7
