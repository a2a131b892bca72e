"""One organisation's token bucket in one failure domain, with loans between domains.

An organisation's rate and burst are divided over the failure domains. A domain may
lend part of its share for a limited time. The lender gives up the part before the
borrower may use it, and takes it back only after the borrower's time has run out, so
all shares together never exceed the whole (escrow; O'Neil, "The Escrow Transactional
Method", 1986).
"""

from __future__ import annotations

import math

import attrs

LOAN_SECONDS = 2.0
RECLAIM_MARGIN_SECONDS = 0.25
DEMAND_WINDOW_SECONDS = 1.0
RESERVE_SECONDS = 0.5


@attrs.frozen(kw_only=True)
class Part:
    """A part of a share: ``capacity`` in requests, ``rate`` in requests per second."""

    capacity: float
    rate: float
    until: float


@attrs.frozen(kw_only=True)
class LoanOffer:
    """The whole loan to a borrower after this step, and the tokens that come now."""

    capacity: float
    rate: float
    tokens: float


class Budget:
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

    def rebase(self, *, now: float, capacity: float, rate: float) -> None:
        """Change the domain's own share."""
        self.advance(now)
        self._base_capacity = capacity
        self._base_rate = rate
        self._clip()

    def advance(self, now: float) -> None:
        """Let time pass: mint tokens and end loans, each at its own time."""
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
        return self.take_again(now)

    def take_again(self, now: float) -> bool:
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

    def lend(self, *, borrower: str, wanted: float, now: float) -> LoanOffer | None:
        """Extend the loan to ``borrower`` in time, and by up to ``wanted`` capacity.

        What recent demand here needs is kept. Borrowed parts are never lent on.
        """
        self.advance(now)
        more = math.floor(min(wanted, self._lendable()))
        more = max(0.0, more)
        old = self._lent.get(borrower)
        if more < 1 and old is None:
            return None
        share = more / self._base_capacity if self._base_capacity else 0.0
        part = Part(
            capacity=more + (old.capacity if old else 0.0),
            rate=self._base_rate * share + (old.rate if old else 0.0),
            until=now + LOAN_SECONDS + RECLAIM_MARGIN_SECONDS,
        )
        tokens = min(self._level, more)
        self._level -= tokens
        self._lent[borrower] = part
        self._clip()
        return LoanOffer(capacity=part.capacity, rate=part.rate, tokens=tokens)

    def restore_loan(self, borrower: str, part: Part) -> None:
        """Count a loan that an earlier coordinator gave."""
        self._lent[borrower] = part
        self._clip()

    def borrow(
        self, *, lender: str, offer: LoanOffer, until: float, now: float
    ) -> None:
        """Use what ``lender`` lent; ``until`` counts from when it was asked for.

        An answer that a later one has overtaken is dropped with its tokens: the
        later one gave the capacity already, so tokens still on their way would come
        on top of a bucket that may be full.
        """
        self.advance(now)
        known = self._borrowed.get(lender)
        if until <= now or (known is not None and until < known.until):
            return
        self._borrowed[lender] = Part(
            capacity=offer.capacity, rate=offer.rate, until=until
        )
        self._level += offer.tokens
        self._clip()

    def _lendable(self) -> float:
        lent = sum(part.capacity for part in self._lent.values())
        own_need = self.demand * RESERVE_SECONDS
        return self._base_capacity - lent - round(own_need)

    def _sum(self, field: str) -> float:
        borrowed = sum(getattr(part, field) for part in self._borrowed.values())
        return borrowed - sum(getattr(part, field) for part in self._lent.values())

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
