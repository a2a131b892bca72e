"""Delivery: at most one run of non-repeatable requests, and accurate refusals."""

from __future__ import annotations

from types import SimpleNamespace

import attrs
import pytest
from loguru import logger
from result import Err, Ok

from chicoryhold.callers.refusals import RefusalKind, RunStatus
from chicoryhold.errors import (
    ConnectFailed,
    ExchangeCancelled,
    ExchangeFailed,
    ExchangeTimeout,
    RequestNotSent,
)
from chicoryhold.gateway.answer_statements import AnswerStatements
from chicoryhold.gateway.attempt import Attempt
from chicoryhold.gateway.attempt_log import AttemptLog
from chicoryhold.gateway.delivery import Delivery
from chicoryhold.gateway.request import GatewayRequest, ResponseMetadata, RoutedRequest
from chicoryhold.limits.retry_budgets import RetryBudgets, RetryTerms
from chicoryhold.metrics import Metrics
from chicoryhold.quarantine.evidence import AMBIGUOUS_CRASHES
from chicoryhold.quarantine.messages import CrashReport, RequestSucceeded
from chicoryhold.routing.configuration import RouteRule, WeightedService
from chicoryhold.routing.target_statements import TargetStatement, TargetStatements
from chicoryhold.targets.cancellation import Cancellation
from chicoryhold.targets.exchange import TargetResponse
from tests.conftest import FakeClock
from tests.crash_fakes import CrashedTargets, a_guard
from tests.statement_fakes import a_statements
from tests.test_target_choice import a_chooser, criteria, report_full
from tests.test_targets_state import a_record

OK = TargetResponse(status=200, headers=(), body=b"whole")
NOT_RUN = TargetResponse(status=503, headers=(("shed", "1"),), body=b"")
FAILED = TargetResponse(status=500, headers=(), body=b"own")
PLAIN_503 = TargetResponse(status=503, headers=(), body=b"")


GIVEN_UP_IF_ALLOWED = object()  # a result: the early deadline passes, then OK


class Connections:
    """Returns or raises the given results in order and records the addresses.

    A result that can be called is called with ``may_give_up`` and returns another.
    """

    def __init__(self, clock: FakeClock, *results: object) -> None:
        self.clock = clock
        self.results = list(results)
        self.addresses: list[str] = []
        self.seconds_for_a_retry: list[float] = []

    def exchange(
        self, address, request, *, deadline, stale_connection_deadline, may_give_up,
        cancellation,
    ):  # fmt: skip
        self.addresses.append(address)
        self.seconds_for_a_retry.append(deadline - stale_connection_deadline)
        self.clock.advance(0.1)
        result = self.results.pop(0)
        if callable(result):
            result = result(may_give_up)
        if result is GIVEN_UP_IF_ALLOWED:
            result = ExchangeTimeout("late") if may_give_up() else OK
        if isinstance(result, Exception):
            raise result
        return result


class HeaderTranslator:
    def headers(self, call):
        return {}

    def response_metadata(self, response):
        return ResponseMetadata(did_not_run=("shed", "1") in response.headers)


def run(*results: object, repeatable: bool, **terms: object):
    outcome, connections = run_recorded(*results, repeatable=repeatable, **terms)
    return outcome, connections.addresses


def run_recorded(
    *results: object, repeatable: bool, attempts: int = 2, cancelled: bool = False,
    waiting: int = 0, crashes_before: int = 0, told: list[object] | None = None,
    budgets: RetryBudgets | None = None, is_ending: bool = False,
    seconds_left: float = 2.0, statements: TargetStatements | None = None,
):  # fmt: skip
    clock = FakeClock()
    guard = a_guard(clock, told=told)
    for number in range(crashes_before):
        guard.record_crash(
            CrashReport(instance=f"i-{number}", born_ms=1, requests=(b"digest",))
        )
    connections = Connections(clock, *results)
    statements = statements or a_statements(clock)
    chooser = a_chooser(
        "north-a", "north-a", "north-b", clock=clock, statements=statements
    )
    if waiting:
        report_full(chooser, 3, waiting=waiting)
    delivery = Delivery(
        chooser=chooser,
        connections=connections,
        header_translator=HeaderTranslator(),
        statements=statements,
        crashes=CrashedTargets().watch(clock),
        log=AttemptLog(
            clock=clock, metrics=Metrics(process="test"), copy_age=lambda: 0.25
        ),
        guard=guard,
        budgets=budgets or RetryBudgets(),
        clock=clock,
        may_take=lambda deadline: not (is_ending and connections.addresses),
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
        affinity_key="thing",
        arrived_at=clock.now(),
        deadline=clock.now() + seconds_left,
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
    routed = RoutedRequest(
        request=request,
        route=route,
        service="menu",
        organisation="",
        allowed_regions=frozenset(),
        deadline=request.deadline,
        digest=b"digest",
    )
    return delivery.deliver(routed), connections


@pytest.mark.parametrize(
    "error", [ExchangeFailed("reset"), ExchangeTimeout("late"), PLAIN_503, FAILED]
)
def test_a_request_that_may_have_run_is_not_retried_if_not_repeatable(error):
    outcome, addresses = run(error, OK, repeatable=False)
    assert len(addresses) == 1
    assert outcome.is_ok() or outcome.err_value.ran is RunStatus.UNKNOWN


def test_a_request_is_not_sent_to_a_third_target_at_once_after_two_crashes():
    outcome, addresses = run(
        ExchangeFailed("closed"), OK, repeatable=True, crashes_before=1
    )
    assert (outcome, len(addresses)) == (Ok(OK), 2)
    outcome, addresses = run(
        ExchangeFailed("closed"), OK, repeatable=True, crashes_before=2
    )
    assert len(addresses) == 1
    assert outcome.err_value.ran is RunStatus.UNKNOWN


def test_a_quarantined_request_is_not_retried_even_if_it_has_not_run():
    outcome, addresses = run(
        ConnectFailed("refused"), OK, repeatable=True, crashes_before=AMBIGUOUS_CRASHES
    )
    assert len(addresses) == 1
    assert outcome.err_value.ran is RunStatus.NOT_RUN


@pytest.mark.parametrize("answer", [OK, FAILED, PLAIN_503])
def test_an_answer_clears_a_request_of_the_crashes_that_it_was_at(answer):
    told: list[object] = []
    run(answer, repeatable=False, crashes_before=2, told=told)
    assert told[-1] == RequestSucceeded(request=b"digest")


def test_a_target_that_rejects_a_request_clears_it_of_nothing():
    told: list[object] = []
    run(NOT_RUN, NOT_RUN, repeatable=False, crashes_before=2, told=told)
    assert not any(isinstance(each, RequestSucceeded) for each in told)


@pytest.mark.parametrize(
    "first_result", [ConnectFailed("refused"), RequestNotSent("closed"), NOT_RUN]
)
def test_a_request_that_did_not_run_is_sent_to_another_target(first_result):
    outcome, addresses = run(first_result, OK, repeatable=False)
    assert outcome == Ok(OK)
    assert len(set(addresses)) == 2


def test_a_refusal_after_two_attempts_that_did_not_run_has_retry_after():
    outcome, addresses = run(NOT_RUN, ConnectFailed("refused"), repeatable=False)
    assert isinstance(outcome, Err)
    assert outcome.err_value.ran is RunStatus.NOT_RUN
    assert outcome.err_value.retry_after > 0
    assert len(addresses) == 2


def test_a_retry_that_did_not_run_does_not_hide_an_attempt_that_may_have_run():
    outcome, _ = run(ExchangeFailed("reset"), NOT_RUN, repeatable=True)
    assert outcome.err_value.ran is RunStatus.UNKNOWN
    assert outcome.err_value.kind is RefusalKind.ANSWER_BROKEN


def test_a_503_without_a_statement_that_it_did_not_run_is_not_forwarded():
    outcome, _ = run(PLAIN_503, repeatable=False)
    assert outcome.err_value.kind is RefusalKind.ANSWER_BROKEN


def test_a_targets_own_failure_is_forwarded_unchanged():
    outcome, _ = run(FAILED, repeatable=False)
    assert outcome == Ok(FAILED)


def test_a_request_gets_no_more_attempts_than_its_route_allows():
    outcome, addresses = run(
        *[ExchangeFailed("reset")] * 5, repeatable=True, attempts=2
    )
    assert len(addresses) == 2


def test_a_request_is_not_retried_after_its_caller_disconnected():
    outcome, addresses = run(
        ExchangeCancelled("gone"), OK, repeatable=True, cancelled=True
    )
    assert len(addresses) == 1


def test_the_retry_budget_is_small_and_replenished_by_first_attempts():
    budgets = RetryBudgets()
    spent = sum(budgets.spend("menu") for _ in range(10))
    assert spent == 2
    for _ in range(100):
        budgets.earn("menu")
    assert sum(budgets.spend("menu") for _ in range(50)) <= 12


def test_a_request_that_would_be_late_in_every_queue_is_refused_without_being_sent():
    # During an evacuation every queue was full for eight seconds, and without refusals
    # every response was late.
    outcome, addresses = run(repeatable=True, waiting=12)
    assert addresses == []
    refusal = outcome.err_value
    assert (refusal.kind, refusal.ran) == (RefusalKind.OVERLOADED, RunStatus.NOT_RUN)
    assert refusal.retry_after > 0.2


def test_time_is_kept_for_a_retry_only_if_one_is_left():
    _, connections = run_recorded(NOT_RUN, OK, repeatable=True)
    first, last = connections.seconds_for_a_retry
    assert first > 0
    assert last == 0


def test_no_time_is_kept_for_a_retry_that_the_budget_would_not_allow():
    budgets = RetryBudgets(
        terms=RetryTerms(earned_per_request=0.0, initial=0.0, max_saved=1.0)
    )
    _, connections = run_recorded(OK, repeatable=True, budgets=budgets)
    assert connections.seconds_for_a_retry == [0]


def test_a_host_that_may_end_before_the_deadline_sends_a_request_to_no_second_target():
    outcome, connections = run_recorded(NOT_RUN, OK, repeatable=True, is_ending=True)
    assert outcome.err_value.ran is RunStatus.NOT_RUN
    assert len(connections.addresses) == 1


@pytest.mark.parametrize("repeatable", [False, True])
@pytest.mark.parametrize("seconds_left", [-1.0, 0.0, 0.01])
def test_a_request_whose_time_ran_out_while_it_waited_is_refused_as_not_run(
    seconds_left, repeatable
):
    outcome, addresses = run(OK, repeatable=repeatable, seconds_left=seconds_left)
    assert addresses == []
    refusal = outcome.err_value
    assert refusal.kind is RefusalKind.DEADLINE_PASSED
    assert refusal.ran is RunStatus.NOT_RUN
    assert refusal.retry_after > 0


def test_an_attempt_is_not_given_up_for_a_retry_that_a_stop_would_refuse():
    """Guards against LOST: a target that is at work is broken off, and 504 answered."""
    outcome, connections = run_recorded(
        GIVEN_UP_IF_ALLOWED, repeatable=True, is_ending=True
    )
    assert outcome.ok_value is OK
    assert len(connections.addresses) == 1


def test_an_attempt_is_given_up_for_a_retry_that_is_then_made():
    outcome, connections = run_recorded(GIVEN_UP_IF_ALLOWED, OK, repeatable=True)
    assert outcome.ok_value is OK
    assert len(set(connections.addresses)) == 2


def test_a_reserved_retry_is_charged_to_the_budget_once():
    budgets = RetryBudgets(
        terms=RetryTerms(earned_per_request=0.0, initial=2.0, max_saved=2.0)
    )
    for _ in range(2):
        outcome, connections = run_recorded(
            GIVEN_UP_IF_ALLOWED, OK, repeatable=True, budgets=budgets
        )
        assert len(connections.addresses) == 2
    outcome, connections = run_recorded(
        GIVEN_UP_IF_ALLOWED, repeatable=True, budgets=budgets
    )
    assert outcome.ok_value is OK
    assert len(connections.addresses) == 1


def test_an_attempt_is_not_given_up_where_no_attempt_is_left():
    outcome, connections = run_recorded(
        GIVEN_UP_IF_ALLOWED, repeatable=True, attempts=1
    )
    assert outcome.ok_value is OK


def test_the_line_of_a_failed_attempt_names_the_state_by_which_it_was_made():
    lines: list[dict] = []
    handler = logger.add(lambda line: lines.append(line.record["extra"]))
    try:
        run(FAILED, repeatable=False)
    finally:
        logger.remove(handler)
    (line,) = lines
    assert (line["state"], line["revision"], line["age"]) == ("ready", 41, 0.25)


@pytest.mark.parametrize("do_others_stay", [True, False])
def test_a_reserved_retry_is_given_up_if_its_target_says_it_leaves(do_others_stay):
    statements = a_statements(FakeClock())
    leaving = set()

    def reserve_then_hear_it(may_give_up):
        assert may_give_up()
        reserved = may_give_up.__self__.choice.view.record.instance
        leaving.update([reserved] if do_others_stay else ["i-0", "i-1", "i-2"])
        for instance in leaving:
            statements.record_leaving(a_record(instance=instance))
        return ExchangeTimeout("late")

    _, connections = run_recorded(
        reserve_then_hear_it, OK, repeatable=True, statements=statements
    )
    retried = {
        address.replace("10.0.0.", "i-")[:3] for address in connections.addresses[1:]
    }
    assert len(retried) == do_others_stay
    assert not retried & leaving


def an_attempt(clock: FakeClock, statements: TargetStatements) -> Attempt:
    chooser = a_chooser("north-a", clock=clock, statements=statements)
    request = SimpleNamespace(request_id="r1")
    return Attempt(
        routed=SimpleNamespace(request=request, service="menu"),
        choice=chooser.choose(criteria()),
        number=0,
        started=clock.now(),
    )


def test_lines_tell_by_which_state_a_target_got_a_request_before_and_after_the_word():
    clock = FakeClock()
    statements = a_statements(clock)
    attempt = an_attempt(clock, statements)
    says = ResponseMetadata(statement=TargetStatement(is_leaving=True))
    answers = AnswerStatements(
        statements=statements,
        reader=HeaderTranslator(),
        record_at=lambda address: None,
        log=AttemptLog(
            clock=clock, metrics=Metrics(process="test"), copy_age=lambda: 7.5
        ),
    )
    lines: list[dict] = []
    handler = logger.add(lambda line: lines.append(line.record))
    try:
        answers.record_response(attempt, says, OK)
        answers.record_response(attempt, says, OK)
        clock.advance(3.0)
        late = attrs.evolve(attempt, started=clock.now())
        answers.record_response(late, says, OK)
    finally:
        logger.remove(handler)
    assert [line["message"] for line in lines] == [
        "delivery: a target says that it leaves.",
        "delivery: a target that had said that it leaves got a request.",
    ]
    first, second = (line["extra"] for line in lines)
    assert (first["request"], first["target"], first["born"]) == ("r1", "i-0", 1_000)
    assert (first["state"], first["state_now"]) == ("ready", "ready")
    assert (first["revision"], first["age"]) == (41, 7.5)
    assert second["seconds"] == 3.0
