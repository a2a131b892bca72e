"""What operators are told of where a revision is in force."""

from __future__ import annotations

from pathlib import Path

import pytest
from result import Ok, Result

from chicoryhold.control.in_force import COLLECTION_SECONDS, InForceReports
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
    return {"complete": reports.is_complete, "domains": domains}


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
