"""Rates and bursts over failure domains, against a plain check of every window."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings, strategies as st

from chicoryhold.hosts.messages import BorrowReply, BorrowRequest, Ledger
from chicoryhold.limits.domain_limits import DomainLimits
from chicoryhold.limits.shares import share_of
from chicoryhold.limits.token_bucket import LoanAmount, LoanOffer, TokenBucket
from chicoryhold.state.table import OrganisationLimits
from tests.conftest import FakeClock

DOMAINS = ("a1", "a2", "b1", "b2", "c1", "c2")


class Fleet:
    """One coordinator's limits in each domain; messages are lost, late or cut."""

    def __init__(self, *, seed: int, rate: float, burst: int) -> None:
        self.random = Random(seed)
        self.epoch = 0
        self.clock = FakeClock()
        self.limits = OrganisationLimits(rate=rate, burst=burst)
        self.domains = {name: self.create(name) for name in DOMAINS}
        self.spent: list[float] = []
        self.asked = 0
        self.returns: list = []
        self.flying: list[tuple[float, str, str, BorrowReply, float]] = []

    def create(self, name: str) -> DomainLimits:
        self.epoch += 1
        return DomainLimits(
            epoch=self.epoch,
            domain=name,
            domains=DOMAINS,
            limits_of=lambda _: self.limits,
            clock=self.clock,
        )

    def request(self, domain: str, *, loss: float, delay: float) -> bool:
        self.asked += 1
        limits = self.domains[domain]
        taken = limits.take("org")
        if taken and limits.should_borrow("org"):
            self.borrow(domain, loss=loss, delay=delay)
        elif not taken and limits.may_borrow("org"):
            self.borrow(domain, loss=loss, delay=delay)
            taken = limits.retry_take("org")
        if taken:
            self.spent.append(self.clock.now())
        return taken

    def borrow(self, domain: str, *, loss: float, delay: float) -> None:
        limits = self.domains[domain]
        request = limits.create_request("org")
        sent_at = self.clock.now()
        for lender in limits.other_domains:
            if self.random.random() < loss:
                continue
            self.tell(self.domains[lender].give_back("org"), loss, delay)
            reply = self.domains[lender].lend(request)
            if self.random.random() >= loss:
                arrival = sent_at + self.random.random() * delay
                self.flying.append((arrival, domain, lender, reply, sent_at))
        self.land()
        limits.borrow_ended("org", gained=True)

    def tell(self, words, loss: float, delay: float) -> None:
        for lender, word in words:
            if self.random.random() >= loss:
                arrival = self.clock.now() + self.random.random() * delay
                self.returns.append((arrival, lender, word))

    def land(self) -> None:
        """Deliver the replies and the parts given back that are due."""
        now = self.clock.now()
        arrived = [entry for entry in self.returns if entry[0] <= now]
        self.returns = [entry for entry in self.returns if entry[0] > now]
        for _, lender, word in arrived:
            self.domains[lender].take_back(word)
        due = [entry for entry in self.flying if entry[0] <= now]
        self.flying = [entry for entry in self.flying if entry[0] > now]
        for _, domain, lender, reply, sent_at in due:
            self.domains[domain].borrow(
                "org", lender=lender, reply=reply, sent_at=sent_at
            )

    def fail_over(self, domain: str) -> None:
        """A new coordinator starts from the ledger of the one before."""
        ledger_loans = self.domains[domain].loans()
        self.domains[domain] = self.create(domain)
        self.domains[domain].restore(Ledger(loans=ledger_loans))

    def worst_excess(self) -> float:
        """Return by how many requests any window was above burst + rate x window."""
        worst = 0.0
        for first, start in enumerate(self.spent):
            for last in range(first, len(self.spent)):
                window = self.spent[last] - start
                allowed = self.limits.burst + self.limits.rate * window
                worst = max(worst, last - first + 1 - allowed)
        return worst


@settings(max_examples=150)
@given(
    seed=st.integers(0, 2**32),
    rate=st.sampled_from([0.5, 5.0, 60.0]),
    burst=st.sampled_from([1, 2, 3, 10, 45]),
    loss=st.sampled_from([0.0, 0.3]),
    delay=st.sampled_from([0.0, 0.06, 3.0]),
)
def test_no_window_exceeds_rate_and_burst_over_all_domains(
    seed, rate, burst, loss, delay
):
    fleet = Fleet(seed=seed, rate=rate, burst=burst)
    home = fleet.random.choice(DOMAINS)
    for _ in range(300):
        fleet.clock.advance(fleet.random.expovariate(8 * rate))
        fleet.land()
        if fleet.random.random() < 0.02:
            home = fleet.random.choice(DOMAINS)
        if fleet.random.random() < 0.01:
            fleet.fail_over(fleet.random.choice(DOMAINS))
        if fleet.random.random() < 0.02:
            fleet.clock.advance(fleet.random.random() * 5)
        fleet.request(home, loss=loss, delay=delay)
        idle = fleet.random.choice(DOMAINS)
        fleet.tell(fleet.domains[idle].give_back_ending(), loss, delay)
    assert fleet.worst_excess() <= 1e-6


def test_all_demand_in_one_domain_gets_nearly_the_whole_rate():
    fleet = Fleet(seed=1, rate=60, burst=60)
    fleet.clock.advance(5)
    answered = 0
    for _ in range(2000):
        fleet.clock.advance(1 / 54)
        answered += fleet.request("a1", loss=0, delay=0)
    assert answered == 2000


def test_single_token_of_the_fleet_is_reached_from_every_domain():
    fleet = Fleet(seed=1, rate=1, burst=1)
    for domain in DOMAINS * 3:
        fleet.clock.advance(4)
        assert fleet.request(domain, loss=0, delay=0)


def test_lent_part_is_unusable_until_the_borrower_can_no_longer_spend_it():
    fleet = Fleet(seed=1, rate=10, burst=6)
    fleet.clock.advance(5)
    lender = fleet.domains["b1"]
    offer = lender.lend(
        BorrowRequest(organisation="org", domain="a1", sequence=1, capacity=10, rate=0)
    )
    assert offer.capacity == 1
    assert not lender.take("org")
    fleet.clock.advance(offer.seconds)
    assert not lender.take("org")
    fleet.clock.advance(1)
    assert lender.take("org")


def test_shares_of_all_domains_make_the_whole():
    for burst in (1, 2, 5, 6, 7, 100):
        limits = OrganisationLimits(rate=12, burst=burst)
        shares = [
            share_of(organisation="o", limits=limits, domain=d, domains=DOMAINS)
            for d in DOMAINS
        ]
        assert sum(share.capacity for share in shares) == burst
        assert abs(sum(share.rate for share in shares) - 12) < 1e-9


def offer(tokens: float, capacity: float = 1, serial: str = "s") -> LoanOffer:
    return LoanOffer(
        capacity=capacity, rate=2.5, tokens=tokens, seconds=2, serial=serial
    )


def test_tokens_of_an_overtaken_answer_are_dropped():
    now = 100.0
    bucket = TokenBucket(capacity=1, rate=2.5, now=now)
    bucket.borrow(lender="b1", offer=offer(0), sent_at=now, now=now)
    bucket.borrow(lender="b1", offer=offer(1), sent_at=now - 1, now=now)
    assert bucket.level == 0
    assert bucket.capacity == 2


def test_answer_from_before_something_was_given_back_is_dropped():
    now = 100.0
    bucket = TokenBucket(capacity=1, rate=2.5, now=now)
    bucket.borrow(lender="b1", offer=offer(1, capacity=4), sent_at=now, now=now)
    assert bucket.give_back(now + 0.5, unneeded=True)[0].capacity == 4
    late = offer(1, capacity=4)
    bucket.borrow(lender="b1", offer=late, sent_at=now + 0.4, now=now + 0.6)
    assert bucket.capacity == 1


def test_part_given_back_of_an_ended_loan_is_not_counted():
    now = 100.0
    bucket = TokenBucket(capacity=4, rate=4, now=now, level=4)
    requested = LoanAmount(capacity=2, rate=2)
    first = bucket.lend(borrower="b1", requested=requested, now=now, serial="1")
    later = now + 5
    second = bucket.lend(borrower="b1", requested=requested, now=later, serial="2")
    assert (first.serial, second.serial) == ("1", "2")
    bucket.take_back(borrower="b1", serial="1", capacity=2, rate=2, tokens=2, now=later)
    assert bucket.capacity == 2


def test_lent_tokens_are_gone_from_the_lender():
    bucket = TokenBucket(capacity=3, rate=1, now=100.0)
    requested = LoanAmount(capacity=1, rate=0)
    lent = bucket.lend(borrower="b1", requested=requested, now=101.0, serial="1")
    assert lent.tokens == 1
    assert bucket.level == 0


def test_demand_that_jumps_between_domains_is_hardly_refused():
    fleet = Fleet(seed=1, rate=60, burst=60)
    fleet.clock.advance(5)
    refused = 0
    for number in range(1200):
        fleet.clock.advance(1 / 54)
        fleet.land()
        for limits in fleet.domains.values():
            fleet.tell(limits.give_back_ending(), 0, 0.05)
        home = DOMAINS[number // 54 % 6]
        refused += not fleet.request(home, loss=0, delay=0)
    assert refused <= 12
