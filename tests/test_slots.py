"""Slots on targets that said to an entry host of the own interface that they leave."""

from __future__ import annotations

import attrs
import pytest
from result import Ok

from chicoryhold.callers.forwarding import ForwardedRequest, Forwarder
from chicoryhold.callers.granted_targets import GrantedTargets
from chicoryhold.callers.refusals import RefusalKind, RunStatus
from chicoryhold.callers.slots import Slots
from chicoryhold.errors import ExchangeFailed, InvalidResponse
from chicoryhold.gateway.reachability import TargetReachability
from chicoryhold.hosts.messages import Admitted, NotAdmitted
from chicoryhold.targets.exchange import (
    OutgoingRequest,
    ResponseHead,
    TargetResponse,
)
from tests.conftest import FakeClock
from tests.crash_fakes import CrashedTargets, a_guard
from tests.statement_fakes import a_statements

PLAIN = TargetResponse(status=200, headers=(), body=b"whole")
LEAVING_HEADERS = (("chicoryhold-leaving", "1"),)
LEAVING = attrs.evolve(PLAIN, headers=LEAVING_HEADERS)
LEAVING_HEAD = ResponseHead(status=200, headers=LEAVING_HEADERS)


def failure(kind: type[ExchangeFailed], *heads: ResponseHead) -> ExchangeFailed:
    error = kind("broken")
    error.heads = heads
    return error


class Coordinator:
    """Grants a slot on the first of ``processes`` whose address isn't avoided."""

    def __init__(self, *processes: tuple[str, str]) -> None:
        self.processes = list(processes)
        self.asked: list[object] = []
        self.released: list[tuple[str, float | None, bool]] = []

    def admit(self, request, *, deadline):
        self.asked.append(request)
        for instance, address in self.processes:
            if address not in request.avoid:
                return Admitted(
                    grant=instance, address=address, waited=0.0, instance=instance
                )
        return NotAdmitted(reason="no_target", retry_after=1.0)

    def release(self, grant, *, ok, latency, limit=None, is_leaving=False):
        self.released.append((grant, latency, is_leaving))


class NoShifts:
    def choose(self, service):
        return None


class Host:
    """An entry host of which each target answers as ``answers`` says."""

    def __init__(self, *processes: tuple[str, str]) -> None:
        self.clock = FakeClock()
        self.coordinator = Coordinator(*processes)
        self.answers: dict[str, object] = {}
        self.sent: list[str] = []
        self._forwarder = Forwarder(
            slots=Slots(
                admission=self.coordinator,
                shifts=NoShifts(),
                statements=a_statements(self.clock),
            ),
            connections=self,
            reachability=TargetReachability(clock=self.clock),
            granted=GrantedTargets(clock=self.clock),
            crashes=CrashedTargets().watch(self.clock),
            guard=a_guard(self.clock),
            clock=self.clock,
        )

    def exchange(self, address, request, **terms):
        self.sent.append(address)
        answer = self.answers.get(address, PLAIN)
        if isinstance(answer, ExchangeFailed):
            raise answer
        return answer

    def send(self):
        request = OutgoingRequest(
            request_id="r", method="GET", path="/", headers={}, body=b"",
            at_most_once=True,
        )  # fmt: skip
        forwarded = ForwardedRequest(
            organisation="o",
            service="menu",
            request=request,
            deadline=self.clock.now() + 1,
            digest=b"digest",
        )
        return self._forwarder.run(forwarded)


@pytest.mark.parametrize(
    "answer",
    [
        LEAVING,
        attrs.evolve(LEAVING, status=500),
        attrs.evolve(
            LEAVING, status=503, headers=(*LEAVING_HEADERS, ("Chicoryhold-Ran", "no"))
        ),
        attrs.evolve(PLAIN, earlier=(LEAVING_HEAD,)),
        failure(InvalidResponse, LEAVING_HEAD),
        failure(ExchangeFailed, LEAVING_HEAD),
    ],
    ids=["success", "failure", "shed", "late answer", "truncated", "broken off"],
)
def test_a_target_that_said_it_leaves_gets_no_request_from_this_host(answer):
    # Regression test: hosts of the own interface ignored what targets said of leaving.
    host = Host(("i1", "a1"), ("i2", "a2"))
    host.answers["a1"] = answer
    host.send()
    assert host.coordinator.released[0][::2] == ("i1", True)
    host.sent.clear()
    assert host.send() == Ok(PLAIN)
    assert host.sent == ["a2"]


def test_a_slot_on_a_target_that_leaves_is_given_back_unused():
    host = Host(("i1", "a1"), ("i2", "a2"))
    host.answers["a1"] = LEAVING
    host.send()
    host.send()
    assert host.coordinator.released[1:] == [("i1", None, True), ("i2", 0.0, False)]
    first, second, third = host.coordinator.asked
    assert (second.avoid, second.has_token) == ((), False)
    assert (third.avoid, third.has_token) == (("a1",), True)


def test_if_all_targets_leave_the_request_is_refused_as_not_run():
    host = Host(("i1", "a1"))
    host.answers["a1"] = LEAVING
    host.send()
    refusal = host.send().err_value
    assert (refusal.kind, refusal.ran) == (RefusalKind.NO_TARGET, RunStatus.NOT_RUN)
    assert host.sent == ["a1"]


def test_the_next_process_at_the_address_gets_requests():
    host = Host(("i1", "a1"))
    host.answers["a1"] = LEAVING
    host.send()
    host.coordinator.processes = [("next", "a1")]
    host.answers["a1"] = PLAIN
    assert host.send() == Ok(PLAIN)


def test_the_address_is_used_on_if_the_coordinator_does_not_name_the_process():
    host = Host(("", "a1"))
    host.answers["a1"] = LEAVING
    assert [host.send(), host.send()] == [Ok(LEAVING)] * 2


@pytest.mark.parametrize("values", [("0",), ("",), ("yes",), ("1", "1"), ("1, 1",)])
def test_what_cannot_be_read_counts_as_nothing(values):
    host = Host(("i1", "a1"))
    headers = tuple(("Chicoryhold-Leaving", value) for value in values)
    host.answers["a1"] = attrs.evolve(PLAIN, headers=headers)
    assert [host.send().is_ok(), host.send().is_ok()] == [True, True]
