"""One organisation's token bucket in one failure domain, with loans between domains.

An organisation's rate and burst are divided over the failure domains. A domain may
lend part of its share for a limited time. The lender stops using the lent part before
the borrower may use it, and uses it again only after the borrower has returned it or
the loan has expired. The shares of all domains together therefore never exceed the
organisation's limits (escrow; O'Neil, "The Escrow Transactional Method", 1986).
"""

from __future__ import annotations

import math

import attrs

LOAN_SECONDS = 2.0
# The lender counts a loan as lent for this much longer than the borrower may use it.
RECLAIM_MARGIN_SECONDS = 0.05
# Time constant of the exponential decay of recent demand.
DEMAND_WINDOW_SECONDS = 0.3
# Factor between recent demand and the rate that a domain keeps or borrows for it.
DEMAND_HEADROOM = 1.2
# Capacity that a domain needs, in seconds of recent demand.
CAPACITY_DEMAND_SECONDS = 0.5
# Tokens that are not handed over with a loan, in seconds of recent demand.
RESERVE_DEMAND_SECONDS = 0.1
# Level below which the bucket runs low, in seconds of recent demand.
LOW_LEVEL_DEMAND_SECONDS = 0.25
GIVE_BACK_BEFORE_END_SECONDS = 0.2
# Smaller fractions of a loan are not given back, and fewer recent requests than this
# (the decayed count) are taken as no demand.
NEGLIGIBLE_AMOUNT = 0.25


@attrs.frozen(kw_only=True)
class ActiveLoan:
    """A loan in force, as counted by its lender or its borrower.

    ``capacity`` is in requests, ``rate`` in requests per second. ``serial`` identifies
    the loan and stays the same when the loan is extended.
    """

    capacity: float
    rate: float
    expires_at: float
    serial: str


@attrs.frozen(kw_only=True)
class LoanOffer:
    """The lender's reply to a borrower.

    ``capacity`` and ``rate`` are those of the whole loan, including earlier
    extensions; ``tokens`` are handed over with this reply only. The loan may be used
    for ``seconds``, counted from when the borrower sent its request.
    """

    capacity: float
    rate: float
    tokens: float
    seconds: float
    serial: str


@attrs.frozen(kw_only=True)
class ReturnedLoan:
    """The part of the loan ``serial`` that its borrower returns to ``lender``."""

    lender: str
    serial: str
    capacity: float
    rate: float
    tokens: float


@attrs.frozen(kw_only=True)
class LoanAmount:
    """The size of a loan: ``capacity`` in requests, ``rate`` in requests per second."""

    capacity: float
    rate: float


class TokenBucket:
    """A token bucket whose capacity and rate change with loans.

    All times are seconds on the same clock and must not go backwards between calls.
    """

    def __init__(
        self, *, capacity: float, rate: float, now: float, level: float = 0.0
    ) -> None:
        self._base_capacity = capacity
        self._base_rate = rate
        self._level = level
        self._updated_at = now
        self._lent: dict[str, ActiveLoan] = {}
        self._borrowed: dict[str, ActiveLoan] = {}
        self._given_back_at = float("-inf")
        self._recent_requests = 0.0

    @property
    def level(self) -> float:
        return self._level

    @property
    def capacity(self) -> float:
        return self._base_capacity + self._net_borrowed("capacity")

    @property
    def rate(self) -> float:
        return self._base_rate + self._net_borrowed("rate")

    @property
    def demand(self) -> float:
        """Recent requests per second, whether granted or not."""
        return self._recent_requests / DEMAND_WINDOW_SECONDS

    @property
    def lent(self) -> dict[str, ActiveLoan]:
        """Loans to other domains, by borrower."""
        return self._lent

    @property
    def borrowed(self) -> dict[str, ActiveLoan]:
        """Loans from other domains, by lender."""
        return self._borrowed

    def set_base(self, *, now: float, capacity: float, rate: float) -> None:
        """Set the domain's own share, before loans."""
        self.advance(now)
        self._base_capacity = capacity
        self._base_rate = rate
        self._clamp_level()

    def advance(self, now: float) -> None:
        """Bring the bucket up to ``now``: add tokens and end expired loans.

        Tokens are added up to the end of each loan at the rate in force until then.
        """
        if self._lent or self._borrowed:
            ends = {loan.expires_at for loan in self._lent.values()}
            ends |= {loan.expires_at for loan in self._borrowed.values()}
            for end in sorted(end for end in ends if end <= now):
                self._refill(end)
                self._end_loans(end)
        self._refill(now)

    def take(self, now: float) -> bool:
        """Spend one token if there is one, and count the request as demand."""
        self.advance(now)
        self._recent_requests += 1
        return self.retry_take(now)

    def retry_take(self, now: float) -> bool:
        """Like :meth:`take`, for a request that has already been counted as demand."""
        self.advance(now)
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def refund(self) -> None:
        """Put back the token of a request that did not run."""
        self._level += 1
        self._clamp_level()

    def seconds_to_token(self) -> float:
        """Return the seconds until a token is available; infinity if none will be."""
        if self._level >= 1:
            return 0.0
        if self.rate <= 0 or self.capacity < 1:
            return math.inf
        return (1 - self._level) / self.rate

    def shortfall(self) -> LoanAmount:
        """Return what recent demand needs beyond the present capacity and rate."""
        rate = max(0.0, self._needed_rate() - self.rate)
        capacity = self._needed_capacity() - self.capacity
        missing_token = 1.0 if self._level < 1 else 0.0
        return LoanAmount(capacity=max(missing_token, capacity), rate=rate)

    def is_running_low(self) -> bool:
        """Whether recent demand would empty the bucket before a loan could arrive."""
        return self._level < self.demand * LOW_LEVEL_DEMAND_SECONDS

    def needs_loans(self) -> bool:
        """Whether demand needs more than this domain's share minus what is lent."""
        own_rate = self._base_rate - self._total_lent("rate")
        own_capacity = self._base_capacity - self._total_lent("capacity")
        short_rate = self._needed_rate() > own_rate
        return short_rate or self._needed_capacity() > own_capacity

    def lend(
        self, *, borrower: str, requested: LoanAmount, now: float, serial: str
    ) -> LoanOffer | None:
        """Renew the loan to ``borrower`` and add what is requested and spare here.

        What recent demand in this domain needs is not lent. Borrowed capacity and rate
        are never lent on: they are given back to their lender, which may lend them.
        Returns ``None`` if nothing can be added and either there is no loan to renew
        or this domain itself is short of rate.
        """
        self.advance(now)
        current = self._lent.get(borrower)
        increase = LoanAmount(
            capacity=math.floor(min(requested.capacity, self._spare_capacity())),
            rate=min(requested.rate, self._spare_rate()),
        )
        if (
            increase.capacity < 1
            and increase.rate <= 0
            and (current is None or self._is_short_of_rate())
        ):
            return None
        loan = ActiveLoan(
            capacity=increase.capacity + (current.capacity if current else 0.0),
            rate=increase.rate + (current.rate if current else 0.0),
            expires_at=now + LOAN_SECONDS + RECLAIM_MARGIN_SECONDS,
            serial=current.serial if current else serial,
        )
        reserve = math.floor(self.demand * RESERVE_DEMAND_SECONDS)
        tokens = max(0.0, min(self._level - reserve, increase.capacity))
        self._level -= tokens
        self._lent[borrower] = loan
        self._clamp_level()
        return LoanOffer(
            capacity=loan.capacity,
            rate=loan.rate,
            tokens=tokens,
            seconds=LOAN_SECONDS,
            serial=loan.serial,
        )

    def restore_loan(self, borrower: str, loan: ActiveLoan) -> None:
        """Count a loan to another domain that an earlier coordinator made."""
        self._lent[borrower] = loan
        self._clamp_level()

    def borrow(
        self, *, lender: str, offer: LoanOffer, sent_at: float, now: float
    ) -> None:
        """Use what ``lender`` offered in reply to a request sent at ``sent_at``.

        A reply that arrives after the reply to a later request is dropped with its
        tokens: the later reply already brought the capacity, so the bucket may have
        filled up since and the late tokens would exceed the limit. A reply to a
        request that was sent before the last give-back is dropped too, since it may
        include what has been given back.
        """
        self.advance(now)
        expires_at = sent_at + min(offer.seconds, LOAN_SECONDS)
        current = self._borrowed.get(lender)
        superseded = current is not None and expires_at < current.expires_at
        if expires_at <= now or superseded or sent_at <= self._given_back_at:
            return
        self._borrowed[lender] = ActiveLoan(
            capacity=offer.capacity,
            rate=offer.rate,
            expires_at=expires_at,
            serial=offer.serial,
        )
        self._level += offer.tokens
        self._clamp_level()

    def give_back(self, now: float, *, unneeded: bool) -> list[ReturnedLoan]:
        """Give up loans about to expire and, if ``unneeded``, what demand can spare.

        The caller tells the lenders. Tokens beyond the reserve are returned as well;
        they would be lost if the loan just expired.
        """
        self.advance(now)
        returned = []
        for lender, loan in list(self._borrowed.items()):
            fraction = self._returnable_fraction(loan, now, unneeded)
            if fraction >= NEGLIGIBLE_AMOUNT:
                returned.append(self._give_back_fraction(lender, loan, fraction))
        if returned:
            self._given_back_at = now
        return returned

    def take_back(
        self, *, borrower: str, serial: str, capacity: float, rate: float,
        tokens: float, now: float,
    ) -> None:  # fmt: skip
        """Count what ``borrower`` gave back of the loan ``serial``.

        Does nothing if that loan has expired or has been replaced by another one.
        """
        self.advance(now)
        loan = self._lent.get(borrower)
        if loan is None or loan.serial != serial:
            return
        self._lent[borrower] = attrs.evolve(
            loan,
            capacity=max(0.0, loan.capacity - capacity),
            rate=max(0.0, loan.rate - rate),
        )
        self._level += tokens
        self._clamp_level()

    def _needed_rate(self) -> float:
        return DEMAND_HEADROOM * self.demand

    def _needed_capacity(self) -> float:
        return round(self.demand * CAPACITY_DEMAND_SECONDS)

    def _is_short_of_rate(self) -> bool:
        return self._needed_rate() > self.rate

    def _spare_rate(self) -> float:
        own = self._base_rate - self._total_lent("rate")
        if self.demand * DEMAND_WINDOW_SECONDS < NEGLIGIBLE_AMOUNT:
            return own
        return max(0.0, min(own, self.rate - self._needed_rate()))

    def _spare_capacity(self) -> float:
        own = self._base_capacity - self._total_lent("capacity")
        return max(0.0, min(own, self.capacity - self._needed_capacity()))

    def _returnable_fraction(
        self, loan: ActiveLoan, now: float, unneeded: bool
    ) -> float:
        """Return the fraction of a borrowed loan, from 0 to 1, that can be returned."""
        if loan.expires_at - now < GIVE_BACK_BEFORE_END_SECONDS:
            return 1.0
        if not unneeded:
            return 0.0
        spare_rate = self.rate - self._needed_rate()
        spare_capacity = self.capacity - self._needed_capacity()
        by_rate = spare_rate / loan.rate if loan.rate > 0 else 1.0
        by_capacity = spare_capacity / loan.capacity if loan.capacity > 0 else 1.0
        return max(0.0, min(1.0, by_rate, by_capacity))

    def _give_back_fraction(
        self, lender: str, loan: ActiveLoan, fraction: float
    ) -> ReturnedLoan:
        capacity = loan.capacity
        if fraction < 1:
            capacity = math.floor(loan.capacity * fraction)
        rate = loan.rate * fraction
        remaining = attrs.evolve(
            loan, capacity=loan.capacity - capacity, rate=loan.rate - rate
        )
        if fraction < 1:
            self._borrowed[lender] = remaining
        else:
            del self._borrowed[lender]
        reserve = math.floor(self.demand * RESERVE_DEMAND_SECONDS)
        tokens = max(0.0, min(self._level - reserve, capacity))
        self._level -= tokens
        self._clamp_level()
        return ReturnedLoan(
            lender=lender,
            serial=loan.serial,
            capacity=capacity,
            rate=rate,
            tokens=tokens,
        )

    def _total_lent(self, field: str) -> float:
        return sum(getattr(loan, field) for loan in self._lent.values())

    def _net_borrowed(self, field: str) -> float:
        borrowed = sum(getattr(loan, field) for loan in self._borrowed.values())
        return borrowed - self._total_lent(field)

    def _refill(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        self._updated_at = now
        self._recent_requests *= math.exp(-elapsed / DEMAND_WINDOW_SECONDS)
        self._level += self.rate * elapsed
        self._clamp_level()

    def _end_loans(self, now: float) -> None:
        self._lent = {
            name: loan for name, loan in self._lent.items() if loan.expires_at > now
        }
        self._borrowed = {
            name: loan for name, loan in self._borrowed.items() if loan.expires_at > now
        }
        self._clamp_level()

    def _clamp_level(self) -> None:
        self._level = max(0.0, min(self._level, self.capacity))
