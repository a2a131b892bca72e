"""Requests at an entry host whose coordinator grants slots, cut off from targets."""

from __future__ import annotations

from random import Random

import attrs
import pytest
from result import Ok

from chicoryhold.callers.forwarding import ForwardedRequest, Forwarder
from chicoryhold.callers.granted_targets import GrantedTargets
from chicoryhold.callers.refusals import RunStatus
from chicoryhold.callers.slots import Slots
from chicoryhold.errors import ConnectFailed, ExchangeFailed, ExchangeTimeout
from chicoryhold.gateway.reachability import TargetReachability
from chicoryhold.gateway.target_prober import TargetProber
from chicoryhold.hosts.messages import Admitted
from chicoryhold.quarantine.messages import CrashReport, RequestSucceeded
from chicoryhold.steering.shifts import ShiftChooser
from chicoryhold.steering.targets import EJECTION_FAILURE_THRESHOLD
from chicoryhold.targets.exchange import OutgoingRequest, TargetResponse
from chicoryhold.targets.probe import ProbeOutcome
from tests.conftest import FakeClock
from tests.crash_fakes import CrashedTargets, a_guard
from tests.statement_fakes import a_statements

OK = TargetResponse(status=200, headers=(), body=b"whole")
ADDRESSES = tuple(f"10.0.0.{number}:80" for number in range(8))


class Admission:
    """Grants slots on all targets in turn, and records what is reported of them."""

    def __init__(self) -> None:
        self.granted = 0
        self.reported_failures = 0

    def admit(self, request, *, deadline):
        address = ADDRESSES[self.granted % len(ADDRESSES)]
        self.granted += 1
        return Admitted(grant=str(self.granted), address=address, waited=0.0)

    def release(self, grant, *, ok, latency, limit=None, is_leaving=False):
        self.reported_failures += not ok and latency is not None


class Host:
    """An entry host that reaches targets unless ``is_cut``."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.admission = Admission()
        self.is_cut = False
        self.known_targets_are_gone = False
        self.reachability = TargetReachability(clock=self.clock)
        granted = GrantedTargets(clock=self.clock)
        self.prober = TargetProber(
            reachability=self.reachability,
            probe=self.probe,
            clock=self.clock,
            candidates=lambda: granted.candidates(
                include_old=self.reachability.is_cut_off
            ),
            random=Random(1),
            component="entry",
            meanwhile="refusing requests",
        )
        self.told: list[object] = []
        self.guard = a_guard(self.clock, told=self.told)
        self.crashes = attrs.evolve(
            CrashedTargets(), on_crash=self.guard.record_crash, refusing=set(ADDRESSES)
        )
        self.crashes_targets = False
        self.is_slow = False  # the next attempt passes its early deadline
        self.gave_up: bool | None = None
        self.is_unreachable_next = False  # after an attempt that was given up
        self.forwarder = Forwarder(
            crashes=self.crashes.watch(self.clock),
            guard=self.guard,
            slots=Slots(
                admission=self.admission,
                shifts=ShiftChooser(
                    domain="north-a", clock=self.clock, random=Random(1), shifts=tuple
                ),
                statements=a_statements(self.clock),
            ),
            connections=self,
            reachability=self.reachability,
            granted=granted,
            clock=self.clock,
        )

    def probe(self, addresses, *, timeout):
        if self.is_cut or self.known_targets_are_gone:
            return ProbeOutcome(reached=(), failed=tuple(addresses))
        return ProbeOutcome(reached=tuple(addresses), failed=())

    def exchange(
        self, address, request, *, deadline, stale_connection_deadline, may_give_up
    ):
        if self.is_cut:
            self.reachability.record_failure(address)
            raise ConnectFailed("refused")
        self.reachability.record_opened()
        if self.crashes_targets:
            raise ExchangeFailed("closed")
        if self.is_slow:
            self.is_slow = False
            self.gave_up = may_give_up()
            if self.gave_up:
                raise ExchangeTimeout("late")
        elif self.is_unreachable_next:
            raise ConnectFailed("refused")
        return OK

    def send(self, *, at_most_once: bool = True):
        request = OutgoingRequest(
            request_id="r", method="GET", path="/", headers={}, body=b"",
            at_most_once=at_most_once,
        )  # fmt: skip
        outcome = self.forwarder.run(
            ForwardedRequest(
                organisation="o",
                service="menu",
                request=request,
                deadline=self.clock.now() + 1,
                digest=b"digest",
            )
        )
        if self.reachability.needs_probe:
            self.prober.probe_once()
        self.clock.advance(0.05)
        return outcome


@pytest.fixture
def host() -> Host:
    host = Host()
    for _ in range(20):
        assert host.send() == Ok(OK)
    return host


def test_a_cut_off_host_refuses_at_once_and_takes_no_slots(host):
    host.is_cut = True
    send_until_cut_off = [host.send() for _ in range(4)]
    assert host.reachability.is_cut_off
    assert all(o.err_value.ran is RunStatus.NOT_RUN for o in send_until_cut_off)
    granted = host.admission.granted
    outcomes = [host.send() for _ in range(100)]  # in 5 s
    assert all(o.err_value.ran is RunStatus.NOT_RUN for o in outcomes)
    assert sum(o.err_value.retry_after > 0 for o in outcomes) >= 94
    assert host.admission.granted - granted <= 6


def test_a_cut_off_host_does_not_make_the_coordinator_eject_targets(host):
    host.is_cut = True
    for _ in range(200):
        host.send()
    assert host.admission.reported_failures < EJECTION_FAILURE_THRESHOLD


def test_a_host_serves_again_after_the_cut(host):
    host.is_cut = True
    for _ in range(20):
        host.send()
    host.is_cut = False
    host.prober.probe_once()
    assert host.send() == Ok(OK)


def test_a_cut_off_host_finds_targets_that_replaced_the_known_ones(host):
    host.is_cut = True
    for _ in range(20):
        host.send()
    host.is_cut = False
    host.known_targets_are_gone = True
    outcomes = [host.send() for _ in range(40)]  # in 2 s
    assert Ok(OK) in outcomes


def test_a_request_under_which_targets_end_is_reported_and_goes_to_two_of_them(host):
    host.clock.advance(10.0)
    host.crashes_targets = True
    granted = host.admission.granted
    assert host.send(at_most_once=False).err_value.ran is RunStatus.UNKNOWN
    assert host.admission.granted - granted == 2
    assert [type(each) for each in host.told] == [CrashReport, CrashReport]
    host.crashes_targets = False
    assert host.send(at_most_once=False) == Ok(OK)
    assert host.told[-1] == RequestSucceeded(request=b"digest")


def test_a_quarantined_request_gets_no_second_target(host):
    host.clock.advance(10.0)
    host.crashes_targets = True
    for _ in range(5):
        host.send(at_most_once=True)
    granted = host.admission.granted
    host.send(at_most_once=False)
    assert host.admission.granted - granted == 1


def test_a_slow_attempt_is_given_up_only_while_the_budget_has_a_retry(host):
    """Guards against attempts that are broken off although no other one follows."""
    given_up = []
    for _ in range(100):
        host.is_slow = True
        assert host.send(at_most_once=False) == Ok(OK)
        given_up.append(host.gave_up)
    assert given_up[0]
    assert not all(given_up)


def test_a_request_that_may_have_run_at_its_first_target_is_not_called_not_run(host):
    """Guards against "not run" of the last target where an earlier one may have."""
    host.is_slow = host.is_unreachable_next = True
    outcome = host.send(at_most_once=False)
    assert host.gave_up
    assert outcome.err_value.ran is RunStatus.UNKNOWN
