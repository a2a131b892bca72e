"""Handles a caller's request: route, key, claim if it may run only once, response."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from uuid import uuid4

import attrs
from result import Err, Ok, Result

from chicoryhold.callers.authentication import Authenticator
from chicoryhold.callers.forwarding import ForwardedRequest, Forwarder
from chicoryhold.callers.observations import CompletedRequest, classify_outcome
from chicoryhold.callers.refusals import (
    Refusal,
    RefusalKind,
    RunStatus,
    stopping_refusal,
)
from chicoryhold.callers.request import CallerRequest
from chicoryhold.claims.attempt import Verdict
from chicoryhold.claims.client import Claim, ClaimClient
from chicoryhold.claims.keys import parse_idempotency_key
from chicoryhold.clock import Clock
from chicoryhold.control.follower import Follower
from chicoryhold.hosts.messages import StoredAnswer
from chicoryhold.quarantine.digest import request_digest
from chicoryhold.quarantine.guard import RequestGuard
from chicoryhold.state.table import Route
from chicoryhold.targets.exchange import OutgoingRequest, TargetResponse

ORGANISATION_HEADER = "Chicoryhold-Organisation"
DEADLINE_HEADER = "Chicoryhold-Deadline-Ms"

Outcome = Result[TargetResponse, Refusal]
RequestObserver = Callable[[CompletedRequest], None]


@attrs.frozen(kw_only=True)
class _AuthorizedRequest:
    """A request whose route and organisation are known.

    ``timeout`` is in seconds; ``deadline`` is a time on the clock of this host.
    """

    caller: CallerRequest
    route: Route
    organisation: str
    timeout: float
    deadline: float

    @property
    def digest(self) -> bytes:
        """Names the request when it comes again."""
        return request_digest(
            method=self.caller.method,
            host="",
            target=self.caller.request_target,
            key=self.caller.key,
            body=self.caller.body,
        )


class CallerService:
    """Handles callers' requests. Thread-safe.

    ``may_take`` returns whether a request with a given deadline may still be sent to a
    target.
    """

    def __init__(
        self, *, follower: Follower, authenticator: Authenticator,
        claims: ClaimClient, forwarder: Forwarder, guard: RequestGuard, clock: Clock,
        observe: RequestObserver,
        may_take: Callable[[float], bool] = lambda deadline: True,
    ) -> None:  # fmt: skip
        self._may_take = may_take
        self._guard = guard
        self._follower = follower
        self._authenticator = authenticator
        self._claims = claims
        self._forwarder = forwarder
        self._clock = clock
        self._observe = observe

    def serve(self, caller: CallerRequest) -> Outcome:
        """Return a complete response, or a refusal that says if the request has run."""
        outcome = self._authorize(caller).and_then(self._run_and_observe)
        return outcome.map_err(
            lambda refusal: unknown_unless_proved(refusal, caller.idempotency_key)
        )

    def _authorize(self, caller: CallerRequest) -> Result[_AuthorizedRequest, Refusal]:
        started = self._clock.now()
        if self._follower.state.revision == 0:
            message = "this host has no configuration yet: ask another entry host"
            return Err(_not_run_refusal(RefusalKind.NOT_READY, message))
        route = self._follower.state.table.route_for(caller.path)
        if route is None:
            message = f"no route for {caller.path!r}: look at the table's routes"
            return Err(_not_run_refusal(RefusalKind.NO_ROUTE, message))
        service = self._follower.state.table.service(route.service)
        timeout = min(service.deadline, caller.deadline or service.deadline)
        return self._authenticate(caller, route).map(
            lambda organisation: _AuthorizedRequest(
                caller=caller,
                route=route,
                organisation=organisation,
                timeout=timeout,
                deadline=started + timeout,
            )
        )

    def _authenticate(
        self, caller: CallerRequest, route: Route
    ) -> Result[str, Refusal]:
        if route.open:
            return Ok("")
        return self._authenticator.authenticate(caller.key)

    def _run_and_observe(self, authorized: _AuthorizedRequest) -> Outcome:
        outcome = self._run(authorized)
        seconds = self._clock.now() - (authorized.deadline - authorized.timeout)
        self._observe(
            CompletedRequest(
                service=authorized.route.service,
                organisation=authorized.organisation,
                result=classify_outcome(outcome),
                seconds=seconds,
            )
        )
        return outcome

    def _run(self, authorized: _AuthorizedRequest) -> Outcome:
        if not self._may_take(authorized.deadline):
            return Err(stopping_refusal())
        quarantined = self._guard.refusal(authorized.digest)
        if quarantined is not None:
            return Err(quarantined)
        if authorized.route.repeatable or authorized.caller.idempotency_key is None:
            return self._forwarder.run(self._forwarded_request(authorized))
        return self._run_at_most_once(authorized)

    def _forwarded_request(self, authorized: _AuthorizedRequest) -> ForwardedRequest:
        remaining = max(0.0, authorized.deadline - self._clock.now())
        headers = dict(authorized.caller.headers)
        headers[DEADLINE_HEADER] = str(int(remaining * 1000))
        if authorized.organisation:
            headers[ORGANISATION_HEADER] = authorized.organisation
        request = OutgoingRequest(
            request_id=uuid4().hex,
            method=authorized.caller.method,
            path=authorized.caller.request_target,
            headers=headers,
            body=authorized.caller.body,
            at_most_once=not authorized.route.repeatable,
        )
        return ForwardedRequest(
            organisation=authorized.organisation,
            service=authorized.route.service,
            request=request,
            deadline=authorized.deadline,
            digest=authorized.digest,
        )

    # Requests that may run at most once

    def _run_at_most_once(self, authorized: _AuthorizedRequest) -> Outcome:
        match parse_idempotency_key(authorized.caller.idempotency_key):
            case Err(message):
                return Err(_not_run_refusal(RefusalKind.BAD_REQUEST, message))
            case Ok(key):
                claim = self._claims.create(
                    organisation=authorized.organisation,
                    key=key,
                    digest=_digest(authorized.caller),
                )
        if claim is None:
            message = "the idempotency key names no known domain: ask the look-up"
            return Err(_not_run_refusal(RefusalKind.BAD_REQUEST, message))
        return self._acquire_and_run(authorized, claim)

    def _acquire_and_run(self, authorized: _AuthorizedRequest, claim: Claim) -> Outcome:
        tally = self._claims.acquire(claim, deadline=authorized.deadline)
        if tally.verdict is not Verdict.MAY_RUN:
            self._claims.abandon(claim)
            return _outcome_without_run(tally.verdict, tally.answer)
        return self._run_with_claim(authorized, claim)

    def _run_with_claim(self, authorized: _AuthorizedRequest, claim: Claim) -> Outcome:
        # Collecting the votes may take long, and the key may have been withdrawn since.
        outcome = self._authenticate(authorized.caller, authorized.route).and_then(
            lambda _: self._forwarder.run(self._forwarded_request(authorized))
        )
        match outcome:
            case Ok(response):
                stored = StoredAnswer(
                    status=response.status, headers=response.headers, body=response.body
                )
                self._claims.finish(claim, stored)
            case Err(refusal) if refusal.ran is RunStatus.NOT_RUN:
                self._claims.abandon(claim)
                return Err(attrs.evolve(refusal, proved=True))
        return outcome


def unknown_unless_proved(refusal: Refusal, idempotency_key: str | None) -> Refusal:
    """Replace an unproved ``NOT_RUN`` by ``UNKNOWN`` if there is an idempotency key.

    An earlier attempt with the same key may have run. That none did is proved once a
    majority of the replicas of the domain that the key names has recorded this attempt.
    A key that can't be parsed names no domain, so its requests never run.
    """
    if (
        refusal.ran is not RunStatus.NOT_RUN
        or refusal.proved
        or idempotency_key is None
    ):
        return refusal
    if parse_idempotency_key(idempotency_key).is_err():
        return refusal
    return attrs.evolve(refusal, ran=RunStatus.UNKNOWN)


def _outcome_without_run(verdict: Verdict, answer: StoredAnswer | None) -> Outcome:
    """Return the outcome of an attempt that may not run the request itself."""
    if verdict is Verdict.FINISHED and answer.body is not None:
        return Ok(
            TargetResponse(
                status=answer.status, headers=answer.headers, body=answer.body
            )
        )
    if verdict is Verdict.FINISHED:
        message = "the request ran before; its answer was too large to keep"
        return Err(
            Refusal(kind=RefusalKind.IN_PROGRESS, ran=RunStatus.RAN, message=message)
        )
    if verdict is Verdict.OTHER_REQUEST:
        message = "the idempotency key was used for another request: use a new one"
        refusal = _not_run_refusal(RefusalKind.KEY_REUSED, message)
        return Err(attrs.evolve(refusal, proved=True))
    if verdict is Verdict.RUNNING:
        message = "an earlier attempt may be running: resend with the same key"
        kind = RefusalKind.IN_PROGRESS
    else:
        message = "the key's home domain can't be asked: resend with the same key"
        kind = RefusalKind.NOT_READY
    return Err(
        Refusal(kind=kind, ran=RunStatus.UNKNOWN, message=message, retry_after=1.0)
    )


def _digest(caller: CallerRequest) -> bytes:
    digest = hashlib.sha256()
    for part in (caller.method, caller.request_target):
        digest.update(part.encode() + b"\0")
    digest.update(caller.body)
    return digest.digest()


def _not_run_refusal(kind: RefusalKind, message: str) -> Refusal:
    return Refusal(kind=kind, ran=RunStatus.NOT_RUN, message=message)
