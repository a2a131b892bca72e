"""What happens to a caller's request, from its key to its answer."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from uuid import uuid4

import attrs
from result import Err, Ok, Result

from chicoryhold.callers.authentication import Authenticator
from chicoryhold.callers.forwarding import Forwarder, Job
from chicoryhold.callers.observations import Served, result_of
from chicoryhold.callers.refusals import Ran, Refusal, RefusalKind
from chicoryhold.callers.request import CallerRequest
from chicoryhold.claims.attempt import Verdict
from chicoryhold.claims.client import Claim, ClaimClient
from chicoryhold.claims.keys import parse_idempotency_key
from chicoryhold.clock import Clock
from chicoryhold.control.follower import Follower
from chicoryhold.hosts.messages import StoredAnswer
from chicoryhold.state.table import Route
from chicoryhold.targets.exchange import OutgoingRequest, TargetResponse

ORGANISATION_HEADER = "Chicoryhold-Organisation"
DEADLINE_HEADER = "Chicoryhold-Deadline-Ms"

Outcome = Result[TargetResponse, Refusal]
Observe = Callable[[Served], None]


@attrs.frozen(kw_only=True)
class _Work:
    """A request whose route and organisation are known. ``deadline`` is a time."""

    caller: CallerRequest
    route: Route
    organisation: str
    seconds: float
    deadline: float


class CallerService:
    """Answers callers' requests. Safe to use from many threads."""

    def __init__(
        self, *, follower: Follower, authenticator: Authenticator,
        claims: ClaimClient, forwarder: Forwarder, clock: Clock, observe: Observe,
    ) -> None:  # fmt: skip
        self._follower = follower
        self._authenticator = authenticator
        self._claims = claims
        self._forwarder = forwarder
        self._clock = clock
        self._observe = observe

    def serve(self, caller: CallerRequest) -> Outcome:
        """Return a whole answer, or a refusal that says whether the request ran."""
        outcome = self._authorize(caller).and_then(self._run_observed)
        return outcome.map_err(lambda refusal: honest(refusal, caller.idempotency_key))

    def _authorize(self, caller: CallerRequest) -> Result[_Work, Refusal]:
        started = self._clock.now()
        if self._follower.state.revision == 0:
            message = "this host has no configuration yet: ask another entry host"
            return Err(_not_run(RefusalKind.NOT_READY, message))
        route = self._follower.state.table.route_for(caller.path)
        if route is None:
            message = f"no route for {caller.path!r}: look at the table's routes"
            return Err(_not_run(RefusalKind.NO_ROUTE, message))
        service = self._follower.state.table.service(route.service)
        seconds = min(service.deadline, caller.deadline or service.deadline)
        return self._organisation(caller, route).map(
            lambda organisation: _Work(
                caller=caller,
                route=route,
                organisation=organisation,
                seconds=seconds,
                deadline=started + seconds,
            )
        )

    def _organisation(
        self, caller: CallerRequest, route: Route
    ) -> Result[str, Refusal]:
        if route.open:
            return Ok("")
        return self._authenticator.authenticate(caller.key)

    def _run_observed(self, work: _Work) -> Outcome:
        outcome = self._run(work)
        seconds = self._clock.now() - (work.deadline - work.seconds)
        self._observe(
            Served(
                service=work.route.service,
                organisation=work.organisation,
                result=result_of(outcome),
                seconds=seconds,
            )
        )
        return outcome

    def _run(self, work: _Work) -> Outcome:
        if work.route.repeatable or work.caller.idempotency_key is None:
            return self._forwarder.run(self._job(work))
        return self._run_once(work)

    def _job(self, work: _Work) -> Job:
        remaining = max(0.0, work.deadline - self._clock.now())
        headers = dict(work.caller.headers)
        headers[DEADLINE_HEADER] = str(int(remaining * 1000))
        if work.organisation:
            headers[ORGANISATION_HEADER] = work.organisation
        request = OutgoingRequest(
            request_id=uuid4().hex,
            method=work.caller.method,
            path=work.caller.target,
            headers=headers,
            body=work.caller.body,
            at_most_once=not work.route.repeatable,
        )
        return Job(
            organisation=work.organisation,
            service=work.route.service,
            request=request,
            deadline=work.deadline,
        )

    # Requests that may run once

    def _run_once(self, work: _Work) -> Outcome:
        match parse_idempotency_key(work.caller.idempotency_key):
            case Err(message):
                return Err(_not_run(RefusalKind.BAD_REQUEST, message))
            case Ok(key):
                claim = self._claims.create(
                    organisation=work.organisation,
                    key=key,
                    digest=_digest(work.caller),
                )
        if claim is None:
            message = "the idempotency key names no known domain: ask the look-up"
            return Err(_not_run(RefusalKind.BAD_REQUEST, message))
        return self._run_claimed(work, claim)

    def _run_claimed(self, work: _Work, claim: Claim) -> Outcome:
        tally = self._claims.acquire(claim, deadline=work.deadline)
        if tally.verdict is not Verdict.MAY_RUN:
            self._claims.abandon(claim)
            return _without_running(tally.verdict, tally.answer)
        return self._run_owned(work, claim)

    def _run_owned(self, work: _Work, claim: Claim) -> Outcome:
        # The wait for votes may have been long: the key could be withdrawn by now.
        outcome = self._organisation(work.caller, work.route).and_then(
            lambda _: self._forwarder.run(self._job(work))
        )
        match outcome:
            case Ok(answer):
                stored = StoredAnswer(
                    status=answer.status, headers=answer.headers, body=answer.body
                )
                self._claims.finish(claim, stored)
            case Err(refusal) if refusal.ran is Ran.NOT_RUN:
                self._claims.abandon(claim)
                return Err(attrs.evolve(refusal, proved=True))
        return outcome


def honest(refusal: Refusal, idempotency_key: str | None) -> Refusal:
    """Say "not run" of an idempotency key only where that was proved.

    An earlier attempt with the same key may have run. A majority of its home's
    replicas recording this attempt proves that none did, and a key that names no
    home never runs at all.
    """
    if refusal.ran is not Ran.NOT_RUN or refusal.proved or idempotency_key is None:
        return refusal
    if parse_idempotency_key(idempotency_key).is_err():
        return refusal
    return attrs.evolve(refusal, ran=Ran.UNKNOWN)


def _without_running(verdict: Verdict, answer: StoredAnswer | None) -> Outcome:
    if verdict is Verdict.FINISHED and answer.body is not None:
        return Ok(
            TargetResponse(
                status=answer.status, headers=answer.headers, body=answer.body
            )
        )
    if verdict is Verdict.FINISHED:
        message = "the request ran before; its answer was too large to keep"
        return Err(Refusal(kind=RefusalKind.IN_PROGRESS, ran=Ran.RAN, message=message))
    if verdict is Verdict.OTHER_REQUEST:
        message = "the idempotency key was used for another request: use a new one"
        refusal = _not_run(RefusalKind.KEY_REUSED, message)
        return Err(attrs.evolve(refusal, proved=True))
    if verdict is Verdict.RUNNING:
        message = "an earlier attempt may be running: resend with the same key"
        kind = RefusalKind.IN_PROGRESS
    else:
        message = "the key's home domain can't be asked: resend with the same key"
        kind = RefusalKind.NOT_READY
    return Err(Refusal(kind=kind, ran=Ran.UNKNOWN, message=message, retry_after=1.0))


def _digest(caller: CallerRequest) -> bytes:
    digest = hashlib.sha256()
    for part in (caller.method, caller.target):
        digest.update(part.encode() + b"\0")
    digest.update(caller.body)
    return digest.digest()


def _not_run(kind: RefusalKind, message: str) -> Refusal:
    return Refusal(kind=kind, ran=Ran.NOT_RUN, message=message)
