"""Outcomes of a delivery: a target's response, or a refusal that says if it ran."""

from __future__ import annotations

from result import Err, Ok, Result

from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.targets.exchange import TargetResponse

NO_TARGET_RETRY_AFTER_SECONDS = 0.3
OVERLOAD_RETRY_AFTER_SECONDS = 0.2
MIN_REMAINING_SECONDS = 0.02  # with less time left, a target could not respond
MIN_FAILURE_STATUS = 500
# Statuses from which callers conclude that the request did not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

Outcome = Result[TargetResponse, Refusal]


def forwarded_failure(response: TargetResponse) -> Outcome:
    """Return a target's failure response, or a refusal for ``NOT_RUN_STATUSES``.

    Callers may repeat a request after such a status, but this target has not stated
    that it did not run the request.
    """
    if response.status in NOT_RUN_STATUSES:
        message = f"the target answered {response.status}, and may have run it"
        return failure(RefusalKind.ANSWER_BROKEN, RunStatus.UNKNOWN, message)
    return Ok(response)


def failure(kind: RefusalKind, ran: RunStatus, error: object) -> Outcome:
    retry_after = NO_TARGET_RETRY_AFTER_SECONDS if ran is RunStatus.NOT_RUN else 0.0
    return Err(Refusal(kind=kind, ran=ran, message=str(error), retry_after=retry_after))


def _not_run(kind: RefusalKind, message: str, *, retry_after: float) -> Outcome:
    return Err(
        Refusal(
            kind=kind, ran=RunStatus.NOT_RUN, message=message, retry_after=retry_after
        )
    )


def rejected_by_target() -> Outcome:
    return _not_run(
        RefusalKind.OVERLOADED,
        "the target didn't run it",
        retry_after=OVERLOAD_RETRY_AFTER_SECONDS,
    )


def deadline_passed() -> Outcome:
    """Return the refusal of a request whose time ran out before it was sent."""
    return _not_run(
        RefusalKind.DEADLINE_PASSED,
        "its deadline passed while it waited; no target has got it",
        retry_after=OVERLOAD_RETRY_AFTER_SECONDS,
    )


def all_back_off(service: str, *, seconds: float) -> Outcome:
    """Return the refusal of a request while all targets want none for ``seconds``."""
    return _not_run(
        RefusalKind.OVERLOADED,
        f"all targets of {service} have asked to be left alone for a time",
        retry_after=seconds,
    )


def no_target(service: str, *, leaving: int) -> Outcome:
    """Return the refusal of a request that no target may get.

    ``leaving`` targets may not get it only since they have said that they leave.
    Another entry host may know others.
    """
    message = f"no target of {service} may get it now"
    if leaving:
        message += f"; {leaving} have said that they leave"
    return _not_run(
        RefusalKind.NO_TARGET, message, retry_after=NO_TARGET_RETRY_AFTER_SECONDS
    )
