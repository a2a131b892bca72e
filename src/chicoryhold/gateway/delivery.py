"""Delivers one request: choice of a target, exchange, and retries where safe."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

import attrs
from loguru import logger
from result import Err, Ok

from chicoryhold.callers.refusals import (
    Refusal,
    RefusalKind,
    RunStatus,
    stopping_refusal,
)
from chicoryhold.clock import Clock
from chicoryhold.errors import (
    ConnectFailed,
    ExchangeCancelled,
    ExchangeFailed,
    ExchangeTimeout,
    InvalidResponse,
    RequestNotSent,
)
from chicoryhold.gateway.answer_statements import AnswerStatements
from chicoryhold.gateway.attempt import Attempt
from chicoryhold.gateway.attempt_log import AttemptLog
from chicoryhold.gateway.outcomes import (
    MIN_FAILURE_STATUS,
    MIN_REMAINING_SECONDS,
    NOT_RUN_STATUSES,
    OVERLOAD_RETRY_AFTER_SECONDS,
    Outcome,
    all_back_off,
    deadline_passed,
    failure,
    forwarded_failure,
    no_target,
    rejected_by_target,
)
from chicoryhold.gateway.request import ResponseMetadata, RoutedRequest, TargetCall
from chicoryhold.gateway.reserved_retry import ReservedRetry
from chicoryhold.limits.retry_budgets import RetryBudgets
from chicoryhold.quarantine.crash_watch import CrashWatch
from chicoryhold.quarantine.guard import RequestGuard
from chicoryhold.routing.selection import Choice, Overloaded, SelectionCriteria
from chicoryhold.routing.target_choice import TargetChooser
from chicoryhold.routing.target_statements import TargetStatements
from chicoryhold.state.targets import process_of
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.exchange import (
    ConnectionUse,
    OutgoingRequest,
    ResponseHead,
    TargetResponse,
)

# A timeout counts as the target's failure if the target had at least this multiple of
# the expected latency to respond.
OVERDUE_FACTOR = 4.0


class TargetHeaderTranslator(Protocol):
    """Translates between calls and the headers that targets understand."""

    def headers(self, call: TargetCall) -> Mapping[str, str]: ...

    def response_metadata(self, response: ResponseHead) -> ResponseMetadata: ...


@attrs.frozen(kw_only=True)
class _AttemptResult:
    """The result of one attempt.

    ``known_not_run`` means that the request is known not to have run in this attempt.
    """

    outcome: Outcome
    known_not_run: bool
    failed: bool = True


class Delivery:
    """Sends requests to targets, with retries. Thread-safe.

    While ``is_cut_off()`` is true, no target can be reached, so nothing is retried.
    ``may_take`` returns whether a request with a given deadline may still be sent.
    """

    def __init__(
        self, *, chooser: TargetChooser, connections: TargetConnections,
        header_translator: TargetHeaderTranslator, budgets: RetryBudgets, clock: Clock,
        statements: TargetStatements, crashes: CrashWatch, guard: RequestGuard,
        log: AttemptLog,
        is_cut_off: Callable[[], bool] = lambda: False,
        may_take: Callable[[float], bool] = lambda deadline: True,
    ) -> None:  # fmt: skip
        self._may_take = may_take
        self._chooser = chooser
        self._connections = connections
        self._header_translator = header_translator
        self._budgets = budgets
        self._clock = clock
        self._limits = statements.limits
        self._answers = AnswerStatements(
            statements=statements,
            reader=header_translator,
            record_at=chooser.record_at,
            log=log,
        )
        self._crashes = crashes
        self._guard = guard
        self._is_cut_off = is_cut_off
        self._log = log

    def deliver(self, routed: RoutedRequest) -> Outcome:
        """Return a complete response, or a refusal that states whether the request ran.

        A request that must run at most once is retried only if the earlier attempt is
        known not to have run: no byte was sent, or the target itself stated it.
        """
        self._budgets.earn(routed.service)
        if routed.deadline - self._clock.now() < MIN_REMAINING_SECONDS:
            return deadline_passed()
        last: _AttemptResult | None = None
        avoid: frozenset[str] = frozenset()
        reserved: Choice | None = None
        for number in range(max(1, routed.route.attempts)):
            choice = reserved if reserved and self._chooser.holds(reserved) else None
            if choice is None:
                if number and not self._may_retry(routed, last):
                    break
                if not self._may_take(routed.deadline):
                    last = last or _AttemptResult(
                        outcome=Err(stopping_refusal()), known_not_run=True
                    )
                    break
                choice = self._chooser.choose(self._criteria(routed, avoid))
            if isinstance(choice, Overloaded):
                last = last or self._overload_result(routed, choice)
                break
            if choice is None:
                break
            address = choice.view.record.address
            avoid |= {address}
            retry = self._retry(routed, number, avoid)
            attempt = Attempt(
                routed=routed,
                choice=choice,
                number=number,
                started=self._clock.now(),
                named_there=self._chooser.record_at(address),
            )
            attempt_result = self._run_attempt(attempt, retry)
            if not attempt_result.failed:
                return attempt_result.outcome
            last = _decisive_result(last, attempt_result)
            reserved = retry.choice
        if last is not None:
            return self._final_outcome(routed, last)
        left_out = self._chooser.left_out(routed.service)
        return no_target(routed.service, leaving=left_out)

    def _final_outcome(self, routed: RoutedRequest, last: _AttemptResult) -> Outcome:
        """Return the outcome of ``last``; if all targets back off, until when."""
        if not last.known_not_run:
            return last.outcome
        seconds = self._chooser.back_off_seconds(self._criteria(routed, frozenset()))
        if not seconds:
            return last.outcome
        return all_back_off(routed.service, seconds=seconds)

    def _retry(
        self, routed: RoutedRequest, number: int, avoid: frozenset[str]
    ) -> ReservedRetry:
        def reserve() -> Choice | None:
            is_last = number + 1 >= routed.route.attempts
            if is_last or not self._may_take(routed.deadline):
                return None
            if not self._may_repeat(routed, known_not_run=False):
                return None
            choice = self._chooser.choose(self._criteria(routed, avoid))
            if not isinstance(choice, Choice):
                return None
            if not self._budgets.spend(routed.service):
                self._chooser.release(choice)
                return None
            return choice

        return ReservedRetry(reserve=reserve)

    def _criteria(
        self, routed: RoutedRequest, avoid: frozenset[str]
    ) -> SelectionCriteria:
        return SelectionCriteria(
            route=routed.route,
            service=routed.service,
            affinity_key=routed.request.affinity_key,
            allowed_regions=routed.allowed_regions,
            avoid=avoid,
            rank=routed.rank,
            time_left=routed.deadline - self._clock.now(),
        )

    def _overload_result(
        self, routed: RoutedRequest, overloaded: Overloaded
    ) -> _AttemptResult:
        logger.bind(
            request=routed.request.request_id,
            service=routed.service,
            rank=routed.rank,
            wait=round(overloaded.queue_wait, 3),
            load=round(overloaded.load, 2),
        ).info("delivery: all targets are overloaded.")
        refusal = Refusal(
            kind=RefusalKind.OVERLOADED,
            ran=RunStatus.NOT_RUN,
            message=(
                f"all targets of {routed.service} are busy; its answer would be late"
            ),
            retry_after=max(OVERLOAD_RETRY_AFTER_SECONDS, overloaded.queue_wait),
        )
        return _AttemptResult(outcome=Err(refusal), known_not_run=True)

    def _may_retry(self, routed: RoutedRequest, last: _AttemptResult) -> bool:
        may_repeat = self._may_repeat(routed, known_not_run=last.known_not_run)
        return may_repeat and self._budgets.spend(routed.service)

    def _may_repeat(self, routed: RoutedRequest, *, known_not_run: bool) -> bool:
        """Return whether another attempt may be made, if the budget allows it."""
        if routed.request.cancellation.is_set or self._is_cut_off():
            return False
        if not (known_not_run or routed.route.repeatable):
            return False
        if routed.deadline - self._clock.now() < MIN_REMAINING_SECONDS:
            return False
        if self._guard.quarantine_seconds(routed.digest):
            return False
        return known_not_run or self._guard.may_retry(routed.digest)

    def _run_attempt(self, attempt: Attempt, retry: ReservedRetry) -> _AttemptResult:
        routed = attempt.routed
        self._limits.record_sent(attempt.target.instance)
        try:
            response = self._connections.exchange(
                attempt.target.address,
                self._outgoing_request(routed, attempt.choice),
                deadline=routed.deadline,
                stale_connection_deadline=self._stale_connection_deadline(attempt),
                may_give_up=retry.reserve,
                cancellation=routed.request.cancellation,
            )
            metadata = self._header_translator.response_metadata(response)
            self._answers.record_response(attempt, metadata, response)
        except ExchangeFailed as error:
            return self._handle_exchange_error(attempt, error)
        except RequestNotSent as error:
            self._chooser.release(attempt.choice)
            self._log.record_failure(attempt, str(error))
            return _AttemptResult(
                outcome=failure(RefusalKind.NO_TARGET, RunStatus.NOT_RUN, error),
                known_not_run=True,
            )
        except ConnectFailed as error:
            self._record_failure(attempt, error, unreachable=True)
            return _AttemptResult(
                outcome=failure(RefusalKind.NO_TARGET, RunStatus.NOT_RUN, error),
                known_not_run=True,
            )
        except Exception:
            self._chooser.release(attempt.choice)
            raise
        return self._handle_response(attempt, response, metadata)

    def _outgoing_request(
        self, routed: RoutedRequest, choice: Choice
    ) -> OutgoingRequest:
        request = routed.request
        call = TargetCall(
            instance=choice.view.record.instance,
            organisation=routed.organisation,
            remaining=max(0.001, request.deadline - self._clock.now()),
        )
        return OutgoingRequest(
            request_id=request.request_id,
            method=request.method,
            path=request.target,
            headers={**request.headers, **self._header_translator.headers(call)},
            body=request.body,
            at_most_once=not routed.route.repeatable,
            cross_region=choice.is_cross_region,
        )

    def _stale_connection_deadline(self, attempt: Attempt) -> float:
        """Return the deadline of an attempt on a connection that may have been lost.

        Half of the remaining time is kept for a retry, if there can be one and the
        other half is enough for an attempt. Whether there will be one is asked when
        that time comes.
        """
        routed = attempt.routed
        now = self._clock.now()
        half = (routed.deadline - now) / 2
        may_retry = (
            routed.route.repeatable
            and attempt.number + 1 < routed.route.attempts
            and self._budgets.allows_retry(routed.service)
        )
        if not may_retry or half < OVERDUE_FACTOR * attempt.choice.expected_latency:
            return routed.deadline
        return now + half

    def _handle_response(
        self, attempt: Attempt, response: TargetResponse, metadata: ResponseMetadata
    ) -> _AttemptResult:
        routed = attempt.routed
        choice = attempt.choice
        if metadata.other_instance:
            self._record_failure(
                attempt, "another instance has the address", use=response.use
            )
            return _AttemptResult(outcome=rejected_by_target(), known_not_run=True)
        load = metadata.statement.load
        if metadata.did_not_run:
            self._chooser.record_rejection(choice, load=load)
            self._log.record_failure(
                attempt, "the target did not run the request", use=response.use
            )
            return _AttemptResult(outcome=rejected_by_target(), known_not_run=True)
        self._guard.record_success(routed.digest)
        if metadata.statement.is_leaving:
            leaving = process_of(attempt.target)
            response = attrs.evolve(response, leaving=leaving)
        if response.status >= MIN_FAILURE_STATUS or response.status in NOT_RUN_STATUSES:
            self._record_failure(attempt, f"status {response.status}", use=response.use)
            return _AttemptResult(
                outcome=forwarded_failure(response), known_not_run=False
            )
        self._chooser.record_success(
            choice,
            self._criteria(routed, frozenset()),
            seconds=self._clock.now() - attempt.started,
            load=load,
        )
        return _AttemptResult(outcome=Ok(response), known_not_run=False, failed=False)

    def _handle_exchange_error(
        self, attempt: Attempt, error: ExchangeFailed
    ) -> _AttemptResult:
        choice = attempt.choice
        self._answers.record_failed(attempt, error.heads)
        if isinstance(error, ExchangeCancelled):
            self._chooser.release(choice)
            outcome = failure(RefusalKind.TIMED_OUT, RunStatus.UNKNOWN, error)
            return _AttemptResult(outcome=outcome, known_not_run=False)
        timed_out = isinstance(error, ExchangeTimeout)
        overdue = (
            self._clock.now() - attempt.started
            >= OVERDUE_FACTOR * choice.expected_latency
        )
        if timed_out and not overdue:
            # The target had less time than it normally needs, so this is no failure.
            self._chooser.release(choice)
            self._log.record_failure(attempt, str(error))
        else:
            self._record_failure(attempt, error)
        if not timed_out and not isinstance(error, InvalidResponse):
            self._crashes.record_lost(attempt.target, attempt.routed.digest)
        kind = RefusalKind.TIMED_OUT if timed_out else RefusalKind.ANSWER_BROKEN
        return _AttemptResult(
            outcome=failure(kind, RunStatus.UNKNOWN, error), known_not_run=False
        )

    def _record_failure(
        self, attempt: Attempt, error: object, *, unreachable: bool = False,
        use: ConnectionUse | None = None,
    ) -> None:  # fmt: skip
        ejected = self._chooser.record_failure(attempt.choice, unreachable=unreachable)
        self._log.record_failure(attempt, str(error), use=use, left_alone=ejected)


def _decisive_result(
    last: _AttemptResult | None, attempt_result: _AttemptResult
) -> _AttemptResult:
    """Return the result that determines the outcome of the delivery.

    An earlier attempt that may have run the request takes precedence, because a later
    result must not report the request as not run.
    """
    if last is not None and not last.known_not_run:
        return last
    return attempt_result
