"""Targets that turn a request away with 503 and name a time to stay away.

Guards against BUDGET: hosts sent requests to targets that wanted none for some seconds.
"""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given, strategies as st
from wiring.targets import PlatformHeaders

from chicoryhold.callers.refusals import RunStatus
from chicoryhold.gateway.request import ResponseMetadata
from chicoryhold.routing.back_offs import (
    MAX_BACK_OFF_SECONDS,
    BackOffs,
    parse_back_off,
)
from chicoryhold.routing.selection import Choice, Overloaded
from chicoryhold.routing.target_statements import TargetStatement
from chicoryhold.targets.exchange import ResponseHead
from tests.conftest import FakeClock
from tests.statement_fakes import a_statements
from tests.test_cut_off_host import fleet, send  # noqa: F401
from tests.test_delivery import OK, HeaderTranslator, run
from tests.test_leaving_targets import (
    SERVICE,
    headers_of_response,
    send_until_it_answers,
    targets_of,
)
from tests.test_target_choice import a_chooser, chosen, criteria
from tests.test_targets_state import a_record

REQUESTS = 30


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("2", 2.0),
        ("0.25", 0.25),
        (" 3 ", 3.0),
        ("0", 0.0),
        ("9" * 18, MAX_BACK_OFF_SECONDS),
        ("1e308", None),
        ("-1", None),
        ("nan", None),
        ("Sun, 06 Dec 2026 08:49:37 GMT", None),
        ("1, 2", None),
        ("9" * 500, None),
        ("", None),
        (None, None),
    ],
)
def test_a_back_off_is_a_plain_number_of_seconds_up_to_a_maximum(text, seconds):
    assert parse_back_off(text) == seconds


@pytest.mark.parametrize(
    ("status", "seconds"), [(503, 2.0), (429, None), (200, None), (500, None)]
)
def test_only_a_503_turns_requests_away_for_a_time(status, seconds):
    head = ResponseHead(status=status, headers=(("Retry-After", "2"),))
    assert PlatformHeaders().response_metadata(head).statement.back_off == seconds


@given(
    st.lists(
        st.tuples(
            st.floats(0, 5),  # seconds until the event
            st.sampled_from(["first", "second"]),
            st.integers(1, 3),  # its process
            st.floats(0, 20),  # what it says
        ),
        max_size=30,
    )
)
def test_a_process_gets_nothing_for_as_long_as_any_of_its_answers_said(events):
    clock = FakeClock()
    back_offs = BackOffs(clock=clock)
    until: dict[tuple[str, int], float] = {}
    newest: dict[str, int] = {}
    for wait, instance, born_ms, seconds in events:
        clock.advance(wait)
        record = a_record(instance=instance, born_ms=born_ms)
        back_offs.record(record, seconds)
        if (
            born_ms >= newest.get(instance, 0)
            or until.get((instance, newest[instance]), 0.0) <= clock.now()
        ):
            key = (instance, born_ms)
            until[key] = max(until.get(key, 0.0), clock.now() + seconds)
            if seconds > 0:
                newest[instance] = max(born_ms, newest.get(instance, 0))
        latest = newest.get(instance)
        if latest is not None:
            current = a_record(instance=instance, born_ms=latest)
            expected = max(0.0, until[instance, latest] - clock.now())
            assert back_offs.remaining(current) == pytest.approx(expected)
            later = a_record(instance=instance, born_ms=latest + 1)
            assert back_offs.remaining(later) == 0.0


def test_back_offs_that_have_ended_are_forgotten():
    clock = FakeClock()
    back_offs = BackOffs(clock=clock)
    for number in range(1_000):
        back_offs.record(a_record(instance=f"i-{number}"), 1.0)
        clock.advance(0.1)
    assert len(back_offs._by_instance) <= 11


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def statements(clock):
    return a_statements(clock)


def back_off(statements, chooser, instance: str, seconds: float) -> None:
    record = chooser.views[instance].record
    statement = TargetStatement(back_off=seconds)
    statements.record(record, statement, is_failure=True)


def test_a_target_that_backs_off_is_chosen_again_when_its_time_has_ended(
    clock, statements
):
    chooser = a_chooser("north-a", "north-b", clock=clock, statements=statements)
    preferred = chosen(chooser, criteria())
    back_off(statements, chooser, preferred, 2.0)
    clock.advance(1.9)
    assert chosen(chooser, criteria()) != preferred
    clock.advance(0.2)
    assert chosen(chooser, criteria()) == preferred


def test_a_reserved_target_that_backs_off_meanwhile_gets_nothing(clock, statements):
    chooser = a_chooser("north-a", clock=clock, statements=statements)
    choice = chooser.choose(criteria())
    assert isinstance(choice, Choice)
    back_off(statements, chooser, choice.view.record.instance, 2.0)
    assert not chooser.holds(choice)


def test_when_all_back_off_the_wait_is_that_of_the_first_to_end(clock, statements):
    chooser = a_chooser("north-a", "north-b", clock=clock, statements=statements)
    for seconds, instance in zip((5.0, 3.0), list(chooser.views), strict=True):
        back_off(statements, chooser, instance, seconds)
    clock.advance(0.5)
    outcome = chooser.choose(criteria())
    assert outcome == Overloaded(queue_wait=2.5, load=0.0)


class TurnedAway:
    """A result that turns the request away for some seconds."""

    def __init__(self, seconds: float) -> None:
        self.response = attrs.evolve(OK, status=503, headers=(("shed", str(seconds)),))


class BackOffTranslator(HeaderTranslator):
    def response_metadata(self, response):
        shed = [float(value) for name, value in response.headers if name == "shed"]
        return ResponseMetadata(
            did_not_run=bool(shed),
            statement=TargetStatement(back_off=shed[0] if shed else None),
        )


@pytest.fixture
def translated(monkeypatch):
    monkeypatch.setattr("tests.test_delivery.HeaderTranslator", BackOffTranslator)


def test_a_request_that_was_turned_away_goes_to_a_target_that_takes_it(translated):
    outcome, addresses = run(TurnedAway(3.0).response, OK, repeatable=False)
    assert outcome.unwrap() == OK
    assert len(set(addresses)) == 2


def test_a_request_is_refused_at_once_with_the_time_at_which_a_target_takes_it(
    translated,
):
    results = [TurnedAway(seconds).response for seconds in (4.0, 2.5, 3.0)]
    outcome, addresses = run(*results, repeatable=False, attempts=4)
    refusal = outcome.unwrap_err()
    assert len(addresses) == 3
    assert refusal.ran is RunStatus.NOT_RUN
    assert refusal.retry_after == pytest.approx(2.4, abs=0.01)  # the last took 0.1 s


def test_no_request_of_a_host_reaches_a_target_that_has_turned_one_away(
    fleet,  # noqa: F811
):
    host = fleet.peer
    target = targets_of(fleet, SERVICE)[0]
    target.status = 503
    target.extra_headers = {"Not-Executed": "1", "Retry-After": "30"}
    send_until_it_answers(host, target, SERVICE)
    runs = target.runs.total()
    statuses = {send(host, SERVICE)[1] for _ in range(REQUESTS)}
    assert target.runs.total() == runs
    assert statuses == {200}


def test_callers_are_told_when_a_target_takes_requests_again(
    fleet,  # noqa: F811
):
    host = fleet.peer
    for target in targets_of(fleet, SERVICE):
        target.status = 503
        target.extra_headers = {"Not-Executed": "1", "Retry-After": "20"}
    for _ in range(REQUESTS):
        send(host, SERVICE)
    status, headers, _ = headers_of_response(host, SERVICE)
    assert status == 503
    assert 15 < float(headers["Retry-After"]) <= 20
