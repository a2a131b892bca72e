"""Sends a request to targets: admission, exchange, and retries where safe."""

from __future__ import annotations

import attrs
from result import Err, Ok, Result

from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.clock import Clock
from chicoryhold.errors import ConnectFailed, ExchangeFailed, InvalidResponse
from chicoryhold.hosts.messages import Admit, Admitted, NotAdmitted
from chicoryhold.steering.admission_client import AdmissionClient
from chicoryhold.steering.retry_budget import RetryBudget
from chicoryhold.steering.shifts import ShiftChooser
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.exchange import OutgoingRequest, TargetResponse

MAX_ATTEMPTS = 3
RAN_HEADER = "Chicoryhold-Ran"
SHED_STATUS = 503

_KINDS_BY_LABEL = {kind.label: kind for kind in RefusalKind}


@attrs.frozen(kw_only=True)
class Job:
    """An authorized request. ``deadline`` is a time on the clock of this host."""

    organisation: str
    service: str
    request: OutgoingRequest
    deadline: float


@attrs.define(kw_only=True)
class _RetryState:
    attempts: int = 0
    tried_addresses: tuple[str, ...] = ()
    last_failure: Err[Refusal] | None = None
    is_final: bool = False


class Forwarder:
    """Sends jobs to targets. Thread-safe."""

    def __init__(
        self, *, admission: AdmissionClient, connections: TargetConnections,
        shifts: ShiftChooser, clock: Clock,
    ) -> None:  # fmt: skip
        self._admission = admission
        self._connections = connections
        self._shifts = shifts
        self._clock = clock
        self._retry_budget = RetryBudget()

    def run(self, job: Job) -> Result[TargetResponse, Refusal]:
        """Return a complete answer, or a refusal that says whether the job ran.

        A job that may run only once is retried only if no byte of it was sent or the
        target itself reported that it did not run.
        """
        self._retry_budget.earn()
        state = _RetryState()
        while True:
            outcome = self._attempt(job, state)
            if outcome.is_ok() or not self._may_retry(job, state, outcome):
                return outcome
            state.last_failure = outcome

    def _attempt(self, job: Job, state: _RetryState) -> Result[TargetResponse, Refusal]:
        admit = Admit(
            organisation=job.organisation,
            service=job.service,
            patience=max(0.0, job.deadline - self._clock.now()),
            avoid=state.tried_addresses,
            has_token=state.attempts > 0,
        )
        answer = self._admit_shifted(job, admit, state)
        if answer is None:
            answer = self._admission.admit(admit, deadline=job.deadline)
        if isinstance(answer, NotAdmitted):
            state.is_final = True
            # If no other target can be had, the last failure tells the caller more.
            return state.last_failure or Err(_admission_refusal(answer))
        state.attempts += 1
        state.tried_addresses += (answer.address,)
        return self._exchange(job, answer, state)

    def _admit_shifted(
        self, job: Job, admit: Admit, state: _RetryState
    ) -> Admitted | None:
        """Ask the destination domain of a traffic shift, on the first attempt only."""
        shift = self._shifts.choose(job.service) if state.attempts == 0 else None
        if shift is None:
            return None
        shifted = attrs.evolve(admit, shift=shift.name)
        answer = self._admission.admit_in_domain(shift.destination, shifted)
        if answer is None:
            self._shifts.back_off(shift)
        return answer

    def _exchange(
        self, job: Job, admitted: Admitted, state: _RetryState
    ) -> Result[TargetResponse, Refusal]:
        started = self._clock.now()
        latency: float | None = None
        ok = False
        try:
            answer = self._connections.exchange(
                admitted.address,
                job.request,
                deadline=job.deadline,
                stale_connection_deadline=self._idle_connection_deadline(job, state),
            )
            latency = self._clock.now() - started
            ok = answer.status < 500
        except ConnectFailed as error:
            latency = self._clock.now() - started
            return Err(_failure(RefusalKind.NO_TARGET, RunStatus.NOT_RUN, error))
        except InvalidResponse as error:
            latency = self._clock.now() - started
            return Err(_failure(RefusalKind.ANSWER_BROKEN, RunStatus.UNKNOWN, error))
        except ExchangeFailed as error:
            latency = self._clock.now() - started
            return Err(_failure(RefusalKind.TIMED_OUT, RunStatus.UNKNOWN, error))
        finally:
            self._admission.release(admitted.grant, ok=ok, latency=latency)
        return _refusal_if_shed(answer)

    def _idle_connection_deadline(self, job: Job, state: _RetryState) -> float:
        """Return the deadline that applies on a connection that was idle for a while.

        The connection may be dead, so half of the remaining time is left for another
        attempt if one is allowed.
        """
        if job.request.at_most_once or state.attempts >= MAX_ATTEMPTS:
            return job.deadline
        now = self._clock.now()
        return now + (job.deadline - now) / 2

    def _may_retry(self, job: Job, state: _RetryState, outcome: Err[Refusal]) -> bool:
        if state.is_final or state.attempts >= MAX_ATTEMPTS:
            return False
        if self._clock.now() >= job.deadline:
            return False
        not_run = outcome.err_value.ran is RunStatus.NOT_RUN
        if job.request.at_most_once and not not_run:
            return False
        return self._retry_budget.spend()


def _refusal_if_shed(answer: TargetResponse) -> Result[TargetResponse, Refusal]:
    """Return a refusal if the target shed the request and says that it did not run."""
    headers = {name.lower(): value for name, value in answer.headers}
    if answer.status != SHED_STATUS or headers.get(RAN_HEADER.lower()) != "no":
        return Ok(answer)
    message = "the target is overloaded: send the request again later"
    return Err(
        Refusal(kind=RefusalKind.OVERLOADED, ran=RunStatus.NOT_RUN, message=message)
    )


def _failure(kind: RefusalKind, ran: RunStatus, error: Exception) -> Refusal:
    return Refusal(kind=kind, ran=ran, message=str(error))


def _admission_refusal(answer: NotAdmitted) -> Refusal:
    kind = _KINDS_BY_LABEL.get(answer.reason, RefusalKind.NOT_READY)
    message = f"{answer.reason}: send the request again after retry_after seconds"
    return Refusal(
        kind=kind,
        ran=RunStatus.NOT_RUN,
        message=message,
        retry_after=answer.retry_after,
    )
