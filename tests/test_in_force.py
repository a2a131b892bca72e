"""What operators are told of where a revision is in force."""

from __future__ import annotations

from pathlib import Path

import attrs
import pytest
from result import Ok, Result

from chicoryhold.control.in_force import (
    COLLECTION_SECONDS,
    MAX_LOWEST_HOSTS,
    InForceReports,
)
from chicoryhold.control.messages import HostReport
from chicoryhold.errors import OperatorRequestFailed
from chicoryhold.operators.client import ApiCall
from chicoryhold.operators.commands import OperatorCommands, Options
from tests.conftest import FakeClock

OPTIONS = Options(
    request_id=None, based_on=None, folder=Path(), share=0.0, cap=0.0, timeout=0.3
)


def a_report(host: str, revision: int) -> HostReport:
    return HostReport(host=host, domain="d", revision=revision, age=0.0)


class FakeClient:
    """Answers each call with the next of ``answers``, and the last one again."""

    def __init__(self, answers: list[dict]) -> None:
        self._answers = answers

    def run(self, call: ApiCall, *, request_id: str | None) -> Result[dict, str]:
        return Ok(self._answers.pop(0) if len(self._answers) > 1 else self._answers[0])


def an_answer(reports: InForceReports) -> dict:
    domains = [{"domain": d.domain, "revision": d.revision} for d in reports.domains()]
    return {
        "complete": reports.is_complete,
        "collected_seconds": reports.collected_seconds,
        "domains": domains,
        "lowest": [attrs.asdict(host) for host in reports.lowest_hosts()],
    }


def wait_for(answer: dict, revision: str) -> dict:
    commands = OperatorCommands(client=FakeClient([answer]), options=OPTIONS)
    return commands.wait(revision)


def test_a_new_leader_says_nothing_is_in_force_before_it_has_heard_of_all_hosts():
    clock = FakeClock()
    reports = InForceReports(clock=clock)
    clock.advance(60.0)
    reports.restart()
    reports.record([a_report("h1", 7)])
    early = an_answer(reports)
    reports.record([a_report("h2", 6)])
    clock.advance(COLLECTION_SECONDS)
    client = FakeClient([early, an_answer(reports)])
    commands = OperatorCommands(client=client, options=OPTIONS)
    with pytest.raises(OperatorRequestFailed, match="not in force in d"):
        commands.wait("7")


def test_waiting_ends_once_all_hosts_that_report_have_the_revision():
    clock = FakeClock()
    reports = InForceReports(clock=clock)
    reports.record([a_report("h1", 7), a_report("h2", 7)])
    clock.advance(COLLECTION_SECONDS)
    client = FakeClient([an_answer(reports)])
    commands = OperatorCommands(client=client, options=OPTIONS)
    assert commands.wait("7")["complete"]


def test_a_host_that_lags_is_told_from_one_that_has_not_reported_since():
    clock = FakeClock()
    reports = InForceReports(clock=clock)
    reports.record([a_report("h1", 6), a_report("h2", 6), a_report("h3", 6)])
    clock.advance(9.0)
    reports.record([a_report("h1", 7), a_report("h2", 6)])
    clock.advance(0.4)
    with pytest.raises(OperatorRequestFailed) as raised:
        wait_for(an_answer(reports), "7")
    assert str(raised.value) == (
        "revision 7 is not in force in d (h3 at 6, reported 9.4 s ago; "
        "h2 at 6, reported 0.4 s ago): check its hosts"
    )


def test_a_leader_that_was_just_elected_says_for_how_long_it_has_collected():
    clock = FakeClock()
    reports = InForceReports(clock=clock)
    clock.advance(60.0)
    reports.restart()
    reports.record([a_report("h1", 7)])
    clock.advance(0.5)
    with pytest.raises(OperatorRequestFailed) as raised:
        wait_for(an_answer(reports), "7")
    assert str(raised.value) == (
        "revision 7 is not in force in all domains yet; "
        "the leader has collected reports for 0.5 s: wait again"
    )


def test_an_answer_of_an_older_build_names_the_domain():
    answer = {"complete": True, "domains": [{"domain": "d", "revision": 6}]}
    with pytest.raises(OperatorRequestFailed, match="not in force in d: check"):
        wait_for(answer, "7")


def test_few_of_the_hosts_that_lag_are_named():
    reports = InForceReports(clock=FakeClock())
    reports.record(a_report(f"h{number}", 6) for number in range(100))
    assert len(reports.lowest_hosts()) == MAX_LOWEST_HOSTS
