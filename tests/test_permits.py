"""Permits keep the rate over all domains in spite of loans and lost messages."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings, strategies as st

from chicoryhold.limits.permit_client import PERMIT_LIFETIME_SECONDS
from chicoryhold.limits.permits import Allowance, PermitAllocator, PermitCache
from chicoryhold.programs.control_host import allowance_for
from chicoryhold.programs.host_settings import RateTolerance
from chicoryhold.routing.configuration import OrganisationRule
from tests.conftest import FakeClock

RATE = 30.0
BURST = 12.0
DOMAINS = 3
WINDOW_SECONDS = 5.0


def create_allocators(clock: FakeClock) -> list[PermitAllocator]:
    allowance = Allowance(rate=RATE, burst=BURST)
    return [
        PermitAllocator(domains=DOMAINS, allowance_of=lambda _: allowance, clock=clock)
        for _ in range(DOMAINS)
    ]


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10_000))
def test_no_window_exceeds_rate_and_burst_with_loans_and_lost_messages(seed):
    random = Random(seed)
    clock = FakeClock()
    allocators = create_allocators(clock)
    granted_at: list[float] = []
    for _ in range(400):
        clock.advance(random.random() * 0.1)
        allocator = random.choice(allocators[: random.randint(1, DOMAINS)])
        count = allocator.take("a", wanted=random.randint(1, 4), needed=1)
        granted_at += [clock.now()] * count
        shortage = allocator.shortage("a")
        lender = random.choice(allocators)
        if shortage and lender is not allocator:
            lent = lender.lend("a", shortage)
            if random.random() < 0.8:
                allocator.receive("a", lent)
    for start in granted_at:
        inside = sum(1 for at in granted_at if start <= at < start + WINDOW_SECONDS)
        assert inside <= RATE * WINDOW_SECONDS + BURST + 1


def test_a_domain_with_all_the_demand_gets_more_than_its_own_share():
    # An equal division without loans would give the busy domain a third of the rate.
    clock = FakeClock()
    busy, *idle = create_allocators(clock)
    clock.advance(2)
    served = 0
    for _ in range(200):
        clock.advance(0.05)
        served += busy.take("a", wanted=1, needed=1)
        shortage = busy.shortage("a")
        for lender in idle:
            busy.receive("a", lender.lend("a", shortage // 2))
    assert served > 1.6 * RATE / DOMAINS * 10


def test_a_new_allocator_starts_empty_because_an_earlier_one_may_have_granted_all():
    allocator = create_allocators(FakeClock())[0]
    assert allocator.take("a", wanted=5, needed=1) == 0


def test_an_organisation_without_limit_needs_no_permits():
    allocator = PermitAllocator(
        domains=1, allowance_of=lambda _: None, clock=FakeClock()
    )
    assert allocator.take("a", wanted=5, needed=1) is None


def test_permits_expire_even_if_the_host_was_suspended_after_it_asked():
    clock = FakeClock()
    cache = PermitCache(clock=clock, lifetime=0.25)
    asked_at = clock.now()
    clock.advance(3)
    cache.put("a", 5, asked_at=asked_at)
    assert not cache.take("a")


def test_permits_are_used_once_each():
    clock = FakeClock()
    cache = PermitCache(clock=clock, lifetime=0.25)
    cache.put("a", 2, asked_at=clock.now())
    assert [cache.take("a") for _ in range(3)] == [True, True, False]


def test_steady_demand_can_use_the_burst_without_exceeding_any_window():
    # Guards against refusals below the limit: a bucket that refills at the rate alone
    # lets steady demand use the burst once, in its first second, although every window
    # allows it again. 3 in 100 of a day's requests were refused that way.
    rule = OrganisationRule(name="a", rate=54.0, burst=54.0)
    tolerance = RateTolerance(window=WINDOW_SECONDS, share=0.1, requests=20)
    allowance = allowance_for(rule, tolerance)
    limit = (rule.rate * WINDOW_SECONDS + rule.burst) * 1.1 + 20
    assert (
        allowance.rate * (WINDOW_SECONDS + PERMIT_LIFETIME_SECONDS) + allowance.burst
        <= limit
    )
    assert allowance.rate * WINDOW_SECONDS >= 0.95 * (
        rule.rate * WINDOW_SECONDS + 0.8 * rule.burst
    )


def test_a_burst_smaller_than_the_number_of_domains_still_lets_the_rate_pass():
    # Guards against buckets that never hold a whole permit: a burst of 5 divided
    # between 6 domains left less than one in each, and every request was refused.
    clock = FakeClock()
    allowance = Allowance(rate=10.0, burst=5.0)
    allocators = [
        PermitAllocator(domains=6, allowance_of=lambda _: allowance, clock=clock)
        for _ in range(6)
    ]
    random = Random(1)
    granted = 0
    for _ in range(270):
        clock.advance(random.expovariate(9.0))
        granted += random.choice(allocators).take("a", wanted=1, needed=1)
    assert granted > 200


def test_no_permits_are_granted_in_advance_while_they_are_scarce():
    clock = FakeClock()
    allocator = create_allocators(clock)[0]
    clock.advance(0.3)
    for _ in range(20):
        allocator.take("a", wanted=1, needed=1)
    clock.advance(0.3)
    assert allocator.take("a", wanted=3, needed=1) == 1
