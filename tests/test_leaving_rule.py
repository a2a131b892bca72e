"""The soaks' rule on requests to targets that had said they leave."""

from __future__ import annotations

import attrs
import pytest

from bench.stops.judge import FaultKind, Judge
from bench.stops.leaving_rule import DRAIN_SECONDS, LeavingRule
from bench.stops.records import Ending, Freeze, HostLife, Ledger, SentRequest

PASSED_ON_AT = 100.0
LATE_AT = PASSED_ON_AT + DRAIN_SECONDS + 0.1
TARGET, SUCCESSOR = "i-1/1", "i-1/2"


def a_life(*, number: int = 1, host: str = "h", **changes: object) -> HostLife:
    return HostLife(host=host, number=number, started_at=90.0, **changes)


def a_request(life: HostLife, request_id: str, **changes: object) -> SentRequest:
    request = SentRequest(
        request_id=request_id,
        client="kept",
        life=life,
        safe=True,
        deadline_seconds=2.0,
        body_bytes=0,
        answer_bytes=0,
        ending=Ending.ANSWERED,
        status=200,
        sealed=True,
        answered_by=TARGET,
    )
    return attrs.evolve(request, **changes)


def passed_on(life: HostLife, **changes: object) -> SentRequest:
    """Return a request whose answer said that the target leaves."""
    return attrs.evolve(
        a_request(life, "first", began_at=99.0, ended_at=PASSED_ON_AT),
        **{"says_leaving": True, **changes},
    )


def late_ids(
    *requests: SentRequest, lives: tuple[HostLife, ...], target: str = TARGET,
    source: str = "h",
) -> list[str]:  # fmt: skip
    """Return the late ones among requests of which the last reached ``target``."""
    ledger = Ledger()
    for life in lives:
        ledger.add_life(life)
    for request in requests:
        ledger.add_request(request)
    last = requests[-1]
    if target:
        arrival = ledger.add_arrival(last.request_id, target, source=source)
        arrival.arrived_at = last.began_at
    judged = Judge(ledger, grace_seconds=6.0).faults
    rule_ids = [late.request_id for late in LeavingRule(ledger).late_requests]
    kind = FaultKind.AFTER_LEAVING
    assert [each.request_id for each in judged if each.kind is kind] == rule_ids
    return rule_ids


def test_a_request_is_late_after_the_host_passed_on_an_answer_that_says_so():
    life = a_life()
    late = a_request(life, "late", began_at=LATE_AT)
    assert late_ids(passed_on(life), late, lives=(life,)) == ["late"]


def test_the_sender_of_a_relayed_request_is_known_by_its_address():
    life, caller_life = a_life(), a_life(host="other")
    relayed = a_request(caller_life, "relayed", began_at=LATE_AT)
    lives = (life, caller_life)
    assert late_ids(passed_on(life), relayed, lives=lives) == ["relayed"]
    assert late_ids(passed_on(life), relayed, lives=lives, source="other") == []


@pytest.mark.parametrize(
    ("answer", "began_at", "target"),
    [
        ({}, LATE_AT - 0.2, TARGET),
        ({"says_leaving": False}, LATE_AT, TARGET),
        ({"ending": Ending.RESET}, LATE_AT, TARGET),
        ({}, LATE_AT, SUCCESSOR),
        ({}, LATE_AT, ""),
    ],
    ids=["in time", "not said", "not passed on", "a successor", "turned away"],
)
def test_other_requests_are_not_late(answer, began_at, target):
    life = a_life()
    request = a_request(life, "other", began_at=began_at)
    ids = late_ids(passed_on(life, **answer), request, lives=(life,), target=target)
    assert ids == []


def test_a_restart_excuses_a_host():
    first, second = a_life(), a_life(number=2)
    second.started_at = LATE_AT - 0.5
    request = a_request(second, "other", began_at=LATE_AT)
    assert late_ids(passed_on(first), request, lives=(first, second)) == []


@pytest.mark.parametrize("ended_at", [PASSED_ON_AT + 1.0, None])
def test_a_freeze_since_then_excuses_a_host(ended_at):
    life = a_life(freezes=[Freeze(began_at=PASSED_ON_AT + 0.5, ended_at=ended_at)])
    request = a_request(life, "other", began_at=LATE_AT)
    assert late_ids(passed_on(life), request, lives=(life,)) == []


def test_an_answer_after_a_freeze_binds_a_host_again():
    life = a_life(freezes=[Freeze(began_at=90.0, ended_at=PASSED_ON_AT - 0.5)])
    late = a_request(life, "late", began_at=LATE_AT)
    assert late_ids(passed_on(life), late, lives=(life,)) == ["late"]
