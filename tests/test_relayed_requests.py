"""Requests that another entry host has relayed to this one."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import pytest
from result import Ok

from chicoryhold.callers.refusals import RefusalKind, RunStatus
from chicoryhold.gateway.currency import CopyCurrency
from chicoryhold.gateway.request import GatewayRequest, RelayTerms
from chicoryhold.gateway.service import GatewayService
from chicoryhold.metrics import Metrics
from chicoryhold.quarantine.digest import request_digest
from chicoryhold.quarantine.evidence import AMBIGUOUS_CRASHES
from chicoryhold.quarantine.messages import CrashReport
from chicoryhold.routing.configuration import (
    Configuration,
    RouteRule,
    WeightedService,
)
from chicoryhold.routing.route_index import RouteIndex
from chicoryhold.targets.cancellation import Cancellation
from chicoryhold.targets.exchange import TargetResponse
from tests.conftest import FakeClock
from tests.crash_fakes import a_guard
from tests.currency_fakes import a_current_copy
from tests.test_relay import a_request

VERSION = 4


class Delivery:
    """Keeps what it is given and answers with a response."""

    def __init__(self) -> None:
        self.delivered: list[object] = []

    def deliver(self, routed):
        self.delivered.append(routed)
        return Ok(TargetResponse(status=200, headers=(), body=b""))


def digest_of(request: GatewayRequest) -> bytes:
    return request_digest(
        method=request.method,
        host=request.host,
        target=request.target,
        key=request.key,
        body=request.body,
    )


def serve(
    path: str, relayed: RelayTerms | None, *, crashes: int = 0, has_left: bool = False,
    is_ending: bool = False, seconds_left: float = 9.0,
    currency: CopyCurrency | None = None,
):  # fmt: skip
    """Serve a request on a host with the configuration ``VERSION``."""
    clock = FakeClock()
    route = RouteRule(
        name="r",
        host="shop.example",
        prefix="/known/",
        parts=(WeightedService(service="s", weight=1.0),),
        attempts=2,
    )
    index = RouteIndex(Configuration(version=VERSION, routes=(route,)))
    delivery = Delivery()
    cancellation = Cancellation()
    if has_left:
        cancellation.set()
    request = a_request(
        clock,
        path=path,
        relayed=relayed,
        cancellation=cancellation,
        deadline=clock.now() + seconds_left,
    )
    guard = a_guard(clock)
    for number in range(crashes):
        guard.record_crash(
            CrashReport(
                instance=f"i-{number}", born_ms=1, requests=(digest_of(request),)
            )
        )
    service = GatewayService(
        index=lambda: index,
        copy_age=lambda: 0.0,
        revision=lambda: 0,
        currency=currency or a_current_copy(clock),
        permits=None,
        delivery=delivery,
        relay=SimpleNamespace(is_needed=False),
        guard=guard,
        clock=clock,
        random=Random(1),
        metrics=Metrics(process="h"),
        may_take=lambda deadline: not is_ending,
    )
    return service.serve(request).outcome, delivery


@pytest.mark.parametrize("path", ["/known/x", "/added-in-the-next-version/x"])
def test_host_does_not_decide_a_relayed_request_by_an_older_configuration(path):
    outcome, delivery = serve(path, RelayTerms(version=VERSION + 1, attempts=1))
    assert outcome.err_value.kind is RefusalKind.NOT_READY
    assert delivery.delivered == []


@pytest.mark.parametrize("version", [VERSION - 1, VERSION])
def test_host_decides_a_relayed_request_by_the_same_or_a_newer_configuration(version):
    outcome, _ = serve("/known/x", RelayTerms(version=version, attempts=1))
    assert outcome.is_ok()
    outcome, _ = serve("/removed/x", RelayTerms(version=version, attempts=1))
    assert outcome.err_value.kind is RefusalKind.NO_ROUTE


def test_host_sends_a_relayed_request_to_no_more_targets_than_the_sender_allows():
    _, delivery = serve("/known/x", RelayTerms(version=VERSION, attempts=1))
    _, unlimited = serve("/known/x", None)
    assert delivery.delivered[0].route.attempts == 1
    assert unlimited.delivered[0].route.attempts == 2


@pytest.mark.parametrize("relayed", [None, RelayTerms(version=VERSION, attempts=1)])
def test_a_request_that_crashes_targets_is_refused_before_it_takes_a_permit(relayed):
    outcome, delivery = serve("/known/x", relayed, crashes=AMBIGUOUS_CRASHES)
    refusal = outcome.err_value
    assert (refusal.kind, refusal.ran) == (RefusalKind.QUARANTINED, RunStatus.NOT_RUN)
    assert refusal.retry_after > 0
    assert delivery.delivered == []


def test_a_request_whose_caller_has_left_goes_to_no_target():
    outcome, delivery = serve("/known/x", None, has_left=True)
    assert outcome.err_value.ran is RunStatus.NOT_RUN
    assert delivery.delivered == []


@pytest.mark.parametrize("relayed", [None, RelayTerms(version=VERSION, attempts=1)])
def test_a_request_that_a_host_can_not_answer_before_its_end_goes_to_no_target(relayed):
    outcome, delivery = serve("/known/x", relayed, is_ending=True)
    refusal = outcome.err_value
    assert (refusal.kind, refusal.ran) == (RefusalKind.STOPPING, RunStatus.NOT_RUN)
    assert refusal.retry_after > 0
    assert delivery.delivered == []


@pytest.mark.parametrize("relayed", [None, RelayTerms(version=VERSION, attempts=1)])
def test_a_request_whose_deadline_passed_in_the_queue_goes_to_no_target(relayed):
    outcome, delivery = serve("/known/x", relayed, seconds_left=0.0)
    refusal = outcome.err_value
    assert refusal.kind is RefusalKind.DEADLINE_PASSED
    assert refusal.ran is RunStatus.NOT_RUN
    assert delivery.delivered == []
