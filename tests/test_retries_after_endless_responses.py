"""What hosts answer if a target sends bytes without end, and when they retry."""

from __future__ import annotations

import attrs
import pytest
from result import Result

from chicoryhold.callers.forwarding import ForwardedRequest, Forwarder
from chicoryhold.callers.granted_targets import GrantedTargets
from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.callers.slots import Slots
from chicoryhold.clock import BootClock
from chicoryhold.gateway.attempt_log import AttemptLog
from chicoryhold.gateway.delivery import Delivery
from chicoryhold.gateway.reachability import TargetReachability
from chicoryhold.gateway.request import GatewayRequest, ResponseMetadata, RoutedRequest
from chicoryhold.hosts.messages import Admitted
from chicoryhold.limits.retry_budgets import RetryBudgets
from chicoryhold.metrics import Metrics
from chicoryhold.routing.target_choice import TargetChooser
from chicoryhold.targets.cancellation import Cancellation
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.exchange import TargetResponse
from tests.crash_fakes import CrashedTargets, a_guard
from tests.endless_responses import (
    BODIES,
    DEADLINE_SECONDS,
    HEADS,
    LENIENT,
    SLACK_SECONDS,
    SLOW_TO_END,
    an_outgoing_request,
    run_with_time_limit,
)
from tests.sick_target import SickTarget, complete, sick_target
from tests.statement_fakes import a_statements
from tests.test_target_choice import ROUTE, a_chooser, apply, chosen, criteria
from tests.test_targets_state import a_record

Outcome = Result[TargetResponse, Refusal]


class HeaderTranslator:
    def headers(self, call):
        return {}

    def response_metadata(self, response):
        return ResponseMetadata()


def deliver(
    sick: SickTarget, sound: SickTarget, *, repeatable: bool
) -> tuple[Outcome, TargetChooser]:
    """Deliver a request that the gateway sends to ``sick`` first."""
    clock = BootClock()
    statements = a_statements(clock)
    chooser = a_chooser(clock=clock, statements=statements)
    apply(
        chooser,
        [
            a_record(instance=name, address=target.address, domain="north-a")
            for name, target in (("sick", sick), ("sound", sound))
        ],
    )
    affinity_key = next(
        key for key in map(str, range(100)) if chosen(chooser, criteria(key)) == "sick"
    )
    delivery = Delivery(
        chooser=chooser,
        connections=TargetConnections(clock=clock, dialect=LENIENT),
        header_translator=HeaderTranslator(),
        statements=statements,
        crashes=CrashedTargets().watch(clock),
        guard=a_guard(clock),
        log=AttemptLog(
            clock=clock, metrics=Metrics(process="test"), copy_age=lambda: 0.0
        ),
        budgets=RetryBudgets(),
        clock=clock,
    )
    request = GatewayRequest(
        request_id="r1",
        method="GET",
        host="h",
        path="/",
        target="/",
        headers={},
        body=b"",
        key=None,
        affinity_key=affinity_key,
        arrived_at=clock.now(),
        deadline=clock.now() + DEADLINE_SECONDS,
        cancellation=Cancellation(),
    )
    routed = RoutedRequest(
        request=request,
        route=attrs.evolve(ROUTE, repeatable=repeatable, attempts=2),
        service="menu",
        organisation="",
        allowed_regions=frozenset(),
        deadline=request.deadline,
        digest=b"digest",
    )
    return delivery.deliver(routed), chooser


# A head that is only sent slowly must leave time for another target, too.
RETRIED = [*HEADS, *(name for name in BODIES if name not in SLOW_TO_END)]


@pytest.mark.parametrize("name", RETRIED)
def test_gateway_sends_a_repeatable_request_to_another_target_in_time(name):
    with (
        sick_target({**HEADS, **BODIES}[name]) as sick,
        sick_target(complete("whole")) as sound,
    ):
        result, seconds = run_with_time_limit(
            lambda: deliver(sick, sound, repeatable=True)
        )
        outcome, chooser = result
        assert outcome.is_ok() and outcome.ok_value.body == b"whole"
        assert seconds < DEADLINE_SECONDS + SLACK_SECONDS
        assert (sick.requests, sound.requests) == (1, 1)
        assert chooser.views["sick"].failures == 1


@pytest.mark.parametrize("name", ["100 Continue", "body without length", "trailers"])
def test_gateway_answers_unknown_if_the_request_may_run_once(name):
    with (
        sick_target({**HEADS, **BODIES}[name]) as sick,
        sick_target(complete("whole")) as sound,
    ):
        result, seconds = run_with_time_limit(
            lambda: deliver(sick, sound, repeatable=False)
        )
        outcome, chooser = result
        assert outcome.err_value.ran is RunStatus.UNKNOWN
        assert outcome.err_value.kind is RefusalKind.ANSWER_BROKEN
        assert seconds < DEADLINE_SECONDS + SLACK_SECONDS
        assert (sick.requests, sound.requests) == (1, 0)
        assert chooser.views["sick"].failures == 1


class Admission:
    """Admits each attempt to the next of ``addresses`` and records the releases."""

    def __init__(self, *addresses: str) -> None:
        self._addresses = list(addresses)
        self.released: list[bool] = []

    def admit(self, admit, *, deadline):
        return Admitted(grant="g", address=self._addresses.pop(0), waited=0.0)

    def release(self, grant, *, ok, latency, limit=None, is_leaving=False):
        self.released.append(ok)


class NoShifts:
    def choose(self, service):
        return None


def forward(
    sick: SickTarget, sound: SickTarget, *, at_most_once: bool
) -> tuple[Outcome, list[bool]]:
    """Send a request to ``sick``, and to ``sound`` if it is retried."""
    clock = BootClock()
    admission = Admission(sick.address, sound.address)
    forwarder = Forwarder(
        crashes=CrashedTargets().watch(clock),
        guard=a_guard(clock),
        slots=Slots(
            admission=admission, shifts=NoShifts(), statements=a_statements(clock)
        ),
        connections=TargetConnections(clock=clock),
        reachability=TargetReachability(clock=clock),
        granted=GrantedTargets(clock=clock),
        clock=clock,
    )
    forwarded = ForwardedRequest(
        digest=b"digest",
        organisation="o",
        service="menu",
        request=attrs.evolve(an_outgoing_request(), at_most_once=at_most_once),
        deadline=clock.now() + DEADLINE_SECONDS,
    )
    return forwarder.run(forwarded), admission.released


@pytest.mark.parametrize("name", ["100 Continue", "header lines", "chunks"])
@pytest.mark.parametrize("at_most_once", [False, True])
def test_entry_host_retries_or_answers_unknown(name, at_most_once):
    with (
        sick_target({**HEADS, **BODIES}[name]) as sick,
        sick_target(complete("whole")) as sound,
    ):
        result, seconds = run_with_time_limit(
            lambda: forward(sick, sound, at_most_once=at_most_once)
        )
        outcome, released = result
        assert seconds < DEADLINE_SECONDS + SLACK_SECONDS
        if at_most_once:
            assert outcome.err_value.ran is RunStatus.UNKNOWN
            assert released == [False]
        else:
            assert outcome.ok_value.body == b"whole"
            assert released == [False, True]
