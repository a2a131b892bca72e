"""The budgets of all organisations in one failure domain."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from chicoryhold.clock import Clock
from chicoryhold.hosts.messages import (
    BorrowReply,
    BorrowRequest,
    Ledger,
    Loan,
    LoanGivenBack,
)
from chicoryhold.limits.shares import share_of
from chicoryhold.limits.token_bucket import (
    LOAN_SECONDS,
    ActiveLoan,
    LoanAmount,
    LoanOffer,
    TokenBucket,
)
from chicoryhold.state.table import OrganisationLimits

BORROW_PAUSE_FIRST = 0.02
BORROW_PAUSE_LAST = 1.0
SEQUENCE_BITS = 32
LARGE_LOAN_REQUESTS = 8

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
        clock: Clock, epoch: int,
    ) -> None:  # fmt: skip
        self._domain = domain
        self._domains = domains
        self._limits_of = limits_of
        self._clock = clock
        self._started = clock.now()
        self._buckets: dict[str, TokenBucket] = {}
        self._limits: dict[str, OrganisationLimits] = {}
        self._borrowing: dict[str, _Borrowing] = {}
        # Messages of a later coordinator count as later ones.
        self._sequence = epoch << SEQUENCE_BITS
        self._heard: dict[tuple[str, str], int] = {}

    @property
    def other_domains(self) -> tuple[str, ...]:
        return tuple(d for d in self._domains if d != self._domain)

    def token_bucket(self, organisation: str) -> TokenBucket:
        """Return the organisation's budget here, by the table now in force."""
        limits = self._limits_of(organisation)
        bucket = self._buckets.get(organisation)
        if bucket is not None and self._limits[organisation] == limits:
            return bucket
        share = share_of(
            organisation=organisation,
            limits=limits,
            domain=self._domain,
            domains=self._domains,
        )
        now = self._clock.now()
        if bucket is None:
            # Nothing was spent here since the start, so tokens count from then; the
            # level at the start is unknown and taken as zero.
            bucket = TokenBucket(
                capacity=share.capacity, rate=share.rate, now=self._started
            )
            bucket.advance(now)
            self._buckets[organisation] = bucket
        else:
            bucket.set_base(now=now, capacity=share.capacity, rate=share.rate)
        self._limits[organisation] = limits
        return bucket

    def take(self, organisation: str) -> bool:
        """Spend one token of the organisation if there is one."""
        return self.token_bucket(organisation).take(self._clock.now())

    def retry_take(self, organisation: str) -> bool:
        """Spend a token for a request that :meth:`take` refused before."""
        return self.token_bucket(organisation).retry_take(self._clock.now())

    def refund(self, organisation: str) -> None:
        """Give back a token that was taken and not used."""
        self.token_bucket(organisation).refund()

    def retry_after(self, organisation: str) -> float:
        """Return in how many seconds a token may be there."""
        seconds = self.token_bucket(organisation).seconds_to_token()
        return min(seconds, BORROW_PAUSE_LAST)

    def create_request(self, organisation: str) -> BorrowRequest:
        """Return what to ask the other domains for."""
        bucket = self.token_bucket(organisation)
        shortfall = bucket.shortfall()
        limits = self._limits_of(organisation)
        return BorrowRequest(
            organisation=organisation,
            domain=self._domain,
            sequence=self._next_sequence(),
            capacity=max(0.0, min(shortfall.capacity, limits.burst - bucket.capacity)),
            rate=max(0.0, min(shortfall.rate, limits.rate - bucket.rate)),
        )

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

    def should_borrow(self, organisation: str) -> bool:
        """Return whether to ask now, at a request, before a later one has to wait.

        That is when loans are needed and end soon, or tokens run low. Never ask by
        time alone: a domain that demand has just left would take loans from the one
        that it has gone to.
        """
        bucket = self.token_bucket(organisation)
        if not bucket.needs_loans() or not self.may_borrow(organisation):
            return False
        now = self._clock.now()
        ends = [active_loan.expires_at for active_loan in bucket.borrowed.values()]
        ends_soon = bool(ends) and min(ends) - now < LOAN_SECONDS / 2
        return ends_soon or bucket.is_running_low()

    def lend(self, request: BorrowRequest) -> BorrowReply:
        """Return what this domain lends."""
        if not self._is_next(request.organisation, request.domain, request.sequence):
            return BorrowReply()
        offer = self.token_bucket(request.organisation).lend(
            borrower=request.domain,
            requested=LoanAmount(capacity=request.capacity, rate=request.rate),
            now=self._clock.now(),
            serial=str(self._next_sequence()),
        )
        if offer is None:
            return BorrowReply()
        return BorrowReply(**attrs.asdict(offer))

    def borrow(
        self, organisation: str, *, lender: str, reply: BorrowReply, sent_at: float
    ) -> None:
        """Use what ``lender`` answered to a request sent at ``sent_at``."""
        if reply.seconds <= 0:
            return
        offer = LoanOffer(
            capacity=reply.capacity,
            rate=reply.rate,
            tokens=reply.tokens,
            seconds=reply.seconds,
            serial=reply.serial,
        )
        bucket = self.token_bucket(organisation)
        bucket.borrow(
            lender=lender, offer=offer, sent_at=sent_at, now=self._clock.now()
        )

    def give_back(
        self, organisation: str, *, unneeded: bool = True
    ) -> list[tuple[str, LoanGivenBack]]:
        """Give up loans; returns the messages to tell, by lender.

        Without a domain that asks, only loans about to end are given back: a small
        organisation would otherwise borrow anew for every request.
        """
        now = self._clock.now()
        given = self.token_bucket(organisation).give_back(now, unneeded=unneeded)
        return [
            (
                active_loan.lender,
                LoanGivenBack(
                    organisation=organisation,
                    domain=self._domain,
                    sequence=self._next_sequence(),
                    serial=active_loan.serial,
                    capacity=active_loan.capacity,
                    rate=active_loan.rate,
                    tokens=active_loan.tokens,
                ),
            )
            for active_loan in given
        ]

    def give_back_ending(self) -> list[tuple[str, LoanGivenBack]]:
        """Give up loans that are about to end, and large ones that are unneeded."""
        return [
            message
            for organisation, bucket in self._buckets.items()
            if bucket.borrowed
            for message in self.give_back(organisation, unneeded=_is_large(bucket))
        ]

    def take_back(self, given_back: LoanGivenBack) -> None:
        """Count what another domain gave back."""
        if not self._is_next(
            given_back.organisation, given_back.domain, given_back.sequence
        ):
            return
        self.token_bucket(given_back.organisation).take_back(
            borrower=given_back.domain,
            serial=given_back.serial,
            capacity=given_back.capacity,
            rate=given_back.rate,
            tokens=given_back.tokens,
            now=self._clock.now(),
        )

    def is_above_rate(self, organisation: str) -> bool:
        """Whether recent demand here alone is above the organisation's whole rate."""
        limits = self._limits_of(organisation)
        bucket = self.token_bucket(organisation)
        return bucket.demand > max(limits.rate, limits.burst)

    def loans(self) -> tuple[Loan, ...]:
        """Return every loan out, for the ledger."""
        now = self._clock.now()
        return tuple(
            Loan(
                organisation=organisation,
                borrower=borrower,
                serial=active_loan.serial,
                capacity=active_loan.capacity,
                rate=active_loan.rate,
                remaining=active_loan.expires_at - now,
            )
            for organisation, bucket in self._buckets.items()
            for borrower, active_loan in bucket.lent.items()
            if active_loan.expires_at > now
        )

    def restore(self, ledger: Ledger) -> None:
        """Count the loans of the coordinator before."""
        now = self._clock.now()
        for loan in ledger.loans:
            active_loan = ActiveLoan(
                capacity=loan.capacity,
                rate=loan.rate,
                expires_at=now + loan.remaining,
                serial=loan.serial,
            )
            self.token_bucket(loan.organisation).restore_loan(
                loan.borrower, active_loan
            )

    def forget_unused(self, organisations: Iterable[str]) -> None:
        """Drop the budgets of organisations that no longer exist."""
        for name in set(self._buckets) - set(organisations):
            del self._buckets[name]
            del self._limits[name]
            self._borrowing.pop(name, None)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _is_next(self, organisation: str, domain: str, sequence: int) -> bool:
        """Whether a message about loans is newer than those heard before.

        After a reconnect an old one can arrive late; what it gives back or asks for
        has been overtaken by then.
        """
        if sequence <= self._heard.get((organisation, domain), 0):
            return False
        self._heard[organisation, domain] = sequence
        return True


def _is_large(bucket: TokenBucket) -> bool:
    capacities = [active_loan.capacity for active_loan in bucket.borrowed.values()]
    return max(capacities) >= LARGE_LOAN_REQUESTS
