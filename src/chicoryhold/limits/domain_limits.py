"""The budgets of all organisations in one failure domain."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import attrs

from chicoryhold.clock import Clock
from chicoryhold.hosts.messages import BorrowReply, BorrowRequest, Ledger, Loan
from chicoryhold.limits.budget import LOAN_SECONDS, Budget, LoanOffer, Part
from chicoryhold.limits.shares import share_of
from chicoryhold.state.table import OrganisationLimits

BORROW_PAUSE_FIRST = 0.05
BORROW_PAUSE_LAST = 1.0
DEMAND_HEADROOM = 1.2

LimitsOf = Callable[[str], OrganisationLimits]


@attrs.define(kw_only=True)
class _Borrowing:
    """The state of asking other domains on behalf of one organisation."""

    not_before: float = float("-inf")
    pause: float = BORROW_PAUSE_FIRST


class DomainLimits:
    """Takes tokens, lends and borrows for every organisation."""

    def __init__(
        self, *, domain: str, domains: tuple[str, ...], limits_of: LimitsOf,
        clock: Clock,
    ) -> None:  # fmt: skip
        self._domain = domain
        self._domains = domains
        self._limits_of = limits_of
        self._clock = clock
        self._started = clock.now()
        self._budgets: dict[str, Budget] = {}
        self._limits: dict[str, OrganisationLimits] = {}
        self._borrowing: dict[str, _Borrowing] = {}

    @property
    def other_domains(self) -> tuple[str, ...]:
        return tuple(d for d in self._domains if d != self._domain)

    def budget(self, organisation: str) -> Budget:
        """Return the organisation's budget here, by the table now in force."""
        limits = self._limits_of(organisation)
        budget = self._budgets.get(organisation)
        if budget is not None and self._limits[organisation] == limits:
            return budget
        share = share_of(
            organisation=organisation,
            limits=limits,
            domain=self._domain,
            domains=self._domains,
        )
        now = self._clock.now()
        if budget is None:
            # Nothing was spent here since the start, so tokens count from then; the
            # level at the start is unknown and taken as zero.
            budget = Budget(capacity=share.capacity, rate=share.rate, now=self._started)
            budget.advance(now)
            self._budgets[organisation] = budget
        else:
            budget.rebase(now=now, capacity=share.capacity, rate=share.rate)
        self._limits[organisation] = limits
        return budget

    def take(self, organisation: str) -> bool:
        """Spend one token of the organisation if there is one."""
        return self.budget(organisation).take(self._clock.now())

    def take_again(self, organisation: str) -> bool:
        """Spend a token for a request that :meth:`take` refused before."""
        return self.budget(organisation).take_again(self._clock.now())

    def refund(self, organisation: str) -> None:
        """Give back a token that was taken and not used."""
        self.budget(organisation).refund()

    def retry_after(self, organisation: str) -> float:
        """Return in how many seconds a token may be there."""
        seconds = self.budget(organisation).seconds_to_token()
        return min(seconds, BORROW_PAUSE_LAST)

    def wanted(self, organisation: str) -> float:
        """Return how much more capacity recent demand asks for, in requests."""
        budget = self.budget(organisation)
        limits = self._limits_of(organisation)
        needed_part = min(1.0, DEMAND_HEADROOM * budget.demand / limits.rate)
        target = math.ceil(limits.burst * needed_part)
        room = limits.burst - budget.capacity
        return min(room, max(1.0, target - budget.capacity))

    def may_borrow(self, organisation: str) -> bool:
        """Return whether asking the other domains now is worth it."""
        state = self._borrowing.get(organisation)
        now = self._clock.now()
        return bool(self.other_domains) and (state is None or now >= state.not_before)

    def borrow_ended(self, organisation: str, *, gained: bool) -> None:
        """Pace the next round: at once after a gain, ever later without one."""
        state = self._borrowing.setdefault(organisation, _Borrowing())
        if gained:
            state.pause = BORROW_PAUSE_FIRST
        state.not_before = self._clock.now() + state.pause
        if not gained:
            state.pause = min(2 * state.pause, BORROW_PAUSE_LAST)

    def due_renewals(self) -> tuple[str, ...]:
        """Return organisations whose borrowed parts are needed and end soon."""
        now = self._clock.now()
        return tuple(
            organisation
            for organisation, budget in self._budgets.items()
            if self._needs_renewal(organisation, budget, now)
        )

    def lend(self, request: BorrowRequest) -> BorrowReply:
        """Return what this domain lends."""
        offer = self.budget(request.organisation).lend(
            borrower=request.domain, wanted=request.wanted, now=self._clock.now()
        )
        if offer is None:
            return BorrowReply(capacity=0, rate=0, tokens=0, seconds=0)
        return BorrowReply(
            capacity=offer.capacity,
            rate=offer.rate,
            tokens=offer.tokens,
            seconds=LOAN_SECONDS,
        )

    def borrow(
        self, organisation: str, *, lender: str, reply: BorrowReply, sent_at: float
    ) -> None:
        """Use what ``lender`` answered to a request sent at ``sent_at``."""
        if reply.capacity <= 0:
            return
        offer = LoanOffer(capacity=reply.capacity, rate=reply.rate, tokens=reply.tokens)
        until = sent_at + min(reply.seconds, LOAN_SECONDS)
        budget = self.budget(organisation)
        budget.borrow(lender=lender, offer=offer, until=until, now=self._clock.now())

    def loans(self) -> tuple[Loan, ...]:
        """Return every loan out, for the ledger."""
        now = self._clock.now()
        return tuple(
            Loan(
                organisation=organisation,
                borrower=borrower,
                capacity=part.capacity,
                rate=part.rate,
                remaining=part.until - now,
            )
            for organisation, budget in self._budgets.items()
            for borrower, part in budget.lent.items()
            if part.until > now
        )

    def restore(self, ledger: Ledger) -> None:
        """Count the loans of the coordinator before."""
        now = self._clock.now()
        for loan in ledger.loans:
            part = Part(
                capacity=loan.capacity, rate=loan.rate, until=now + loan.remaining
            )
            self.budget(loan.organisation).restore_loan(loan.borrower, part)

    def forget_unused(self, organisations: Iterable[str]) -> None:
        """Drop the budgets of organisations that no longer exist."""
        for name in set(self._budgets) - set(organisations):
            del self._budgets[name]
            del self._limits[name]
            self._borrowing.pop(name, None)

    def _needs_renewal(self, organisation: str, budget: Budget, now: float) -> bool:
        budget.advance(now)
        ends = [part.until for part in budget.borrowed.values()]
        if not ends or min(ends) - now > LOAN_SECONDS / 2:
            return False
        limits = self._limits_of(organisation)
        share = share_of(
            organisation=organisation,
            limits=limits,
            domain=self._domain,
            domains=self._domains,
        )
        return budget.demand > 0.8 * share.rate and self.may_borrow(organisation)
