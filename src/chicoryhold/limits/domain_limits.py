"""The token buckets of all organisations in one failure domain."""

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

FIRST_BORROW_BACKOFF_SECONDS = 0.02
MAX_BORROW_BACKOFF_SECONDS = 1.0
# Bits of a sequence number below the epoch.
SEQUENCE_BITS = 32
# A domain that holds a loan of at least this capacity gives back what its demand
# doesn't need even if no other domain asks for it.
LARGE_LOAN_REQUESTS = 8

LimitsOf = Callable[[str], OrganisationLimits]


@attrs.define(kw_only=True)
class _BorrowBackoff:
    """When the other domains may next be asked for loans to one organisation."""

    not_before: float = float("-inf")
    delay: float = FIRST_BORROW_BACKOFF_SECONDS


class DomainLimits:
    """Takes, lends and borrows tokens for every organisation, in one domain.

    ``epoch`` must be higher than that of every earlier coordinator of this domain.
    """

    def __init__(
        self, *, domain: str, domains: tuple[str, ...], limits_of: LimitsOf,
        clock: Clock, epoch: int,
    ) -> None:  # fmt: skip
        self._domain = domain
        self._domains = domains
        self._limits_of = limits_of
        self._clock = clock
        self._started_at = clock.now()
        self._buckets: dict[str, TokenBucket] = {}
        self._limits: dict[str, OrganisationLimits] = {}
        self._borrow_backoffs: dict[str, _BorrowBackoff] = {}
        # The epoch in the high bits makes every sequence number of this coordinator
        # higher than those of earlier coordinators.
        self._sequence = epoch << SEQUENCE_BITS
        self._latest_sequences: dict[tuple[str, str], int] = {}

    @property
    def other_domains(self) -> tuple[str, ...]:
        return tuple(d for d in self._domains if d != self._domain)

    def token_bucket(self, organisation: str) -> TokenBucket:
        """Return the organisation's bucket, with the limits now in force."""
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
            # No token has been spent since this object was created, so the bucket has
            # been filling since then. Its level at that time is unknown and taken as
            # zero.
            bucket = TokenBucket(
                capacity=share.capacity, rate=share.rate, now=self._started_at
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
        """Spend a token for a request that :meth:`take` has refused before."""
        return self.token_bucket(organisation).retry_take(self._clock.now())

    def refund(self, organisation: str) -> None:
        """Put back a token that was taken and not used."""
        self.token_bucket(organisation).refund()

    def retry_after(self, organisation: str) -> float:
        """Return in how many seconds a token may be available."""
        seconds = self.token_bucket(organisation).seconds_to_token()
        return min(seconds, MAX_BORROW_BACKOFF_SECONDS)

    def create_borrow_request(self, organisation: str) -> BorrowRequest:
        """Return the request for loans to send to the other domains."""
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
        """Return whether there are other domains and the back-off has elapsed."""
        backoff = self._borrow_backoffs.get(organisation)
        now = self._clock.now()
        return bool(self.other_domains) and (
            backoff is None or now >= backoff.not_before
        )

    def borrow_ended(self, organisation: str, *, gained: bool) -> None:
        """Set the back-off after a round of requests to the other domains.

        It is the shortest after a round that brought a loan (``gained``), and doubles
        with each round that brought none.
        """
        backoff = self._borrow_backoffs.setdefault(organisation, _BorrowBackoff())
        if gained:
            backoff.delay = FIRST_BORROW_BACKOFF_SECONDS
        backoff.not_before = self._clock.now() + backoff.delay
        if not gained:
            backoff.delay = min(2 * backoff.delay, MAX_BORROW_BACKOFF_SECONDS)

    def should_borrow(self, organisation: str) -> bool:
        """Return whether to borrow ahead, so that later requests don't have to wait.

        This is so if demand needs loans and either the present ones expire soon or
        tokens run low. Call it when a request arrives, never from a timer: a domain
        whose demand has just moved to another domain would borrow from that one.
        """
        bucket = self.token_bucket(organisation)
        if not bucket.needs_loans() or not self.may_borrow(organisation):
            return False
        now = self._clock.now()
        ends = [active_loan.expires_at for active_loan in bucket.borrowed.values()]
        ends_soon = bool(ends) and min(ends) - now < LOAN_SECONDS / 2
        return ends_soon or bucket.is_running_low()

    def lend(self, request: BorrowRequest) -> BorrowReply:
        """Lend to another domain, and return what it may use."""
        if not self._accept_sequence(
            request.organisation, request.domain, request.sequence
        ):
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
        """Use what ``lender`` offered in reply to a request sent at ``sent_at``."""
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
        """Give up loans, and return the messages to send, each with its lender.

        Loans about to expire are given back in any case, and with ``unneeded`` also
        what demand can spare. Set it only if another domain asks or the loan is large:
        an organisation with little traffic would otherwise borrow again for every
        request.
        """
        now = self._clock.now()
        returned = self.token_bucket(organisation).give_back(now, unneeded=unneeded)
        return [
            (
                loan.lender,
                LoanGivenBack(
                    organisation=organisation,
                    domain=self._domain,
                    sequence=self._next_sequence(),
                    serial=loan.serial,
                    capacity=loan.capacity,
                    rate=loan.rate,
                    tokens=loan.tokens,
                ),
            )
            for loan in returned
        ]

    def give_back_ending(self) -> list[tuple[str, LoanGivenBack]]:
        """Give up loans that are about to expire, and unneeded parts of large loans."""
        return [
            message
            for organisation, bucket in self._buckets.items()
            if bucket.borrowed
            for message in self.give_back(organisation, unneeded=_is_large(bucket))
        ]

    def take_back(self, given_back: LoanGivenBack) -> None:
        """Add what another domain has given back to the organisation's bucket here."""
        if not self._accept_sequence(
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
        """Whether recent demand in this domain alone exceeds the organisation's limits.

        Demand is compared with the rate or the burst, whichever is higher.
        """
        limits = self._limits_of(organisation)
        bucket = self.token_bucket(organisation)
        return bucket.demand > max(limits.rate, limits.burst)

    def loans(self) -> tuple[Loan, ...]:
        """Return every loan that this domain has given, for the ledger."""
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
        """Restore the loans that the previous coordinator gave, from its ledger."""
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

    def drop_deleted(self, organisations: Iterable[str]) -> None:
        """Drop the buckets of organisations that are not in ``organisations``."""
        for name in set(self._buckets) - set(organisations):
            del self._buckets[name]
            del self._limits[name]
            self._borrow_backoffs.pop(name, None)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _accept_sequence(self, organisation: str, domain: str, sequence: int) -> bool:
        """Record ``sequence``, and return whether it is the highest from ``domain``.

        Each organisation is counted separately. After a reconnect an old message can
        arrive late. What it requests or gives back is out of date by then, so the
        caller ignores it.
        """
        if sequence <= self._latest_sequences.get((organisation, domain), 0):
            return False
        self._latest_sequences[organisation, domain] = sequence
        return True


def _is_large(bucket: TokenBucket) -> bool:
    capacities = [active_loan.capacity for active_loan in bucket.borrowed.values()]
    return max(capacities) >= LARGE_LOAN_REQUESTS
