"""One organisation's token bucket in one failure domain, with loans between domains.

An organisation's rate and burst are divided over the failure domains. A domain may
lend part of its share for a limited time. The lender gives up the part before the
borrower may use it, and takes it back only after the borrower has given it up or its
time has run out, so all shares together never exceed the whole (escrow; O'Neil, "The
Escrow Transactional Method", 1986).
"""

from __future__ import annotations

import math

import attrs

LOAN_SECONDS = 2.0
RECLAIM_MARGIN_SECONDS = 0.05
DEMAND_WINDOW_SECONDS = 0.3
DEMAND_HEADROOM = 1.2
CAPACITY_SECONDS = 0.5
KEPT_TOKEN_SECONDS = 0.1
LOW_LEVEL_SECONDS = 0.25
GIVE_BACK_BEFORE_END_SECONDS = 0.2
SMALLEST_GIVEN_BACK = 0.25


@attrs.frozen(kw_only=True)
class Part:
    """A part of a share: ``capacity`` in requests, ``rate`` in requests per second.

    ``serial`` names the loan; extending a loan keeps it.
    """

    capacity: float
    rate: float
    until: float
    serial: str


@attrs.frozen(kw_only=True)
class LoanOffer:
    """The whole loan to a borrower after this step, and the tokens that come now.

    ``seconds`` is how long it may be used from when it was asked for.
    """

    capacity: float
    rate: float
    tokens: float
    seconds: float
    serial: str


@attrs.frozen(kw_only=True)
class GivenBack:
    """What a borrower has given up of the loan ``serial`` from ``lender``."""

    lender: str
    serial: str
    capacity: float
    rate: float
    tokens: float


@attrs.frozen(kw_only=True)
class Wanted:
    """What a domain asks others for, ``capacity`` in requests, ``rate`` a second."""

    capacity: float
    rate: float


class TokenBucket:
    """A token bucket whose capacity and rate change with loans.

    Times are seconds on one clock and must not go backwards between calls.
    """

    def __init__(
        self, *, capacity: float, rate: float, now: float, level: float = 0.0
    ) -> None:
        self._base_capacity = capacity
        self._base_rate = rate
        self._level = level
        self._at = now
        self._lent: dict[str, Part] = {}
        self._borrowed: dict[str, Part] = {}
        self._given_back_at = float("-inf")
        self._demand = 0.0

    @property
    def level(self) -> float:
        return self._level

    @property
    def capacity(self) -> float:
        return self._base_capacity + self._sum("capacity")

    @property
    def rate(self) -> float:
        return self._base_rate + self._sum("rate")

    @property
    def demand(self) -> float:
        """Recent requests per second, whether granted or not."""
        return self._demand / DEMAND_WINDOW_SECONDS

    @property
    def lent(self) -> dict[str, Part]:
        """Parts lent, by borrowing domain."""
        return self._lent

    @property
    def borrowed(self) -> dict[str, Part]:
        """Parts borrowed, by lending domain."""
        return self._borrowed

    def set_base(self, *, now: float, capacity: float, rate: float) -> None:
        """Change the domain's own share."""
        self.advance(now)
        self._base_capacity = capacity
        self._base_rate = rate
        self._clip()

    def advance(self, now: float) -> None:
        """Let time pass: mint tokens and end loans, each at its own time."""
        if self._lent or self._borrowed:
            ends = {part.until for part in self._lent.values()}
            ends |= {part.until for part in self._borrowed.values()}
            for end in sorted(end for end in ends if end <= now):
                self._mint(end)
                self._end_loans(end)
        self._mint(now)

    def take(self, now: float) -> bool:
        """Spend one token if there is one."""
        self.advance(now)
        self._demand += 1
        return self.retry_take(now)

    def retry_take(self, now: float) -> bool:
        """Like :meth:`take`, for a request that was counted as demand before."""
        self.advance(now)
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def refund(self) -> None:
        """Give back the token of a request that did not run."""
        self._level += 1
        self._clip()

    def seconds_to_token(self) -> float:
        """Return how long until one token is there, or infinity."""
        if self._level >= 1:
            return 0.0
        if self.rate <= 0 or self.capacity < 1:
            return math.inf
        return (1 - self._level) / self.rate

    def wanted(self) -> Wanted:
        """Return what recent demand asks for beyond what is here."""
        rate = max(0.0, self._needed_rate() - self.rate)
        capacity = self._needed_capacity() - self.capacity
        missing_token = 1.0 if self._level < 1 else 0.0
        return Wanted(capacity=max(missing_token, capacity), rate=rate)

    def is_running_low(self) -> bool:
        """Whether recent demand would use up the level before loans could come."""
        return self._level < self.demand * LOW_LEVEL_SECONDS

    def needs_loans(self) -> bool:
        """Whether recent demand needs more than what is left of the own share."""
        own_rate = self._base_rate - self._total_lent("rate")
        own_capacity = self._base_capacity - self._total_lent("capacity")
        short_rate = self._needed_rate() > own_rate
        return short_rate or self._needed_capacity() > own_capacity

    def lend(
        self, *, borrower: str, wanted: Wanted, now: float, serial: str
    ) -> LoanOffer | None:
        """Extend the loan to ``borrower`` in time, and by what is wanted and spare.

        What recent demand here needs is kept. Borrowed parts are never lent on: they
        are given back to their owner, who may lend them.
        """
        self.advance(now)
        old = self._lent.get(borrower)
        more = Wanted(
            capacity=math.floor(min(wanted.capacity, self._spare_capacity())),
            rate=min(wanted.rate, self._spare_rate()),
        )
        if more.capacity < 1 and more.rate <= 0 and (old is None or self._is_short()):
            return None
        part = Part(
            capacity=more.capacity + (old.capacity if old else 0.0),
            rate=more.rate + (old.rate if old else 0.0),
            until=now + LOAN_SECONDS + RECLAIM_MARGIN_SECONDS,
            serial=old.serial if old else serial,
        )
        kept = math.floor(self.demand * KEPT_TOKEN_SECONDS)
        tokens = max(0.0, min(self._level - kept, more.capacity))
        self._level -= tokens
        self._lent[borrower] = part
        self._clip()
        return LoanOffer(
            capacity=part.capacity,
            rate=part.rate,
            tokens=tokens,
            seconds=LOAN_SECONDS,
            serial=part.serial,
        )

    def restore_loan(self, borrower: str, part: Part) -> None:
        """Count a loan that an earlier coordinator gave."""
        self._lent[borrower] = part
        self._clip()

    def borrow(
        self, *, lender: str, offer: LoanOffer, sent_at: float, now: float
    ) -> None:
        """Use what ``lender`` offered to a request sent at ``sent_at``.

        An answer that a later one has overtaken is dropped with its tokens: the
        later one gave the capacity already, so tokens still on their way would come
        on top of a bucket that may be full. An answer to a request from before
        something was given back may count what was given back, so it is dropped too.
        """
        self.advance(now)
        until = sent_at + min(offer.seconds, LOAN_SECONDS)
        known = self._borrowed.get(lender)
        overtaken = known is not None and until < known.until
        if until <= now or overtaken or sent_at <= self._given_back_at:
            return
        self._borrowed[lender] = Part(
            capacity=offer.capacity, rate=offer.rate, until=until, serial=offer.serial
        )
        self._level += offer.tokens
        self._clip()

    def give_back(self, now: float, *, unneeded: bool) -> list[GivenBack]:
        """Give up parts about to end, and with ``unneeded`` what demand can spare.

        The caller tells the lenders. Tokens above what is kept go along; with a part
        that ends by itself they would be lost.
        """
        self.advance(now)
        given = []
        for lender, part in list(self._borrowed.items()):
            amount = self._returnable(part, now, unneeded)
            if amount >= SMALLEST_GIVEN_BACK:
                given.append(self._give_back_part(lender, part, amount))
        if given:
            self._given_back_at = now
        return given

    def take_back(
        self, *, borrower: str, serial: str, capacity: float, rate: float,
        tokens: float, now: float,
    ) -> None:  # fmt: skip
        """Count what ``borrower`` gave back of the loan ``serial``.

        A loan that has ended or was replaced since is left alone.
        """
        self.advance(now)
        part = self._lent.get(borrower)
        if part is None or part.serial != serial:
            return
        self._lent[borrower] = attrs.evolve(
            part,
            capacity=max(0.0, part.capacity - capacity),
            rate=max(0.0, part.rate - rate),
        )
        self._level += tokens
        self._clip()

    def _needed_rate(self) -> float:
        return DEMAND_HEADROOM * self.demand

    def _needed_capacity(self) -> float:
        return round(self.demand * CAPACITY_SECONDS)

    def _is_short(self) -> bool:
        return self._needed_rate() > self.rate

    def _spare_rate(self) -> float:
        own = self._base_rate - self._total_lent("rate")
        if self.demand * DEMAND_WINDOW_SECONDS < SMALLEST_GIVEN_BACK:
            return own
        return max(0.0, min(own, self.rate - self._needed_rate()))

    def _spare_capacity(self) -> float:
        own = self._base_capacity - self._total_lent("capacity")
        return max(0.0, min(own, self.capacity - self._needed_capacity()))

    def _returnable(self, part: Part, now: float, unneeded: bool) -> float:
        """Return which part of a borrowed part, from 0 to 1, can go back."""
        if part.until - now < GIVE_BACK_BEFORE_END_SECONDS:
            return 1.0
        if not unneeded:
            return 0.0
        spare_rate = self.rate - self._needed_rate()
        spare_capacity = self.capacity - self._needed_capacity()
        by_rate = spare_rate / part.rate if part.rate > 0 else 1.0
        by_capacity = spare_capacity / part.capacity if part.capacity > 0 else 1.0
        return max(0.0, min(1.0, by_rate, by_capacity))

    def _give_back_part(self, lender: str, part: Part, amount: float) -> GivenBack:
        capacity = part.capacity
        if amount < 1:
            capacity = math.floor(part.capacity * amount)
        rate = part.rate * amount
        left = attrs.evolve(
            part, capacity=part.capacity - capacity, rate=part.rate - rate
        )
        if amount < 1:
            self._borrowed[lender] = left
        else:
            del self._borrowed[lender]
        kept = math.floor(self.demand * KEPT_TOKEN_SECONDS)
        tokens = max(0.0, min(self._level - kept, capacity))
        self._level -= tokens
        self._clip()
        return GivenBack(
            lender=lender,
            serial=part.serial,
            capacity=capacity,
            rate=rate,
            tokens=tokens,
        )

    def _total_lent(self, field: str) -> float:
        return sum(getattr(part, field) for part in self._lent.values())

    def _sum(self, field: str) -> float:
        borrowed = sum(getattr(part, field) for part in self._borrowed.values())
        return borrowed - self._total_lent(field)

    def _mint(self, now: float) -> None:
        elapsed = now - self._at
        if elapsed <= 0:
            return
        self._at = now
        self._demand *= math.exp(-elapsed / DEMAND_WINDOW_SECONDS)
        self._level += self.rate * elapsed
        self._clip()

    def _end_loans(self, now: float) -> None:
        self._lent = {k: p for k, p in self._lent.items() if p.until > now}
        self._borrowed = {k: p for k, p in self._borrowed.items() if p.until > now}
        self._clip()

    def _clip(self) -> None:
        self._level = max(0.0, min(self._level, self.capacity))
