"""Sends a request to targets: admission, exchange, and retries where safe."""

from __future__ import annotations

import attrs
from result import Err, Result

from chicoryhold.callers.granted_targets import GrantedTargets
from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.callers.slots import Slots, granted_process
from chicoryhold.callers.target_answers import (
    is_shed,
    refusal_if_shed,
    stated_limit,
)
from chicoryhold.clock import Clock
from chicoryhold.errors import (
    ConnectFailed,
    ExchangeFailed,
    ExchangeTimeout,
    InvalidResponse,
)
from chicoryhold.gateway.reachability import TargetReachability
from chicoryhold.hosts.messages import Admit, Admitted, NotAdmitted
from chicoryhold.limits.retry_budgets import RetryBudget, RetryTerms
from chicoryhold.quarantine.crash_watch import CrashWatch
from chicoryhold.quarantine.guard import RequestGuard
from chicoryhold.routing.stated_limits import RateStatement
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.exchange import OutgoingRequest, TargetResponse

MAX_ATTEMPTS = 3
RETRY_TERMS = RetryTerms(earned_per_request=0.1, initial=10.0, max_saved=10.0)
CUT_OFF_RETRY_AFTER_SECONDS = 1.0
# While cut off, one request in this time is sent to a target all the same: the known
# targets may have been replaced, and a grant names a current one.
CUT_OFF_TRIAL_SECONDS = 1.0

_KINDS_BY_LABEL = {kind.label: kind for kind in RefusalKind}


@attrs.frozen(kw_only=True)
class ForwardedRequest:
    """An authorized request. ``deadline`` is a time on the clock of this host.

    ``digest`` names the request when it comes again.
    """

    organisation: str
    service: str
    request: OutgoingRequest
    deadline: float
    digest: bytes


@attrs.define(kw_only=True)
class _RetryState:
    attempts: int = 0
    tried_addresses: tuple[str, ...] = ()
    last_failure: Err[Refusal] | None = None
    is_final: bool = False
    is_reserved: bool = False  # the next attempt is charged to the budget already


class Forwarder:
    """Sends requests to targets, with retries. Thread-safe.

    While this host is cut off from all targets it refuses requests before it asks for a
    slot, and reports no failures, which would keep other hosts from using the targets.
    """

    def __init__(
        self, *, slots: Slots, connections: TargetConnections,
        reachability: TargetReachability, granted: GrantedTargets, crashes: CrashWatch,
        guard: RequestGuard, clock: Clock,
    ) -> None:  # fmt: skip
        self._crashes = crashes
        self._guard = guard
        self._reachability = reachability
        self._granted = granted
        self._next_trial_at = float("-inf")
        self._slots = slots
        self._connections = connections
        self._clock = clock
        self._retry_budget = RetryBudget(terms=RETRY_TERMS)

    def run(self, forwarded: ForwardedRequest) -> Result[TargetResponse, Refusal]:
        """Return a complete response, or a refusal that says whether the request ran.

        A request that may run only once is retried only if no byte of it was sent or
        the target itself reported that it did not run.
        """
        if self._reachability.is_cut_off and not self._is_trial():
            return Err(_cut_off_refusal())
        self._retry_budget.earn()
        state = _RetryState()
        while True:
            outcome = self._attempt(forwarded, state)
            if outcome.is_ok():
                return outcome
            not_run = outcome.err_value.ran is RunStatus.NOT_RUN
            state.last_failure = _decisive_failure(state.last_failure, outcome)
            if not self._may_retry(forwarded, state, not_run=not_run):
                return state.last_failure

    def _is_trial(self) -> bool:
        now = self._clock.now()
        if now < self._next_trial_at:
            return False
        self._next_trial_at = now + CUT_OFF_TRIAL_SECONDS
        return True

    def _attempt(
        self, forwarded: ForwardedRequest, state: _RetryState
    ) -> Result[TargetResponse, Refusal]:
        admit = Admit(
            organisation=forwarded.organisation,
            service=forwarded.service,
            patience=max(0.0, forwarded.deadline - self._clock.now()),
            avoid=state.tried_addresses,
            has_token=state.attempts > 0,
        )
        reply = self._slots.take(
            admit, deadline=forwarded.deadline, may_shift=state.attempts == 0
        )
        if isinstance(reply, NotAdmitted):
            state.is_final = True
            # The failure at the last target tells the caller more than this reply.
            return state.last_failure or Err(_admission_refusal(reply))
        state.attempts += 1
        state.tried_addresses += (reply.address,)
        self._granted.add(reply.address, service=forwarded.service)
        self._crashes.record_targets((granted_process(reply),))
        return self._exchange(forwarded, reply, state)

    def _exchange(
        self, forwarded: ForwardedRequest, admitted: Admitted, state: _RetryState
    ) -> Result[TargetResponse, Refusal]:
        started = self._clock.now()
        latency: float | None = None
        limit: RateStatement | None = None
        ok = False
        try:
            response = self._connections.exchange(
                admitted.address,
                forwarded.request,
                deadline=forwarded.deadline,
                stale_connection_deadline=self._stale_connection_deadline(
                    forwarded, state
                ),
                may_give_up=lambda: self._reserve_retry(forwarded, state),
            )
            latency = self._clock.now() - started
            ok = response.status < 500
            limit = stated_limit(response)
            self._slots.record_heads(admitted, (response, *response.earlier))
            if not is_shed(response):
                self._guard.record_success(forwarded.digest)
        except ConnectFailed as error:
            latency = self._failure_latency(started)
            return Err(_failure(RefusalKind.NO_TARGET, RunStatus.NOT_RUN, error))
        except InvalidResponse as error:
            latency = self._clock.now() - started
            self._slots.record_heads(admitted, error.heads)
            return Err(_failure(RefusalKind.ANSWER_BROKEN, RunStatus.UNKNOWN, error))
        except ExchangeFailed as error:
            latency = self._failure_latency(started)
            self._slots.record_heads(admitted, error.heads)
            if not isinstance(error, ExchangeTimeout):
                self._record_lost(forwarded, admitted)
            return Err(_failure(RefusalKind.TIMED_OUT, RunStatus.UNKNOWN, error))
        finally:
            self._slots.release(admitted, ok=ok, latency=latency, limit=limit)
        return refusal_if_shed(response)

    def _record_lost(self, forwarded: ForwardedRequest, admitted: Admitted) -> None:
        self._crashes.record_lost(granted_process(admitted), forwarded.digest)

    def _failure_latency(self, started: float) -> float | None:
        """Return the latency of a failure, or ``None`` if it may be this host's own."""
        if self._reachability.needs_probe:
            return None
        return self._clock.now() - started

    def _stale_connection_deadline(
        self, forwarded: ForwardedRequest, state: _RetryState
    ) -> float:
        """Return the deadline of an attempt on a connection that may have been lost.

        Half of the remaining time is kept for another attempt if one is allowed.
        """
        if forwarded.request.at_most_once or state.attempts >= MAX_ATTEMPTS:
            return forwarded.deadline
        now = self._clock.now()
        return now + (forwarded.deadline - now) / 2

    def _reserve_retry(self, forwarded: ForwardedRequest, state: _RetryState) -> bool:
        """Charge another attempt to the budget; return whether it will be made.

        Asked before an attempt is given up for it. Its target isn't reserved: that is
        for the coordinator to choose.
        """
        state.is_reserved = self._may_retry(forwarded, state, not_run=False)
        return state.is_reserved

    def _may_retry(
        self, forwarded: ForwardedRequest, state: _RetryState, *, not_run: bool
    ) -> bool:
        if state.is_reserved:
            state.is_reserved = False
            return True
        if state.is_final or state.attempts >= MAX_ATTEMPTS:
            return False
        if self._clock.now() >= forwarded.deadline or self._reachability.is_cut_off:
            return False
        if forwarded.request.at_most_once and not not_run:
            return False
        if self._guard.refusal(forwarded.digest) is not None:
            return False
        if not not_run and not self._guard.may_retry(forwarded.digest):
            return False
        return self._retry_budget.spend()


def _decisive_failure(last: Err[Refusal] | None, failure: Err[Refusal]) -> Err[Refusal]:
    """Return the failure that determines the outcome.

    An earlier attempt that may have run the request takes precedence, because a later
    one must not report the request as not run.
    """
    if last is not None and last.err_value.ran is not RunStatus.NOT_RUN:
        return last
    return failure


def _cut_off_refusal() -> Refusal:
    return Refusal(
        kind=RefusalKind.NOT_READY,
        ran=RunStatus.NOT_RUN,
        message="this host reaches no target: ask another entry host",
        retry_after=CUT_OFF_RETRY_AFTER_SECONDS,
    )


def _failure(kind: RefusalKind, ran: RunStatus, error: Exception) -> Refusal:
    return Refusal(kind=kind, ran=ran, message=str(error))


def _admission_refusal(reply: NotAdmitted) -> Refusal:
    kind = _KINDS_BY_LABEL.get(reply.reason, RefusalKind.NOT_READY)
    message = f"{reply.reason}: send the request again after retry_after seconds"
    return Refusal(
        kind=kind,
        ran=RunStatus.NOT_RUN,
        message=message,
        retry_after=reply.retry_after,
    )
