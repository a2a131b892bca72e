"""Brings one request to targets: choice, exchange, and tries where they are safe."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import attrs
from loguru import logger
from result import Err, Ok, Result

from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.clock import Clock
from chicoryhold.errors import (
    CallerLeft,
    ConnectFailed,
    ExchangeFailed,
    ExchangeTimeout,
)
from chicoryhold.gateway.request import AnswerFacts, GatewayRequest, TargetCall
from chicoryhold.gateway.retry_budgets import RetryBudgets
from chicoryhold.routing.configuration import RouteRule
from chicoryhold.routing.target_choice import (
    Choice,
    Overloaded,
    TargetChooser,
    Wanted,
)
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.exchange import OutgoingRequest, TargetAnswer

NO_TARGET_RETRY_AFTER = 0.3  # seconds
SHED_RETRY_AFTER = 0.2  # seconds
PATIENCE = 4.0  # times what a target was expected to take before it counts as failing
LEAST_REMAINING = 0.02  # seconds; a target can do nothing with less
FAILURE_STATUS = 500
PROMISES = frozenset({408, 421, 429, 503})  # statuses that say: this did not run

Outcome = Result[TargetAnswer, Refusal]


class TargetWords(Protocol):
    """Translates between a call and the headers that targets understand."""

    def headers(self, call: TargetCall) -> Mapping[str, str]: ...

    def facts(self, answer: TargetAnswer) -> AnswerFacts: ...


@attrs.frozen(kw_only=True)
class Job:
    """A request that may go to targets. ``deadline`` is on the own clock.

    Rank 0 is the most urgent.
    """

    request: GatewayRequest
    route: RouteRule
    service: str
    organisation: str
    homes: frozenset[str]
    deadline: float
    rank: int = 0


@attrs.frozen(kw_only=True)
class _Tried:
    """What one send came to. ``may_repeat`` says that it proved not to have run."""

    outcome: Outcome
    may_repeat: bool
    failed: bool = True


class Delivery:
    """Sends jobs to targets. Safe to use from many threads."""

    def __init__(
        self, *, chooser: TargetChooser, connections: TargetConnections,
        words: TargetWords, budgets: RetryBudgets, clock: Clock,
    ) -> None:  # fmt: skip
        self._chooser = chooser
        self._connections = connections
        self._words = words
        self._budgets = budgets
        self._clock = clock

    def deliver(self, job: Job) -> Outcome:
        """Return a whole answer, or why there is none and whether the job ran.

        A job that may run once is sent again only if the earlier send proved not to
        have run: nothing went out, or the target itself said so.
        """
        self._budgets.earn(job.service)
        last: _Tried | None = None
        avoid: frozenset[str] = frozenset()
        for attempt in range(max(1, job.route.attempts)):
            if attempt and not self._may_try_again(job, last):
                break
            choice = self._chooser.choose(self._wanted(job, avoid))
            if isinstance(choice, Overloaded):
                last = last or self._overloaded(job, choice)
                break
            if choice is None:
                break
            tried = self._try(job, choice, attempt)
            if not tried.failed:
                return tried.outcome
            last = _worse(last, tried)
            avoid |= {choice.view.record.instance}
        return last.outcome if last else _no_target(job)

    def _wanted(self, job: Job, avoid: frozenset[str]) -> Wanted:
        return Wanted(
            route=job.route,
            service=job.service,
            object_name=job.request.object_name,
            homes=job.homes,
            avoid=avoid,
            rank=job.rank,
            left=job.deadline - self._clock.now(),
        )

    def _overloaded(self, job: Job, state: Overloaded) -> _Tried:
        logger.bind(
            request=job.request.request_id,
            service=job.service,
            rank=job.rank,
            wait=round(state.wait, 3),
            load=round(state.load, 2),
        ).info("delivery: every target is too busy.")
        refusal = Refusal(
            kind=RefusalKind.OVERLOADED,
            ran=RunStatus.NOT_RUN,
            message=f"all targets of {job.service} are busy; its answer would be late",
            retry_after=max(SHED_RETRY_AFTER, state.wait),
        )
        return _Tried(outcome=Err(refusal), may_repeat=True)

    def _may_try_again(self, job: Job, last: _Tried) -> bool:
        if job.request.cancellation.is_set:
            return False
        if not (last.may_repeat or job.route.repeatable):
            return False
        if job.deadline - self._clock.now() < LEAST_REMAINING:
            return False
        return self._budgets.spend(job.service)

    def _try(self, job: Job, choice: Choice, attempt: int) -> _Tried:
        started = self._clock.now()
        record = choice.view.record
        try:
            answer = self._connections.exchange(
                record.address,
                self._outgoing(job, choice),
                deadline=job.deadline,
                doubted_deadline=self._doubted_deadline(job, choice),
                cancellation=job.request.cancellation,
            )
        except ExchangeFailed as error:
            return self._broken(job, choice, attempt, error, started)
        except ConnectFailed as error:
            self._note_failure(job, choice, attempt, error, unreachable=True)
            return _Tried(
                outcome=_failure(RefusalKind.NO_TARGET, RunStatus.NOT_RUN, error),
                may_repeat=True,
            )
        return self._answered(job, choice, attempt, answer, started)

    def _outgoing(self, job: Job, choice: Choice) -> OutgoingRequest:
        request = job.request
        call = TargetCall(
            instance=choice.view.record.instance,
            organisation=job.organisation,
            remaining=max(0.001, request.deadline - self._clock.now()),
        )
        return OutgoingRequest(
            request_id=request.request_id,
            method=request.method,
            path=request.target,
            headers={**request.headers, **self._words.headers(call)},
            body=request.body,
            once=not job.route.repeatable,
            far=choice.is_far,
        )

    def _doubted_deadline(self, job: Job, choice: Choice) -> float:
        """Leave half of the time for another try, where that is time enough."""
        now = self._clock.now()
        half = (job.deadline - now) / 2
        if not job.route.repeatable or half < PATIENCE * choice.expected:
            return job.deadline
        return now + half

    def _answered(
        self, job: Job, choice: Choice, attempt: int, answer: TargetAnswer,
        started: float,
    ) -> _Tried:  # fmt: skip
        facts = self._words.facts(answer)
        if facts.other_instance:
            self._note_failure(job, choice, attempt, "another instance is there")
            return _Tried(outcome=_shed(), may_repeat=True)
        if facts.did_not_run:
            self._chooser.turned_away(choice, load=facts.load)
            self._log(job, choice, attempt, "the target didn't run it")
            return _Tried(outcome=_shed(), may_repeat=True)
        if answer.status >= FAILURE_STATUS or answer.status in PROMISES:
            self._note_failure(job, choice, attempt, f"status {answer.status}")
            return _Tried(outcome=_passed_on(answer), may_repeat=False)
        self._chooser.finished(
            choice,
            self._wanted(job, frozenset()),
            seconds=self._clock.now() - started,
            load=facts.load,
        )
        return _Tried(outcome=Ok(answer), may_repeat=False, failed=False)

    def _broken(
        self, job: Job, choice: Choice, attempt: int, error: ExchangeFailed,
        started: float,
    ) -> _Tried:  # fmt: skip
        if isinstance(error, CallerLeft):
            self._chooser.dropped(choice)
            outcome = _failure(RefusalKind.TIMED_OUT, RunStatus.UNKNOWN, error)
            return _Tried(outcome=outcome, may_repeat=False)
        timed_out = isinstance(error, ExchangeTimeout)
        patient = self._clock.now() - started >= PATIENCE * choice.expected
        if timed_out and not patient:
            # It had less time than it usually takes, so this says nothing of it.
            self._chooser.dropped(choice)
            self._log(job, choice, attempt, str(error))
        else:
            self._note_failure(job, choice, attempt, error)
        kind = RefusalKind.TIMED_OUT if timed_out else RefusalKind.ANSWER_BROKEN
        return _Tried(
            outcome=_failure(kind, RunStatus.UNKNOWN, error), may_repeat=False
        )

    def _note_failure(
        self, job: Job, choice: Choice, attempt: int, error: object,
        *, unreachable: bool = False,
    ) -> None:  # fmt: skip
        left_alone = self._chooser.failed(choice, unreachable=unreachable)
        self._log(job, choice, attempt, str(error), left_alone=left_alone)

    def _log(
        self, job: Job, choice: Choice, attempt: int, reason: str, **fields: object
    ) -> None:
        view = choice.view
        logger.bind(
            request=job.request.request_id,
            attempt=attempt,
            target=view.record.instance,
            address=view.record.address,
            service=job.service,
            expected=round(choice.expected, 3),
            in_flight=view.in_flight,
            failures=view.failures,
            left=round(job.deadline - self._clock.now(), 3),
            reason=reason,
            **fields,
        ).info("delivery: a try failed.")


def _worse(last: _Tried | None, tried: _Tried) -> _Tried:
    """Keep what tells more: a send that may have run decides the answer."""
    if last is not None and not last.may_repeat:
        return last
    return tried


def _passed_on(answer: TargetAnswer) -> Outcome:
    """A target's own failure goes to the caller, unless its status is a promise.

    Callers may repeat what such a status tells them did not run, and this target
    didn't say that.
    """
    if answer.status in PROMISES:
        message = f"the target answered {answer.status}, and may have run it"
        return _failure(RefusalKind.ANSWER_BROKEN, RunStatus.UNKNOWN, message)
    return Ok(answer)


def _failure(kind: RefusalKind, ran: RunStatus, error: object) -> Outcome:
    retry_after = NO_TARGET_RETRY_AFTER if ran is RunStatus.NOT_RUN else 0.0
    return Err(Refusal(kind=kind, ran=ran, message=str(error), retry_after=retry_after))


def _shed() -> Outcome:
    refusal = Refusal(
        kind=RefusalKind.OVERLOADED,
        ran=RunStatus.NOT_RUN,
        message="the target didn't run it",
        retry_after=SHED_RETRY_AFTER,
    )
    return Err(refusal)


def _no_target(job: Job) -> Outcome:
    refusal = Refusal(
        kind=RefusalKind.NO_TARGET,
        ran=RunStatus.NOT_RUN,
        message=f"no target of {job.service} may get it now",
        retry_after=NO_TARGET_RETRY_AFTER,
    )
    return Err(refusal)
