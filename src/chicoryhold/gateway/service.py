"""A request's way: route, key, rate, targets, answer."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs
from loguru import logger
from result import Err, Result

from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.clock import Clock
from chicoryhold.gateway.delivery import Delivery, Job
from chicoryhold.gateway.request import GatewayRequest
from chicoryhold.limits.permit_client import Permission, PermitClient
from chicoryhold.metrics import Metrics
from chicoryhold.routing.configuration import OrganisationRule, RouteRule
from chicoryhold.routing.route_index import RouteIndex
from chicoryhold.targets.exchange import TargetAnswer

Outcome = Result[TargetAnswer, Refusal]

RATE_RETRY_AFTER = 0.5  # seconds
NOT_READY_RETRY_AFTER = 0.3  # seconds


@attrs.frozen(kw_only=True)
class Served:
    """An outcome with what decided it."""

    outcome: Outcome
    route: RouteRule | None = None
    organisation: str = ""


class GatewayService:
    """Answers requests. Safe to use from many threads.

    ``index`` returns the configuration in force; version 0 means none is known yet.
    """

    def __init__(
        self, *, index: Callable[[], RouteIndex], permits: PermitClient,
        delivery: Delivery, clock: Clock, random: Random, metrics: Metrics,
    ) -> None:  # fmt: skip
        self._metrics = metrics
        self._index = index
        self._permits = permits
        self._delivery = delivery
        self._clock = clock
        self._random = random

    def serve(self, request: GatewayRequest) -> Served:
        """Return the target's answer, or why there is none, and log a refusal."""
        index = self._index()
        served = self._serve(request, index)
        if served.outcome.is_err():
            self._log_refusal(request, index, served)
        self._measure(request, served)
        return served

    def _measure(self, request: GatewayRequest, served: Served) -> None:
        route = served.route.name if served.route else ""
        if served.outcome.is_ok():
            outcome = str(served.outcome.ok_value.status)
        else:
            outcome = served.outcome.err_value.kind.label
        self._metrics.count("chicoryhold_requests", route=route, outcome=outcome)
        self._metrics.observe(
            "chicoryhold_request_seconds",
            self._clock.now() - request.arrived_at,
            route=route,
        )

    def _serve(self, request: GatewayRequest, index: RouteIndex) -> Served:
        if index.version == 0:
            return Served(outcome=_refused(RefusalKind.NOT_READY, "no configuration"))
        route = index.route(host=request.host, path=request.path)
        if route is None:
            return Served(outcome=_refused(RefusalKind.NO_ROUTE, "no such route"))
        organisation = None
        if index.has_organisations and not route.open:
            organisation = index.organisation_of(request.key)
            if organisation is None:
                refused = _refused(RefusalKind.KEY_MISSING, "the key is not valid")
                return Served(outcome=refused, route=route)
        name = organisation.name if organisation else ""
        outcome = self._permitted(request, route, organisation)
        if outcome is None:
            job = self._job(request, route, organisation, index)
            outcome = self._delivery.deliver(job)
        return Served(outcome=outcome, route=route, organisation=name)

    def _permitted(
        self, request: GatewayRequest, route: RouteRule,
        organisation: OrganisationRule | None,
    ) -> Outcome | None:  # fmt: skip
        if organisation is None or organisation.rate <= 0:
            return None
        deadline = _deadline_of(request, route)
        permission = self._permits.permit(organisation.name, deadline=deadline)
        if permission is Permission.GRANTED:
            return None
        if permission is Permission.DENIED:
            message = "the organisation's rate and burst are used up"
            return _refused(
                RefusalKind.RATE_EXCEEDED, message, retry_after=RATE_RETRY_AFTER
            )
        return _refused(RefusalKind.NOT_READY, "no control host gives permits")

    def _job(
        self, request: GatewayRequest, route: RouteRule,
        organisation: OrganisationRule | None, index: RouteIndex,
    ) -> Job:  # fmt: skip
        return Job(
            request=request,
            route=route,
            service=self._draw_service(route),
            organisation=organisation.name if organisation else "",
            rank=_rank_of(route, organisation),
            homes=_homes_of(route, organisation),
            deadline=_deadline_of(request, route),
        )

    def _draw_service(self, route: RouteRule) -> str:
        if len(route.parts) == 1:
            return route.parts[0].service
        weights = [part.weight for part in route.parts]
        if sum(weights) <= 0:
            return route.parts[0].service
        return self._random.choices(route.parts, weights)[0].service

    def _log_refusal(
        self, request: GatewayRequest, index: RouteIndex, served: Served
    ) -> None:
        refusal = served.outcome.err_value
        logger.bind(
            request=request.request_id,
            refused=refusal.kind.label,
            status=refusal.kind.status,
            ran=refusal.ran.value,
            route=served.route.name if served.route else "",
            organisation=served.organisation,
            version=index.version,
            seconds=round(self._clock.now() - request.arrived_at, 3),
            left=round(request.deadline - self._clock.now(), 3),
            reason=refusal.message,
        ).info("gateway: refused.")


def _deadline_of(request: GatewayRequest, route: RouteRule) -> float:
    if route.timeout <= 0:
        return request.deadline
    return min(request.deadline, request.arrived_at + route.timeout)


def _rank_of(route: RouteRule, organisation: OrganisationRule | None) -> int:
    """Return the organisation's rank, or the route's where it has none."""
    return (organisation.rank if organisation else 0) or route.rank


def _homes_of(
    route: RouteRule, organisation: OrganisationRule | None
) -> frozenset[str]:
    """Return the regions allowed by both; an impossible pair names no region."""
    own = frozenset(organisation.homes) if organisation else frozenset()
    if own and route.homes:
        return (own & frozenset(route.homes)) or frozenset({""})
    return own or frozenset(route.homes)


def _refused(
    kind: RefusalKind, message: str, *, retry_after: float = NOT_READY_RETRY_AFTER
) -> Outcome:
    return Err(
        Refusal(
            kind=kind, ran=RunStatus.NOT_RUN, message=message, retry_after=retry_after
        )
    )
