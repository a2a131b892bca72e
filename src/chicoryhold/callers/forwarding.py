"""Runs a request at targets: slot, exchange, and retries where they are safe."""

from __future__ import annotations

import attrs
from result import Err, Ok, Result

from chicoryhold.callers.refusals import Ran, Refusal, RefusalKind
from chicoryhold.clock import Clock
from chicoryhold.errors import ConnectFailed, ExchangeFailed, InvalidResponse
from chicoryhold.hosts.messages import Admit, Admitted, NotAdmitted
from chicoryhold.steering.admission_client import AdmissionClient
from chicoryhold.steering.retry_budget import RetryBudget
from chicoryhold.steering.shifts import ShiftChooser
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.exchange import OutgoingRequest, TargetResponse

MOST_TRIES = 3
RAN_HEADER = "Chicoryhold-Ran"
SHED_STATUS = 503

_ADMISSION_KINDS = {kind.label: kind for kind in RefusalKind}


@attrs.frozen(kw_only=True)
class Job:
    """A request that may go to a target now. ``deadline`` is on the own clock."""

    organisation: str
    service: str
    request: OutgoingRequest
    deadline: float


@attrs.define(kw_only=True)
class _Progress:
    tries: int = 0
    avoid: tuple[str, ...] = ()
    failure: Err[Refusal] | None = None
    is_last: bool = False


class Forwarder:
    """Sends jobs to targets. Safe to use from many threads."""

    def __init__(
        self, *, admission: AdmissionClient, connections: TargetConnections,
        shifts: ShiftChooser, clock: Clock,
    ) -> None:  # fmt: skip
        self._admission = admission
        self._connections = connections
        self._shifts = shifts
        self._clock = clock
        self._budget = RetryBudget()

    def run(self, job: Job) -> Result[TargetResponse, Refusal]:
        """Return a whole answer, or why there is none and whether the job ran.

        A job that may run once is tried again only if nothing of it was sent or the
        target itself said that it did not run.
        """
        self._budget.earn()
        progress = _Progress()
        while True:
            outcome = self._try(job, progress)
            if outcome.is_ok() or not self._may_retry(job, progress, outcome):
                return outcome
            progress.failure = outcome

    def _try(self, job: Job, progress: _Progress) -> Result[TargetResponse, Refusal]:
        admit = Admit(
            organisation=job.organisation,
            service=job.service,
            patience=max(0.0, job.deadline - self._clock.now()),
            avoid=progress.avoid,
            has_token=progress.tries > 0,
        )
        answer = self._admit_shifted(job, admit, progress)
        if answer is None:
            answer = self._admission.admit(admit, deadline=job.deadline)
        if isinstance(answer, NotAdmitted):
            progress.is_last = True
            # Without another target, what the first one did is the better answer.
            return progress.failure or Err(_refused_admission(answer))
        progress.tries += 1
        progress.avoid += (answer.address,)
        return self._exchange(job, answer, progress)

    def _admit_shifted(
        self, job: Job, admit: Admit, progress: _Progress
    ) -> Admitted | None:
        """Ask the receiving domain of a shift, for the first try only."""
        shift = self._shifts.choose(job.service) if progress.tries == 0 else None
        if shift is None:
            return None
        shifted = attrs.evolve(admit, shift=shift.name)
        answer = self._admission.admit_elsewhere(shift.destination, shifted)
        if answer is None:
            self._shifts.back_off(shift)
        return answer

    def _exchange(
        self, job: Job, slot: Admitted, progress: _Progress
    ) -> Result[TargetResponse, Refusal]:
        started = self._clock.now()
        latency: float | None = None
        ok = False
        try:
            answer = self._connections.exchange(
                slot.address,
                job.request,
                deadline=job.deadline,
                stale_connection_deadline=self._doubted_deadline(job, progress),
            )
            latency = self._clock.now() - started
            ok = answer.status < 500
        except ConnectFailed as error:
            latency = self._clock.now() - started
            return Err(_failure(RefusalKind.NO_TARGET, Ran.NOT_RUN, error))
        except InvalidResponse as error:
            latency = self._clock.now() - started
            return Err(_failure(RefusalKind.ANSWER_BROKEN, Ran.UNKNOWN, error))
        except ExchangeFailed as error:
            latency = self._clock.now() - started
            return Err(_failure(RefusalKind.TIMED_OUT, Ran.UNKNOWN, error))
        finally:
            self._admission.release(slot.grant, ok=ok, latency=latency)
        return _checked_for_shedding(answer)

    def _doubted_deadline(self, job: Job, progress: _Progress) -> float:
        """Leave half of the time for another try, if one is allowed."""
        if job.request.at_most_once or progress.tries >= MOST_TRIES:
            return job.deadline
        now = self._clock.now()
        return now + (job.deadline - now) / 2

    def _may_retry(self, job: Job, progress: _Progress, outcome: Err[Refusal]) -> bool:
        if progress.is_last or progress.tries >= MOST_TRIES:
            return False
        if self._clock.now() >= job.deadline:
            return False
        not_run = outcome.err_value.ran is Ran.NOT_RUN
        if job.request.at_most_once and not not_run:
            return False
        return self._budget.spend()


def _checked_for_shedding(answer: TargetResponse) -> Result[TargetResponse, Refusal]:
    """Turn a target's own statement that it did not run the request into a refusal."""
    said = {name.lower(): value for name, value in answer.headers}
    if answer.status != SHED_STATUS or said.get(RAN_HEADER.lower()) != "no":
        return Ok(answer)
    message = "the target is overloaded: send the request again later"
    return Err(Refusal(kind=RefusalKind.OVERLOADED, ran=Ran.NOT_RUN, message=message))


def _failure(kind: RefusalKind, ran: Ran, error: Exception) -> Refusal:
    return Refusal(kind=kind, ran=ran, message=str(error))


def _refused_admission(answer: NotAdmitted) -> Refusal:
    kind = _ADMISSION_KINDS.get(answer.reason, RefusalKind.NOT_READY)
    message = f"{answer.reason}: send the request again after retry_after seconds"
    return Refusal(
        kind=kind, ran=Ran.NOT_RUN, message=message, retry_after=answer.retry_after
    )
