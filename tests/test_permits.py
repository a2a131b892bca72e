"""A rate over all domains, whatever they lend each other and whatever gets lost."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings, strategies as st

from chicoryhold.limits.permit_client import PERMIT_LIFETIME
from chicoryhold.limits.permits import Allowance, PermitOffice, Purse
from chicoryhold.programs.control_host import allowance_for
from chicoryhold.programs.host_settings import RateTolerance
from chicoryhold.routing.configuration import OrganisationRule
from tests.conftest import FakeClock

RATE = 30.0
BURST = 12.0
DOMAINS = 3
WINDOW = 5.0


def offices(clock: FakeClock) -> list[PermitOffice]:
    allowance = Allowance(rate=RATE, burst=BURST)
    return [
        PermitOffice(domains=DOMAINS, allowance_of=lambda _: allowance, clock=clock)
        for _ in range(DOMAINS)
    ]


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10_000))
def test_no_window_gets_more_than_rate_and_burst_with_loans_and_losses(seed):
    random = Random(seed)
    clock = FakeClock()
    all_offices = offices(clock)
    given_at: list[float] = []
    for _ in range(400):
        clock.advance(random.random() * 0.1)
        office = random.choice(all_offices[: random.randint(1, DOMAINS)])
        count = office.take("a", wanted=random.randint(1, 4), needed=1)
        given_at += [clock.now()] * count
        shortage = office.shortage("a")
        lender = random.choice(all_offices)
        if shortage and lender is not office:
            lent = lender.lend("a", shortage)
            if random.random() < 0.8:
                office.receive("a", lent)
    for start in given_at:
        inside = sum(1 for at in given_at if start <= at < start + WINDOW)
        assert inside <= RATE * WINDOW + BURST + 1


def test_a_domain_with_all_the_demand_gets_more_than_its_own_part():
    # The naive twin divides equally: a third of the rate for the busy domain.
    clock = FakeClock()
    busy, *idle = offices(clock)
    clock.advance(2)
    served = 0
    for _ in range(200):
        clock.advance(0.05)
        served += busy.take("a", wanted=1, needed=1)
        shortage = busy.shortage("a")
        for lender in idle:
            busy.receive("a", lender.lend("a", shortage // 2))
    assert served > 1.6 * RATE / DOMAINS * 10


def test_a_new_office_starts_empty_because_an_earlier_one_may_have_spent_all():
    office = offices(FakeClock())[0]
    assert office.take("a", wanted=5, needed=1) == 0


def test_an_organisation_without_limit_needs_no_permits():
    office = PermitOffice(domains=1, allowance_of=lambda _: None, clock=FakeClock())
    assert office.take("a", wanted=5, needed=1) is None


def test_permits_end_even_if_the_host_was_frozen_after_it_asked():
    clock = FakeClock()
    purse = Purse(clock=clock, lifetime=0.25)
    asked_at = clock.now()
    clock.advance(3)
    purse.put("a", 5, asked_at=asked_at)
    assert not purse.take("a")


def test_permits_are_used_once_each():
    clock = FakeClock()
    purse = Purse(clock=clock, lifetime=0.25)
    purse.put("a", 2, asked_at=clock.now())
    assert [purse.take("a") for _ in range(3)] == [True, True, False]


def test_every_window_keeps_to_rate_and_burst_while_steady_demand_uses_the_burst():
    # A bucket that refills by the rate alone gives a steady demand none of its burst
    # after the first second, though each window would allow it: 3 in 100 of a day's
    # requests were refused below their limit.
    rule = OrganisationRule(name="a", rate=54.0, burst=54.0)
    tolerance = RateTolerance(window=WINDOW, share=0.1, requests=20)
    allowance = allowance_for(rule, tolerance)
    limit = (rule.rate * WINDOW + rule.burst) * 1.1 + 20
    assert allowance.rate * (WINDOW + PERMIT_LIFETIME) + allowance.burst <= limit
    assert allowance.rate * WINDOW >= 0.95 * (rule.rate * WINDOW + 0.8 * rule.burst)


def test_a_burst_smaller_than_the_number_of_domains_still_lets_the_rate_pass():
    # Five requests of burst in six domains left less than one permit in each bucket,
    # and every request was refused.
    clock = FakeClock()
    allowance = Allowance(rate=10.0, burst=5.0)
    all_offices = [
        PermitOffice(domains=6, allowance_of=lambda _: allowance, clock=clock)
        for _ in range(6)
    ]
    random = Random(1)
    granted = 0
    for _ in range(270):
        clock.advance(random.expovariate(9.0))
        granted += random.choice(all_offices).take("a", wanted=1, needed=1)
    assert granted > 200


def test_hosts_hold_no_permits_ahead_while_they_are_scarce():
    clock = FakeClock()
    office = offices(clock)[0]
    clock.advance(0.3)
    for _ in range(20):
        office.take("a", wanted=1, needed=1)
    clock.advance(0.3)
    assert office.take("a", wanted=3, needed=1) == 1
