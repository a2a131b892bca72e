"""Tries: never a second run of what may run once, refusals that are true."""

from __future__ import annotations

import pytest
from result import Err, Ok

from chicoryhold.callers.refusals import RefusalKind, RunStatus
from chicoryhold.errors import (
    CallerLeft,
    ConnectFailed,
    ExchangeFailed,
    ExchangeTimeout,
)
from chicoryhold.gateway.delivery import Delivery, Job
from chicoryhold.gateway.request import AnswerFacts, GatewayRequest
from chicoryhold.gateway.retry_budgets import RetryBudgets
from chicoryhold.routing.configuration import RouteRule, WeightedService
from chicoryhold.targets.cancellation import Cancellation
from chicoryhold.targets.exchange import TargetAnswer
from tests.conftest import FakeClock
from tests.test_target_choice import a_chooser, full

OK = TargetAnswer(status=200, headers=(), body=b"whole")
SHED = TargetAnswer(status=503, headers=(("shed", "1"),), body=b"")
FAILED = TargetAnswer(status=500, headers=(), body=b"own")
PLAIN_503 = TargetAnswer(status=503, headers=(), body=b"")


class Connections:
    """Plays a list of answers and errors, and notes who was asked."""

    def __init__(self, clock: FakeClock, *played: object) -> None:
        self.clock = clock
        self.played = list(played)
        self.asked: list[str] = []

    def exchange(self, address, request, *, deadline, doubted_deadline, cancellation):
        self.asked.append(address)
        self.clock.advance(0.1)
        step = self.played.pop(0)
        if isinstance(step, Exception):
            raise step
        return step


class Words:
    def headers(self, call):
        return {}

    def facts(self, answer):
        return AnswerFacts(did_not_run=("shed", "1") in answer.headers)


def run(
    *played: object, repeatable: bool, attempts: int = 2, cancelled: bool = False,
    waiting: int = 0,
):  # fmt: skip
    clock = FakeClock()
    connections = Connections(clock, *played)
    chooser = a_chooser("north-a", "north-a", "north-b", clock=clock)
    if waiting:
        full(chooser, 3, waiting=waiting)
    delivery = Delivery(
        chooser=chooser,
        connections=connections,
        words=Words(),
        budgets=RetryBudgets(),
        clock=clock,
    )
    cancellation = Cancellation()
    if cancelled:
        cancellation.set()
    request = GatewayRequest(
        request_id="r1",
        method="POST",
        host="h",
        path="/",
        target="/",
        headers={},
        body=b"",
        key=None,
        object_name="thing",
        arrived_at=clock.now(),
        deadline=clock.now() + 2,
        cancellation=cancellation,
    )
    route = RouteRule(
        name="r",
        host="h",
        prefix="/",
        parts=(WeightedService(service="menu", weight=1),),
        repeatable=repeatable,
        attempts=attempts,
        objective=0.3,
    )
    job = Job(
        request=request,
        route=route,
        service="menu",
        organisation="",
        homes=frozenset(),
        deadline=request.deadline,
    )
    return delivery.deliver(job), connections.asked


@pytest.mark.parametrize(
    "error", [ExchangeFailed("reset"), ExchangeTimeout("late"), PLAIN_503, FAILED]
)
def test_what_may_run_once_is_never_sent_again_after_it_may_have_run(error):
    outcome, asked = run(error, OK, repeatable=False)
    assert len(asked) == 1
    assert outcome.is_ok() or outcome.err_value.ran is RunStatus.UNKNOWN


@pytest.mark.parametrize("proof", [ConnectFailed("refused"), SHED])
def test_what_proved_not_to_have_run_is_sent_to_another_target(proof):
    outcome, asked = run(proof, OK, repeatable=False)
    assert outcome == Ok(OK)
    assert len(set(asked)) == 2


def test_a_refusal_after_two_proofs_is_not_run_and_says_when_to_come_back():
    outcome, asked = run(SHED, ConnectFailed("refused"), repeatable=False)
    assert isinstance(outcome, Err)
    assert outcome.err_value.ran is RunStatus.NOT_RUN
    assert outcome.err_value.retry_after > 0
    assert len(asked) == 2


def test_a_shed_second_try_does_not_make_the_first_one_not_run():
    outcome, _ = run(ExchangeFailed("reset"), SHED, repeatable=True)
    assert outcome.err_value.ran is RunStatus.UNKNOWN
    assert outcome.err_value.kind is RefusalKind.ANSWER_BROKEN


def test_a_503_that_does_not_say_that_it_did_not_run_is_not_passed_on():
    outcome, _ = run(PLAIN_503, repeatable=False)
    assert outcome.err_value.kind is RefusalKind.ANSWER_BROKEN


def test_a_targets_own_failure_is_passed_on_unchanged():
    outcome, _ = run(FAILED, repeatable=False)
    assert outcome == Ok(FAILED)


def test_no_request_goes_to_more_targets_than_its_route_allows():
    outcome, asked = run(*[ExchangeFailed("reset")] * 5, repeatable=True, attempts=2)
    assert len(asked) == 2


def test_nothing_is_sent_again_for_a_caller_that_has_left():
    outcome, asked = run(CallerLeft("gone"), OK, repeatable=True, cancelled=True)
    assert len(asked) == 1


def test_the_reserve_of_second_sends_is_small_and_earned_by_first_ones():
    budgets = RetryBudgets()
    spent = sum(budgets.spend("menu") for _ in range(10))
    assert spent == 2
    for _ in range(100):
        budgets.earn("menu")
    assert sum(budgets.spend("menu") for _ in range(50)) <= 12


def test_a_request_that_queues_would_make_late_is_refused_at_once_and_not_sent():
    # Every queue was full for eight seconds of an evacuation, and everybody's answer
    # came late.
    outcome, asked = run(repeatable=True, waiting=12)
    assert asked == []
    refusal = outcome.err_value
    assert (refusal.kind, refusal.ran) == (RefusalKind.OVERLOADED, RunStatus.NOT_RUN)
    assert refusal.retry_after > 0.2
