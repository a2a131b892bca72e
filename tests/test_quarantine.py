"""How hosts agree on the requests that none of them sends, and when that ends."""

from __future__ import annotations

from random import Random

import attrs
import pytest

from chicoryhold.callers.refusals import RefusalKind, RunStatus
from chicoryhold.metrics import Metrics
from chicoryhold.quarantine.evidence import (
    AMBIGUOUS_CRASHES,
    CrashEvidence,
)
from chicoryhold.quarantine.guard import (
    MAX_EXTRA_SECONDS,
    REPEAT_SECONDS,
    SUCCESS_VALID_SECONDS,
)
from chicoryhold.quarantine.messages import (
    CrashReport,
    QuarantinedRequest,
    RequestSucceeded,
)
from chicoryhold.quarantine.quarantine import (
    FIRST_QUARANTINE_SECONDS,
    MAX_QUARANTINED,
    Quarantine,
)
from chicoryhold.quarantine.records import CrashRecords
from tests.conftest import FakeClock
from tests.crash_fakes import a_guard

DEADLY = b"deadly"
READ = b"read"


def a_quarantine(clock: FakeClock) -> Quarantine:
    return Quarantine(clock=clock, metrics=Metrics(process="test"))


def records(clock: FakeClock) -> CrashRecords:
    return CrashRecords(
        evidence=CrashEvidence(clock=clock), quarantine=a_quarantine(clock)
    )


def report(number: int, *requests: bytes) -> CrashReport:
    return CrashReport(instance=f"i-{number}", born_ms=number, requests=requests)


class Fleet:
    """Entry hosts, and control hosts that decide by the reports of all of them."""

    def __init__(self, *, hosts: int = 27, controls: int = 6) -> None:
        self.clock = FakeClock()
        self.controls = [records(self.clock) for _ in range(controls)]
        self.told: list[list[object]] = [[] for _ in range(hosts)]
        self.hosts = [a_guard(self.clock, told=told) for told in self.told]

    def crash(
        self, number: int, requests_by_host: dict[int, tuple[bytes, ...]]
    ) -> None:
        for host, requests in requests_by_host.items():
            self.hosts[host].record_crash(report(number, *requests))
        self.deliver()

    def deliver(self) -> None:
        """Deliver what hosts told, and then what control hosts decided."""
        for told in self.told:
            for message in told:
                for control in self.controls:
                    if isinstance(message, CrashReport):
                        control.record_crash(message)
                    else:
                        control.record_success(message.request)
            told.clear()
        for host in self.hosts:
            for control in self.controls:
                host.merge(control.quarantine.all())
        if any(self.told):
            self.deliver()

    def refusing(self, request: bytes) -> int:
        return sum(host.refusal(request) is not None for host in self.hosts)


def test_after_the_third_crash_no_host_sends_the_request():
    fleet = Fleet()
    for number in range(3):
        assert not fleet.refusing(DEADLY)
        fleet.crash(number, {number: (DEADLY,)})
    assert fleet.refusing(DEADLY) == len(fleet.hosts)
    refusal = fleet.hosts[20].refusal(DEADLY)
    assert (refusal.kind, refusal.ran) == (RefusalKind.QUARANTINED, RunStatus.NOT_RUN)
    assert refusal.kind.status == 503
    assert refusal.retry_after >= FIRST_QUARANTINE_SECONDS


def test_a_popular_read_that_stood_beside_it_three_times_is_never_refused():
    fleet = Fleet()
    for number in range(3):
        fleet.hosts[10].record_success(READ)
        fleet.crash(number, {number: (DEADLY, READ), 10: (READ,)})
        assert not fleet.refusing(READ)
        fleet.hosts[10 + number].record_success(READ)
        fleet.deliver()
    assert fleet.refusing(DEADLY) == len(fleet.hosts)
    assert not fleet.refusing(READ)


def test_a_success_at_any_host_releases_the_request_everywhere():
    fleet = Fleet()
    for number in range(3):
        fleet.crash(number, {number: (READ,)})
    assert fleet.refusing(READ) == len(fleet.hosts)
    fleet.hosts[2].record_success(READ)
    fleet.deliver()
    assert not fleet.refusing(READ)
    fleet.clock.advance(0.5)
    fleet.deliver()
    assert not fleet.refusing(READ)


def test_a_bystander_is_released_when_the_report_about_the_culprit_arrives_late():
    fleet = Fleet()
    for number in range(3):
        fleet.crash(number, {0: (READ,)})
    assert fleet.refusing(READ)
    for number in range(4):
        fleet.crash(number, {number + 1: (DEADLY,)})
    assert not fleet.refusing(READ)
    assert fleet.refusing(DEADLY) == len(fleet.hosts)


def test_a_control_host_that_has_just_started_learns_it_from_the_others():
    fleet = Fleet()
    for number in range(3):
        fleet.crash(number, {number: (DEADLY,)})
    started = records(fleet.clock)
    assert started.merge(fleet.controls[0].quarantine.all())
    assert started.quarantine.remaining(DEADLY) > 0
    assert not started.merge(fleet.controls[1].quarantine.all())


def test_hosts_send_it_again_later_one_after_the_other_and_one_crash_renews_it():
    clock = FakeClock()
    control = records(clock)
    for number in range(3):
        control.record_crash(report(number, DEADLY))
    quarantines = [
        Quarantine(
            clock=clock, metrics=Metrics(process="test"),
            extra_seconds=Random(name).uniform(0, MAX_EXTRA_SECONDS),
        )
        for name in range(27)
    ]  # fmt: skip
    for each in quarantines:
        each.merge(control.quarantine.all())
    clock.advance(FIRST_QUARANTINE_SECONDS)
    ends = sorted(each.remaining(DEADLY) for each in quarantines)
    assert ends[-1] - ends[0] > MAX_EXTRA_SECONDS / 2
    assert sum(end <= ends[0] + 1.0 for end in ends) <= 3
    assert control.record_crash(report(3, DEADLY))
    assert control.quarantine.remaining(DEADLY) == 2 * FIRST_QUARANTINE_SECONDS


def test_a_report_is_repeated_for_a_while_as_it_may_get_lost():
    clock = FakeClock()
    guard = a_guard(clock)
    guard.record_crash(report(0, DEADLY))
    assert guard.recent_reports() == (report(0, DEADLY),)
    clock.advance(REPEAT_SECONDS + 0.1)
    assert guard.recent_reports() == ()


def test_a_request_that_succeeded_just_now_is_reported_as_such():
    clock = FakeClock()
    told: list[object] = []
    guard = a_guard(clock, told=told)
    guard.record_success(READ)
    guard.record_crash(report(0, READ))
    guard.record_crash(report(1, READ, DEADLY))
    succeeded = RequestSucceeded(request=READ)
    assert told == [succeeded, report(1, DEADLY), succeeded]
    clock.advance(SUCCESS_VALID_SECONDS)
    guard.record_crash(report(2, READ))
    assert told[3:] == [report(2, READ)]
    guard.record_success(READ)
    assert told[4:] == [succeeded]


def test_a_request_at_two_crashes_of_this_host_is_not_sent_to_one_more_at_once():
    guard = a_guard(FakeClock())
    guard.record_crash(report(0, DEADLY))
    assert guard.may_retry(DEADLY)
    guard.record_crash(report(1, DEADLY))
    assert not guard.may_retry(DEADLY)


def test_a_host_without_control_hosts_decides_by_its_own_crashes_at_last():
    guard = a_guard(FakeClock())
    for number in range(AMBIGUOUS_CRASHES):
        assert guard.refusal(DEADLY) is None
        guard.record_crash(report(number, DEADLY))
    assert guard.refusal(DEADLY) is not None


def test_a_message_sent_before_a_release_does_not_undo_it():
    clock = FakeClock()
    quarantine = a_quarantine(clock)
    quarantine.add(DEADLY)
    clock.advance(1.0)
    older = quarantine.all()
    quarantine.release(DEADLY)
    clock.advance(0.2)
    assert not quarantine.merge(older)
    assert not quarantine.remaining(DEADLY)
    clock.advance(5.0)
    newer = [attrs.evolve(older[0], age=0.0)]
    assert quarantine.merge(newer)
    assert quarantine.remaining(DEADLY)


@pytest.mark.parametrize("remaining", [-5.0, 1e30, float("nan")])
def test_times_that_make_no_sense_from_another_host_are_bounded(remaining):
    clock = FakeClock()
    quarantine = a_quarantine(clock)
    quarantine.merge(
        [QuarantinedRequest(request=DEADLY, remaining=remaining, age=-3.0)]
    )
    assert 0.0 <= quarantine.remaining(DEADLY) <= 4 * 3600.0


def test_at_most_so_many_requests_are_quarantined():
    quarantine = a_quarantine(FakeClock())
    for number in range(MAX_QUARANTINED + 50):
        quarantine.add(number.to_bytes(8))
    assert len(quarantine.active()) == MAX_QUARANTINED
