"""What a host does whose copy of the control state gets old."""

from __future__ import annotations

import pytest

from chicoryhold.callers.refusals import RefusalKind, RunStatus
from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS
from chicoryhold.gateway.currency import WAKING_SECONDS, CopyCurrency, Currency
from chicoryhold.membership.messages import ControlHost
from chicoryhold.membership.registry import HostRegistry
from chicoryhold.metrics import Metrics
from tests.conftest import FakeClock
from tests.test_membership import entry_host
from tests.test_relayed_requests import serve

APPLY_SECONDS = 2.5
STEP_SECONDS = 0.1
TOLD_EVERY_STEPS = 5


class Host:
    """A host that control hosts tell twice a second how old their copies are."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self._confirmed_at = self.clock.now()
        self.currency = CopyCurrency(
            clock=self.clock,
            copy_age=lambda: self.clock.now() - self._confirmed_at,
            metrics=Metrics(process="test"),
            apply_seconds=APPLY_SECONDS,
        )

    def run(
        self, seconds: float, *, fetches: bool = True, told_age: float | None = 0.2,
        others_serve: bool = True,
    ) -> list[Currency]:  # fmt: skip
        """Return what the copy was good for after each step.

        ``told_age`` is ``None`` while no control host replies. In an election it is
        ``UNCONFIRMED_AGE_SECONDS`` of control hosts that have just started.
        """
        seen = []
        for step in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            if fetches:
                self._confirmed_at = self.clock.now() - 0.3
            if told_age is not None and step % TOLD_EVERY_STEPS == 0:
                self.currency.record_told(told_age, others_serve=others_serve)
            self.currency.check()
            seen.append(self.currency.now)
        return seen

    def elect(self, seconds: float) -> list[Currency]:
        """Run without a leader: all control hosts have old copies that get older."""
        lost_at = self.clock.now()
        seen = []
        while self.clock.now() - lost_at < seconds:
            age = self.clock.now() - lost_at + 0.2
            seen += self.run(0.5, fetches=False, told_age=age)
        return seen


def test_a_host_in_touch_whose_copy_is_not_confirmed_in_time_sends_no_requests():
    host = Host()
    assert set(host.run(5.0)) == {Currency.CURRENT}
    seen = host.run(APPLY_SECONDS, fetches=False)
    assert seen[-1] is Currency.BEHIND
    assert not host.currency.may_send
    assert host.run(0.1)[-1] is Currency.CURRENT


def test_a_host_that_is_cut_off_serves_on_but_denies_nothing():
    host = Host()
    host.run(5.0)
    host.run(30.0, fetches=False, told_age=None)
    assert host.currency.now is Currency.CUT_OFF
    assert host.currency.may_send
    assert not host.currency.may_deny


@pytest.mark.parametrize("seconds", [1.0, 3.0, 8.0])
def test_an_election_does_not_make_hosts_refuse_callers(seconds):
    host = Host()
    host.run(5.0)
    seen = host.elect(seconds)
    seen += host.run(0.3, fetches=False)
    seen += host.run(3.0)
    assert Currency.BEHIND not in seen
    assert seen[-1] is Currency.CURRENT


def test_control_hosts_that_have_just_started_do_not_make_hosts_refuse_callers():
    host = Host()
    host.run(5.0)
    seen = host.run(10.0, fetches=False, told_age=UNCONFIRMED_AGE_SECONDS)
    assert Currency.BEHIND not in seen


def test_a_host_that_was_paused_decides_nothing_before_it_has_asked_what_it_missed():
    host = Host()
    host.run(5.0)
    host.clock.advance(6.0)
    assert host.currency.now is Currency.WAKING
    assert not host.currency.may_send
    assert host.run(0.1)[-1] is Currency.CURRENT


def test_a_host_that_was_paused_and_finds_itself_cut_off_serves_on():
    host = Host()
    host.run(5.0)
    host.clock.advance(6.0)
    seen = host.run(WAKING_SECONDS + 0.5, fetches=False, told_age=None)
    assert seen[0] is Currency.WAKING
    assert seen[-1] is Currency.CUT_OFF


def test_a_short_pause_of_a_host_with_a_recent_copy_refuses_nobody():
    host = Host()
    host.run(5.0)
    host.clock.advance(1.2)
    assert host.currency.may_send


@pytest.mark.parametrize("path", ["/known/x", "/added-in-the-next-version/x"])
def test_a_host_with_an_old_copy_refuses_as_not_run_and_denies_nothing(path):
    host = Host()
    host.run(5.0)
    host.run(5.0, fetches=False)
    outcome, delivery = serve(path, None, currency=host.currency)
    assert outcome.err_value.kind is RefusalKind.NOT_READY
    assert outcome.err_value.ran is RunStatus.NOT_RUN
    assert outcome.err_value.retry_after > 0
    assert delivery.delivered == []


def test_a_host_that_is_cut_off_does_not_deny_a_route_that_it_may_have_missed():
    host = Host()
    host.run(5.0)
    host.run(5.0, fetches=False, told_age=None)
    outcome, _ = serve("/added-in-the-next-version/x", None, currency=host.currency)
    assert outcome.err_value.kind is RefusalKind.NOT_READY
    _, delivery = serve("/known/x", None, currency=host.currency)
    assert len(delivery.delivered) == 1


def test_hosts_serve_on_whose_whole_region_can_not_keep_up_with_changes():
    host = Host()
    host.run(5.0)
    host.run(5.0, fetches=False, others_serve=False)
    assert host.currency.now is Currency.BEHIND
    assert host.currency.may_send
    assert not host.currency.is_reliable
    assert not host.currency.may_deny


def test_look_ups_leave_out_hosts_with_old_copies_while_enough_others_remain():
    own = ControlHost(name="c", domain="d1", region="north")
    registry = HostRegistry(own=own, clock=FakeClock())
    registry.record_entry_report(entry_host("e1", current=False))
    registry.record_entry_report(entry_host("e2"))
    assert [host.name for host in registry.entry_hosts(region="north")] == ["e2"]
    assert registry.has_enough_serving("north")
    for name in ("e3", "e4", "e5"):
        registry.record_entry_report(entry_host(name, current=False))
    assert len(registry.entry_hosts(region="north")) == 5
    assert not registry.has_enough_serving("north")
