"""Rate limits that targets name in their answers: what a host knows and reports."""

from __future__ import annotations

import pytest
from wiring.targets import PlatformHeaders

from chicoryhold.metrics import Metrics
from chicoryhold.routing.stated_limits import RateStatement, StatedLimits
from chicoryhold.targets.exchange import TargetResponse
from tests.conftest import FakeClock
from tests.test_targets_state import a_record

NO_LIMIT = RateStatement()
UNREADABLE = ("", "-1", "nan", "inf", "1e9", "4,5", "four", "9" * 40, "\u0664")


def a_limits(clock: FakeClock | None = None) -> StatedLimits:
    return StatedLimits(clock=clock or FakeClock(), metrics=Metrics(process="test"))


def test_a_limit_is_known_until_an_answer_names_none():
    limits = a_limits()
    target = a_record(instance="i-1")
    limits.record_answer(target, NO_LIMIT)
    assert limits.rates() == {}
    limits.record_answer(target, RateStatement(rate=9.9))
    assert limits.rates() == {"i-1": 9.9}
    limits.record_answer(target, RateStatement(rate=4.0))
    assert limits.rates() == {"i-1": 4.0}
    limits.record_answer(target, NO_LIMIT)
    assert limits.rates() == {}


def test_a_value_that_cannot_be_read_changes_nothing():
    limits = a_limits()
    target = a_record(instance="i-1")
    limits.record_answer(target, RateStatement(rate=9.9))
    limits.record_answer(target, RateStatement(is_readable=False))
    assert limits.rates() == {"i-1": 9.9}


@pytest.mark.parametrize("late", [NO_LIMIT, RateStatement(rate=50.0)])
def test_a_late_answer_of_a_former_process_says_nothing_of_the_next_ones_limit(late):
    limits = a_limits()
    restarted = a_record(instance="i-1", born_ms=a_record().born_ms + 1)
    limits.record_answer(restarted, RateStatement(rate=9.9))
    limits.record_answer(a_record(instance="i-1"), late)
    limits.keep_only({"i-1": restarted})
    assert limits.rates() == {"i-1": 9.9}


def test_a_new_process_of_the_same_name_has_no_limit():
    limits = a_limits()
    limits.record_answer(a_record(instance="i-1"), RateStatement(rate=9.9))
    restarted = a_record(instance="i-1", born_ms=a_record().born_ms + 1)
    limits.keep_only({"i-1": restarted})
    assert limits.rates() == {}


@pytest.mark.parametrize(
    ("value", "statement"),
    [
        (None, NO_LIMIT),
        ("9.9", RateStatement(rate=9.9)),
        (" 4 ", RateStatement(rate=4.0)),
        ("0", RateStatement(rate=0.0)),
        *((text, RateStatement(is_readable=False)) for text in UNREADABLE),
    ],
)
def test_the_platforms_header_is_decoded(value, statement):
    headers = () if value is None else (("Server-Limit", value),)
    response = TargetResponse(status=200, headers=headers, body=b"")
    assert PlatformHeaders().response_metadata(response).statement.limit == statement
