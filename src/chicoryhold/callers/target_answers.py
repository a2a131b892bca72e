"""What the answers of targets say in the headers of the own interface."""

from __future__ import annotations

from result import Err, Ok, Result

from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.routing.stated_limits import RateStatement, StatingTarget, parse_rate
from chicoryhold.routing.target_statements import TargetStatement
from chicoryhold.targets.exchange import ResponseHead, TargetResponse

RAN_HEADER = "Chicoryhold-Ran"
SHED_STATUS = 503
MIN_FAILURE_STATUS = 500
LIMIT_HEADER = "Chicoryhold-Limit"  # requests a second from all hosts together
LEAVING_HEADER = "Chicoryhold-Leaving"
LEAVING_VALUE = "1"
MAX_LOGGED_CHARACTERS = 80


class CoordinatedLimits:
    """Stands for the limits that coordinators keep: hosts tell them with a release."""

    def record_answer(self, target: StatingTarget, statement: RateStatement) -> None:
        return


def stated_limit(response: TargetResponse) -> RateStatement | None:
    """Return what the answer says of the target's limit; ``None`` for nothing.

    A failure that names no limit doesn't show that there is none.
    """
    headers = {name.lower(): value for name, value in response.headers}
    statement = parse_rate(headers.get(LIMIT_HEADER.lower()))
    is_failure = response.status >= MIN_FAILURE_STATUS
    return None if is_failure and statement == RateStatement() else statement


def leaving_statement(head: ResponseHead) -> TargetStatement:
    """Return whether the answer says that its target leaves."""
    name = LEAVING_HEADER.lower()
    values = [value.strip() for key, value in head.headers if key.lower() == name]
    if not values:
        return TargetStatement()
    if values == [LEAVING_VALUE]:
        return TargetStatement(is_leaving=True)
    return TargetStatement(unreadable=str(values)[:MAX_LOGGED_CHARACTERS])


def is_shed(response: TargetResponse) -> bool:
    """Whether the target shed the request and says that it did not run."""
    headers = {name.lower(): value for name, value in response.headers}
    return response.status == SHED_STATUS and headers.get(RAN_HEADER.lower()) == "no"


def refusal_if_shed(response: TargetResponse) -> Result[TargetResponse, Refusal]:
    if not is_shed(response):
        return Ok(response)
    message = "the target is overloaded: send the request again later"
    return Err(
        Refusal(kind=RefusalKind.OVERLOADED, ran=RunStatus.NOT_RUN, message=message)
    )
