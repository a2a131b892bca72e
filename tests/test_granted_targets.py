"""Which targets an entry host probes, of those it has been granted slots on."""

from __future__ import annotations

from random import Random

import attrs
import pytest

from chicoryhold.callers.granted_targets import MAX_AGE_SECONDS, GrantedTargets
from chicoryhold.gateway.reachability import TargetReachability
from chicoryhold.gateway.target_prober import TargetProber
from chicoryhold.targets.probe import ProbeOutcome
from tests.conftest import FakeClock

SEEDS = 200
GONE = tuple(f"10.0.1.{number}:80" for number in range(54))
CURRENT = tuple(f"10.0.2.{number}:80" for number in range(10))
FAILING = CURRENT[:2]


@attrs.define(kw_only=True)
class Host:
    """An entry host that reaches ``reachable`` and no other target."""

    clock: FakeClock
    granted: GrantedTargets
    reachability: TargetReachability
    prober: TargetProber
    reachable: frozenset[str]

    def probe(self, addresses, *, timeout: float) -> ProbeOutcome:
        return ProbeOutcome(
            reached=tuple(a for a in addresses if a in self.reachable),
            failed=tuple(a for a in addresses if a not in self.reachable),
        )

    def grant(self, *addresses: str, service: str = "menu") -> None:
        for address in addresses:
            self.granted.add(address, service=service)

    def fail(self, *addresses: str) -> None:
        for address in addresses:
            self.reachability.record_failure(address)
        if self.reachability.needs_probe:
            self.prober.probe_once()


def create_host(*, seed: int = 1) -> Host:
    clock = FakeClock()
    granted = GrantedTargets(clock=clock)
    reachability = TargetReachability(clock=clock)
    prober = TargetProber(
        reachability=reachability,
        probe=lambda addresses, *, timeout: host.probe(addresses, timeout=timeout),
        clock=clock,
        candidates=lambda: granted.candidates(include_old=reachability.is_cut_off),
        random=Random(seed),
        component="entry",
        meanwhile="refusing requests",
    )
    host = Host(
        clock=clock,
        granted=granted,
        reachability=reachability,
        prober=prober,
        reachable=frozenset(CURRENT) - set(FAILING),
    )
    return host


@pytest.mark.parametrize("age", [10 * MAX_AGE_SECONDS, MAX_AGE_SECONDS / 2])
def test_targets_that_are_gone_are_not_taken_for_a_cut(age):
    verdicts = 0
    for seed in range(SEEDS):
        host = create_host(seed=seed)
        host.grant(*GONE)
        host.clock.advance(age)
        host.grant(*CURRENT)
        host.fail(*FAILING)
        verdicts += host.reachability.is_cut_off
    assert verdicts == 0


def test_a_host_is_found_to_be_cut_off_for_every_seed():
    verdicts = 0
    for seed in range(SEEDS):
        host = create_host(seed=seed)
        host.reachable = frozenset()
        host.grant(*CURRENT)
        host.fail(*FAILING)
        verdicts += host.reachability.is_cut_off
    assert verdicts == SEEDS


def test_one_recent_target_is_too_few_for_a_verdict():
    host = create_host()
    host.reachable = frozenset()
    host.grant(*GONE)
    host.clock.advance(MAX_AGE_SECONDS + 1)
    host.grant(CURRENT[0])
    host.fail(GONE[0], CURRENT[0])
    assert not host.reachability.is_cut_off


def test_a_grant_renews_the_age_of_a_target():
    host = create_host()
    host.grant("a:80", "b:80")
    host.clock.advance(MAX_AGE_SECONDS)
    host.grant("a:80")
    host.clock.advance(1.0)
    assert [known.address for known in host.granted.candidates()] == ["a:80"]


def test_a_service_with_few_grants_is_probed_as_well():
    host = create_host()
    host.reachable = frozenset({GONE[0]})
    host.grant(GONE[0], service="ledger")
    host.clock.advance(MAX_AGE_SECONDS / 2)
    host.grant(*CURRENT)
    host.fail(*CURRENT)
    assert not host.reachability.is_cut_off


def test_a_cut_that_lasts_longer_than_grants_ends_without_a_new_grant():
    host = create_host()
    host.reachable = frozenset()
    host.grant(*CURRENT)
    host.fail(*FAILING)
    assert host.reachability.is_cut_off
    host.clock.advance(10 * MAX_AGE_SECONDS)
    host.reachable = frozenset(CURRENT)
    host.prober.probe_once()
    assert not host.reachability.is_cut_off
