"""Rates and bursts over all failure domains, checked in every window of time."""

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
    """The limits of one coordinator in each domain; messages may be lost or delayed."""

    def __init__(self, *, seed: int, rate: float, burst: int) -> None:
        self.random = Random(seed)
        self.epoch = 0
        self.clock = FakeClock()
        self.limits = OrganisationLimits(rate=rate, burst=burst)
        self.domains = {name: self.create(name) for name in DOMAINS}
        self.spent: list[float] = []
        self.request_count = 0
        self.loan_returns: list = []
        self.in_flight: list[tuple[float, str, str, BorrowReply, float]] = []

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
        self.request_count += 1
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
        request = limits.create_borrow_request("org")
        sent_at = self.clock.now()
        for lender in limits.other_domains:
            if self.random.random() < loss:
                continue
            self.send(self.domains[lender].give_back("org"), loss, delay)
            reply = self.domains[lender].lend(request)
            if self.random.random() >= loss:
                arrival = sent_at + self.random.random() * delay
                self.in_flight.append((arrival, domain, lender, reply, sent_at))
        self.deliver_due()
        limits.borrow_ended("org", gained=True)

    def send(self, messages, loss: float, delay: float) -> None:
        for lender, message in messages:
            if self.random.random() >= loss:
                arrival = self.clock.now() + self.random.random() * delay
                self.loan_returns.append((arrival, lender, message))

    def deliver_due(self) -> None:
        """Deliver the replies and the returned loans that are due."""
        now = self.clock.now()
        arrived = [entry for entry in self.loan_returns if entry[0] <= now]
        self.loan_returns = [entry for entry in self.loan_returns if entry[0] > now]
        for _, lender, message in arrived:
            self.domains[lender].take_back(message)
        due = [entry for entry in self.in_flight if entry[0] <= now]
        self.in_flight = [entry for entry in self.in_flight if entry[0] > now]
        for _, domain, lender, reply, sent_at in due:
            self.domains[domain].borrow(
                "org", lender=lender, reply=reply, sent_at=sent_at
            )

    def fail_over(self, domain: str) -> None:
        """Start a new coordinator from the ledger of the previous one."""
        ledger_loans = self.domains[domain].loans()
        self.domains[domain] = self.create(domain)
        self.domains[domain].restore(Ledger(loans=ledger_loans))

    def worst_excess(self) -> float:
        """Return the most requests that any window had above burst + rate x window."""
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
    busy = fleet.random.choice(DOMAINS)
    for _ in range(300):
        fleet.clock.advance(fleet.random.expovariate(8 * rate))
        fleet.deliver_due()
        if fleet.random.random() < 0.02:
            busy = fleet.random.choice(DOMAINS)
        if fleet.random.random() < 0.01:
            fleet.fail_over(fleet.random.choice(DOMAINS))
        if fleet.random.random() < 0.02:
            fleet.clock.advance(fleet.random.random() * 5)
        fleet.request(busy, loss=loss, delay=delay)
        idle = fleet.random.choice(DOMAINS)
        fleet.send(fleet.domains[idle].give_back_ending(), loss, delay)
    assert fleet.worst_excess() <= 1e-6


def test_one_domain_can_use_ninety_percent_of_the_rate():
    fleet = Fleet(seed=1, rate=60, burst=60)
    fleet.clock.advance(5)
    answered = 0
    for _ in range(2000):
        fleet.clock.advance(1 / 54)
        answered += fleet.request("a1", loss=0, delay=0)
    assert answered == 2000


def test_every_domain_can_borrow_the_only_token():
    fleet = Fleet(seed=1, rate=1, burst=1)
    for domain in DOMAINS * 3:
        fleet.clock.advance(4)
        assert fleet.request(domain, loss=0, delay=0)


def test_lender_cannot_use_a_lent_token_until_the_loan_has_expired():
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


def test_shares_of_all_domains_add_up_to_the_limits():
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


def test_tokens_of_a_reply_older_than_the_latest_are_dropped():
    now = 100.0
    bucket = TokenBucket(capacity=1, rate=2.5, now=now)
    bucket.borrow(lender="b1", offer=offer(0), sent_at=now, now=now)
    bucket.borrow(lender="b1", offer=offer(1), sent_at=now - 1, now=now)
    assert bucket.level == 0
    assert bucket.capacity == 2


def test_reply_to_a_request_sent_before_a_give_back_is_dropped():
    now = 100.0
    bucket = TokenBucket(capacity=1, rate=2.5, now=now)
    bucket.borrow(lender="b1", offer=offer(1, capacity=4), sent_at=now, now=now)
    assert bucket.give_back(now + 0.5, unneeded=True)[0].capacity == 4
    late = offer(1, capacity=4)
    bucket.borrow(lender="b1", offer=late, sent_at=now + 0.4, now=now + 0.6)
    assert bucket.capacity == 1


def test_give_back_of_an_expired_loan_is_ignored():
    now = 100.0
    bucket = TokenBucket(capacity=4, rate=4, now=now, level=4)
    requested = LoanAmount(capacity=2, rate=2)
    first = bucket.lend(borrower="b1", requested=requested, now=now, serial="1")
    later = now + 5
    second = bucket.lend(borrower="b1", requested=requested, now=later, serial="2")
    assert (first.serial, second.serial) == ("1", "2")
    bucket.take_back(borrower="b1", serial="1", capacity=2, rate=2, tokens=2, now=later)
    assert bucket.capacity == 2


def test_lent_tokens_are_removed_from_the_lender():
    bucket = TokenBucket(capacity=3, rate=1, now=100.0)
    requested = LoanAmount(capacity=1, rate=0)
    lent = bucket.lend(borrower="b1", requested=requested, now=101.0, serial="1")
    assert lent.tokens == 1
    assert bucket.level == 0


def test_at_most_one_percent_is_refused_when_demand_moves_between_domains():
    fleet = Fleet(seed=1, rate=60, burst=60)
    fleet.clock.advance(5)
    refused = 0
    for number in range(1200):
        fleet.clock.advance(1 / 54)
        fleet.deliver_due()
        for limits in fleet.domains.values():
            fleet.send(limits.give_back_ending(), 0, 0.05)
        busy = DOMAINS[number // 54 % 6]
        refused += not fleet.request(busy, loss=0, delay=0)
    assert refused <= 12
