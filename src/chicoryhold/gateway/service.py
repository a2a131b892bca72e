"""Serves a request: route, key, rate limit, delivery to a target, metrics."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs
from loguru import logger
from result import Err, Result

from chicoryhold.callers.refusals import (
    Refusal,
    RefusalKind,
    RunStatus,
    stopping_refusal,
)
from chicoryhold.clock import Clock
from chicoryhold.gateway.currency import CopyCurrency
from chicoryhold.gateway.delivery import Delivery
from chicoryhold.gateway.outcomes import MIN_REMAINING_SECONDS, deadline_passed
from chicoryhold.gateway.relay import Relay, RelayedRequest
from chicoryhold.gateway.request import GatewayRequest, RoutedRequest
from chicoryhold.keys import key_digest
from chicoryhold.limits.messages import StatedLimit
from chicoryhold.limits.permit_client import Permission, PermitClient
from chicoryhold.metrics import Metrics
from chicoryhold.quarantine.digest import request_digest
from chicoryhold.quarantine.guard import RequestGuard
from chicoryhold.routing.configuration import OrganisationRule, RouteRule
from chicoryhold.routing.route_index import RouteIndex
from chicoryhold.routing.split import choose_service
from chicoryhold.targets.exchange import TargetResponse

Outcome = Result[TargetResponse, Refusal]

RATE_RETRY_AFTER_SECONDS = 0.5
NOT_READY_RETRY_AFTER_SECONDS = 0.3
OLD_COPY = "the configuration here may be out of date"
NO_SUCH_ROUTE = Refusal(
    kind=RefusalKind.NO_ROUTE, ran=RunStatus.NOT_RUN, message="no such route"
)
INVALID_KEY = Refusal(
    kind=RefusalKind.KEY_MISSING, ran=RunStatus.NOT_RUN, message="the key is not valid"
)
LOGGED_DIGEST_CHARACTERS = 8  # enough to tell keys apart, not to find one


@attrs.frozen(kw_only=True)
class ServeResult:
    """An outcome with the route and organisation of the request, where known."""

    outcome: Outcome
    route: RouteRule | None = None
    organisation: str = ""


class GatewayService:
    """Serves requests. Thread-safe.

    ``index`` returns the index of the current configuration; version 0 means that no
    configuration has been received yet. ``copy_age`` returns how many seconds ago the
    copy that it comes from was confirmed to be the newest, ``revision`` which one that
    is, and ``currency`` tells what it is good for. ``may_take`` returns whether a
    request with a given deadline may still be sent to a target.
    """

    def __init__(
        self, *, index: Callable[[], RouteIndex], copy_age: Callable[[], float],
        revision: Callable[[], int], permits: PermitClient, delivery: Delivery,
        relay: Relay, guard: RequestGuard, clock: Clock, random: Random,
        metrics: Metrics, currency: CopyCurrency,
        may_take: Callable[[float], bool] = lambda deadline: True,
    ) -> None:  # fmt: skip
        self._copy_age = copy_age
        self._revision = revision
        self._currency = currency
        self._may_take = may_take
        self._metrics = metrics
        self._relay = relay
        self._index = index
        self._permits = permits
        self._delivery = delivery
        self._clock = clock
        self._random = random
        self._guard = guard

    def serve(self, request: GatewayRequest) -> ServeResult:
        """Return the target's response or a refusal; refusals are logged."""
        index = self._index()
        result = self._serve(request, index)
        if result.outcome.is_err():
            self._log_refusal(request, index, result)
        self._record_metrics(request, result)
        return result

    def _record_metrics(self, request: GatewayRequest, result: ServeResult) -> None:
        route = result.route.name if result.route else ""
        if result.outcome.is_ok():
            outcome = str(result.outcome.ok_value.status)
        else:
            outcome = result.outcome.err_value.kind.label
        self._metrics.count("chicoryhold_requests", route=route, outcome=outcome)
        self._metrics.observe(
            "chicoryhold_request_seconds",
            self._clock.now() - request.arrived_at,
            route=route,
        )
        if request.relayed is not None:
            self._metrics.count("chicoryhold_relays_served", outcome=outcome)

    def _serve(self, request: GatewayRequest, index: RouteIndex) -> ServeResult:
        if index.version == 0:
            return ServeResult(
                outcome=_refused(RefusalKind.NOT_READY, "no configuration")
            )
        if request.relayed is not None and request.relayed.version > index.version:
            message = "the configuration here is older than that of the sender"
            return ServeResult(outcome=_refused(RefusalKind.NOT_READY, message))
        route = index.route(host=request.host, path=request.path)
        if route is None:
            return ServeResult(outcome=self._denied(NO_SUCH_ROUTE))
        organisation = None
        if index.has_organisations and not route.open:
            organisation = index.organisation_by_key(request.key)
            if organisation is None:
                return ServeResult(outcome=self._denied(INVALID_KEY), route=route)
        name = organisation.name if organisation else ""
        if not self._currency.may_send:
            refused = _refused(RefusalKind.NOT_READY, OLD_COPY)
            return ServeResult(outcome=refused, route=route, organisation=name)
        outcome = self._deliver(request, route, organisation, index.version)
        return ServeResult(outcome=outcome, route=route, organisation=name)

    def _denied(self, refusal: Refusal) -> Outcome:
        """Return ``refusal``, unless what it misses may only be missing in this copy.

        Callers don't repeat a request that was denied, so an old copy denies none.
        """
        if self._currency.may_deny:
            return Err(refusal)
        return _refused(RefusalKind.NOT_READY, OLD_COPY)

    def _deliver(
        self, request: GatewayRequest, route: RouteRule,
        organisation: OrganisationRule | None, version: int,
    ) -> Outcome:  # fmt: skip
        """Send the request to a target, or to a peer while no target is in reach.

        The peer takes the permit of a relayed request.
        """
        if request.cancellation.is_set:
            return _refused(RefusalKind.TIMED_OUT, "its caller has left")
        deadline = _deadline(request, route)
        if deadline - self._clock.now() < MIN_REMAINING_SECONDS:
            return deadline_passed()
        if not self._may_take(deadline):
            return Err(stopping_refusal())
        digest = request_digest(
            method=request.method,
            host=request.host,
            target=request.target,
            key=request.key,
            body=request.body,
        )
        quarantined = self._guard.refusal(digest)
        if quarantined is not None:
            return Err(quarantined)
        relayed = _relayed_request(request, route, organisation, version)
        if self._relay.is_needed:
            return self._relay.deliver(relayed)
        refused = self._permit_refusal(request, route, organisation, version)
        if refused is not None:
            return refused
        routed = self._routed_request(request, route, organisation, digest)
        outcome = self._delivery.deliver(routed)
        if self._relay.is_needed and outcome.is_err():
            return self._relay.deliver(relayed, earlier=outcome.err_value)
        return outcome

    def _permit_refusal(
        self, request: GatewayRequest, route: RouteRule,
        organisation: OrganisationRule | None, version: int,
    ) -> Outcome | None:  # fmt: skip
        """Return a refusal if the rate limit doesn't permit the request."""
        if organisation is None or organisation.rate <= 0:
            return None
        deadline = _deadline(request, route)
        limit = StatedLimit(
            version=version, rate=organisation.rate, burst=organisation.burst
        )
        permission = self._permits.permit(
            organisation.name, deadline=deadline, limit=limit
        )
        if permission is Permission.GRANTED:
            return None
        if permission is Permission.DENIED:
            message = "the organisation's rate and burst are used up"
            return _refused(
                RefusalKind.RATE_EXCEEDED, message, retry_after=RATE_RETRY_AFTER_SECONDS
            )
        return _refused(RefusalKind.NOT_READY, "no control host gives permits")

    def _routed_request(
        self, request: GatewayRequest, route: RouteRule,
        organisation: OrganisationRule | None, digest: bytes,
    ) -> RoutedRequest:  # fmt: skip
        if request.relayed is not None:
            attempts = min(route.attempts, request.relayed.attempts)
            route = attrs.evolve(route, attempts=attempts)
        return RoutedRequest(
            request=request,
            route=route,
            service=choose_service(route, random=self._random),
            organisation=organisation.name if organisation else "",
            rank=_rank(route, organisation),
            allowed_regions=_allowed_regions(route, organisation),
            deadline=_deadline(request, route),
            digest=digest,
        )

    def _log_refusal(
        self, request: GatewayRequest, index: RouteIndex, result: ServeResult
    ) -> None:
        refusal = result.outcome.err_value
        logger.bind(
            request=request.request_id,
            refused=refusal.kind.label,
            status=refusal.kind.status,
            ran=refusal.ran.value,
            route=result.route.name if result.route else "",
            organisation=result.organisation,
            key=key_digest(request.key)[:LOGGED_DIGEST_CHARACTERS]
            if request.key
            else "",
            host=request.host,
            path=request.path,
            version=index.version,
            revision=self._revision(),
            age=round(self._copy_age(), 2),
            seconds=round(self._clock.now() - request.arrived_at, 3),
            left=round(request.deadline - self._clock.now(), 3),
            reason=refusal.message,
        ).info("gateway: refused.")


def _deadline(request: GatewayRequest, route: RouteRule) -> float:
    if route.timeout <= 0:
        return request.deadline
    return min(request.deadline, request.arrived_at + route.timeout)


def _relayed_request(
    request: GatewayRequest, route: RouteRule, organisation: OrganisationRule | None,
    version: int,
) -> RelayedRequest:  # fmt: skip
    return RelayedRequest(
        request=request,
        route=route.name,
        version=version,
        attempts=max(1, route.attempts),
        repeatable=route.repeatable,
        allowed_regions=_allowed_regions(route, organisation),
        deadline=_deadline(request, route),
    )


def _rank(route: RouteRule, organisation: OrganisationRule | None) -> int:
    """Return the organisation's rank, or the route's if the former is 0."""
    return (organisation.rank if organisation else 0) or route.rank


def _allowed_regions(
    route: RouteRule, organisation: OrganisationRule | None
) -> frozenset[str]:
    """Return the regions that both allow, or an empty set for any.

    If there is no such region, the result is a name that no region has.
    """
    organisation_regions = (
        frozenset(organisation.homes) if organisation else frozenset()
    )
    if organisation_regions and route.homes:
        return (organisation_regions & frozenset(route.homes)) or frozenset({""})
    return organisation_regions or frozenset(route.homes)


def _refused(
    kind: RefusalKind,
    message: str,
    *,
    retry_after: float = NOT_READY_RETRY_AFTER_SECONDS,
) -> Outcome:
    return Err(
        Refusal(
            kind=kind, ran=RunStatus.NOT_RUN, message=message, retry_after=retry_after
        )
    )
