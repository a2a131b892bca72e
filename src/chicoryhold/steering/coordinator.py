"""The coordinator of a failure domain: gives out tokens and slots.

A pure class: requests and time in, effects out. Effects are run in order.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from chicoryhold.clock import Clock
from chicoryhold.hosts.messages import (
    Admit,
    Admitted,
    Announcement,
    AnnouncementReply,
    BorrowReply,
    BorrowRequest,
    Hello,
    Ledger,
    LoanGivenBack,
    NotAdmitted,
    Release,
)
from chicoryhold.limits.domain_limits import DomainLimits
from chicoryhold.steering.fair_queue import FairQueue
from chicoryhold.steering.shifts import ShiftLimiter
from chicoryhold.steering.targets import TargetRegistry

QUEUE_LIMIT = 256
TOKEN_QUEUE_LIMIT = 64
BORROW_TIMEOUT = 0.25
LONGEST_TOKEN_WAIT = 0.25
GRANT_PATIENCE_FACTOR = 1.2
GRANT_MARGIN_SECONDS = 1.0
RETRY_AFTER_FULL = 0.5
RETRY_AFTER_NO_TARGET = 1.0

RATE_EXCEEDED = "rate_exceeded"
NO_TARGET = "no_target"
OVERLOADED = "overloaded"


@attrs.frozen(kw_only=True)
class AnswerRequest:
    """Answer the request that came with ``ticket``."""

    ticket: int
    answer: Admitted | NotAdmitted


@attrs.frozen(kw_only=True)
class SendBorrowRequest:
    """Send ``request`` to the coordinators of all other domains.

    Report answers by :meth:`Coordinator.on_borrow_reply`.
    """

    number: int
    request: BorrowRequest


@attrs.frozen(kw_only=True)
class SaveLedger:
    """Store the ledger on a majority, then call :meth:`Coordinator.on_ledger_saved`."""

    ledger: Ledger


@attrs.frozen(kw_only=True)
class AnswerBorrower:
    """Answer the loan request that came with ``ticket``."""

    ticket: int
    answer: BorrowReply


@attrs.frozen(kw_only=True)
class NotifyLender:
    """Tell the coordinator of the domain ``lender`` what was given back, once."""

    lender: str
    message: LoanGivenBack


Effect = AnswerRequest | SendBorrowRequest | SaveLedger | AnswerBorrower | NotifyLender


@attrs.define(kw_only=True)
class _Waiting:
    ticket: int
    request: Admit
    since: float

    @property
    def until(self) -> float:
        return self.since + self.request.patience

    @property
    def grant_until(self) -> float:
        """When the asker has surely ended: its deadline is patience over 0.9 away.

        The slot of a host that was killed is free again by then.
        """
        patience = self.request.patience * GRANT_PATIENCE_FACTOR
        return self.since + patience + GRANT_MARGIN_SECONDS


@attrs.define(kw_only=True)
class _Grant:
    address: str
    until: float


@attrs.define(kw_only=True)
class _BorrowRound:
    organisation: str
    sent_at: float
    missing: set[str]
    gained: bool = False


@attrs.frozen(kw_only=True)
class _OpenLoan:
    ticket: int
    answer: BorrowReply
    version: int


class Coordinator:
    """Admission for one failure domain, for as long as the lease lasts."""

    def __init__(
        self, *, epoch: int, limits: DomainLimits,
        targets: TargetRegistry, shifts: ShiftLimiter,
        weight_of: Callable[[str], float], clock: Clock,
    ) -> None:  # fmt: skip
        self._epoch = epoch
        self._limits = limits
        self._targets = targets
        self._shifts = shifts
        self._weight_of = weight_of
        self._clock = clock
        self._effects: list[Effect] = []
        self._queues: dict[str, FairQueue[_Waiting]] = {}
        self._for_token: dict[str, list[_Waiting]] = {}
        self._grants: dict[str, _Grant] = {}
        self._rounds: dict[int, _BorrowRound] = {}
        self._open_loans: list[_OpenLoan] = []
        self._ledger_version = 0
        self._next_number = 0

    @property
    def targets(self) -> TargetRegistry:
        return self._targets

    @property
    def limits(self) -> DomainLimits:
        return self._limits

    def take(self) -> list[Effect]:
        """Return the effects requested since the last call, oldest first."""
        effects = self._effects
        self._effects = []
        return effects

    def ledger(self) -> Ledger:
        """Return what the next coordinator must know."""
        return Ledger(
            epoch=self._epoch,
            version=self._ledger_version,
            loans=self._limits.loans(),
        )

    # Admission

    def admit(self, ticket: int, request: Admit) -> None:
        """Answer ``ticket`` now or, within the request's patience, later."""
        waiting = _Waiting(ticket=ticket, request=request, since=self._clock.now())
        if request.shift:
            self._admit_shifted(waiting)
        elif not request.organisation or request.has_token:
            self._find_slot(waiting)
        elif self._limits.take(request.organisation):
            if self._limits.should_borrow(request.organisation):
                self._start_round(request.organisation)
            self._find_slot(waiting)
        else:
            self._wait_for_token(waiting)

    def release(self, release: Release) -> None:
        """Free a slot and give it to whoever waits for one."""
        grant = self._grants.pop(release.grant, None)
        if grant is None:
            return
        if release.latency is not None:
            self._targets.observe(grant.address, ok=release.ok, latency=release.latency)
        self._targets.release_slot(grant.address)
        self._serve_queues()

    def announce(self, announcement: Announcement) -> AnnouncementReply:
        """Add, renew or drain a target."""
        reply = self._targets.announce(announcement)
        self._serve_queues()
        return reply

    def hello(self, hello: Hello) -> None:
        """Count the slots that a host holds from an earlier coordinator."""
        self._targets.record_held_slots(hello)

    def tick(self) -> None:
        """Act on the passing of time; call it several times a second."""
        self._expire_grants()
        self._targets.expire()
        self._end_late_rounds()
        self._retry_tokens()
        self._refuse_late()
        self._serve_queues()
        self._give_back(self._limits.give_back_ending())

    # Loans

    def lend(self, ticket: int, request: BorrowRequest) -> None:
        """Lend to another domain; answered once a majority knows of the loan."""
        # Another domain is short: what isn't needed here goes back to its owners.
        self._give_back(self._limits.give_back(request.organisation))
        answer = self._limits.lend(request)
        if answer.seconds <= 0:
            self._effects.append(AnswerBorrower(ticket=ticket, answer=answer))
            return
        self._ledger_version += 1
        loan = _OpenLoan(ticket=ticket, answer=answer, version=self._ledger_version)
        self._open_loans.append(loan)
        self._effects.append(SaveLedger(ledger=self.ledger()))

    def take_back(self, message: LoanGivenBack) -> None:
        """Count what another domain gave back."""
        self._limits.take_back(message)

    def on_ledger_saved(self, version: int) -> None:
        """A majority has kept the ledger of ``version``."""
        for loan in self._open_loans:
            if loan.version <= version:
                answer = AnswerBorrower(ticket=loan.ticket, answer=loan.answer)
                self._effects.append(answer)
        self._open_loans = [loan for loan in self._open_loans if loan.version > version]

    def on_borrow_reply(
        self, number: int, lender: str, reply: BorrowReply | None
    ) -> None:
        """Use the answer of another domain; ``None`` if there is none."""
        round_ = self._rounds.get(number)
        if round_ is None or lender not in round_.missing:
            return
        round_.missing.discard(lender)
        if reply is not None and reply.seconds > 0:
            round_.gained = True
            self._limits.borrow(
                round_.organisation, lender=lender, reply=reply, sent_at=round_.sent_at
            )
            self._serve_tokens(round_.organisation)
        if not round_.missing:
            self._end_round(number)

    # Steps of admission

    def _admit_shifted(self, waiting: _Waiting) -> None:
        """Grant at once or refuse: what doesn't fit stays in its own domain."""
        request = waiting.request
        free_share = self._targets.free_share(request.service)
        if not self._shifts.admit(request.shift, free_share=free_share):
            self._refuse(waiting, OVERLOADED, RETRY_AFTER_FULL)
        elif request.organisation and not self._limits.take(request.organisation):
            self._refuse_rate(waiting)
        elif not self._try_grant(waiting):
            self._give_up(waiting, OVERLOADED, RETRY_AFTER_FULL)

    def _wait_for_token(self, waiting: _Waiting) -> None:
        organisation = waiting.request.organisation
        if self._limits.may_borrow(organisation):
            self._start_round(organisation)
        if not self._is_worth_waiting(organisation):
            self._refuse_rate(waiting)
            return
        line = self._for_token.setdefault(organisation, [])
        if len(line) >= TOKEN_QUEUE_LIMIT:
            self._refuse_rate(waiting)
        else:
            line.append(waiting)

    def _is_worth_waiting(self, organisation: str) -> bool:
        """Whether tokens may come from other domains within a short time.

        They may be on their way even between two rounds of asking. An organisation
        above its whole rate is refused at once, unless a round is open.
        """
        if not self._limits.other_domains:
            return False
        borrowing = self._is_borrowing(organisation)
        return borrowing or not self._limits.is_above_rate(organisation)

    def _serve_tokens(self, organisation: str) -> None:
        line = self._for_token.get(organisation, [])
        while line and self._limits.take_again(organisation):
            self._find_slot(line.pop(0))

    def _retry_tokens(self) -> None:
        for organisation in list(self._for_token):
            self._serve_tokens(organisation)
            if self._for_token[organisation] and self._limits.may_borrow(organisation):
                self._start_round(organisation)

    def _find_slot(self, waiting: _Waiting) -> None:
        service = waiting.request.service
        queue = self._queues.get(service)
        if not queue and self._try_grant(waiting):
            return
        if not self._targets.has_member(service, waiting.request.avoid):
            self._give_up(waiting, NO_TARGET, RETRY_AFTER_NO_TARGET)
            return
        if queue is None:
            queue = FairQueue(limit=QUEUE_LIMIT)
            self._queues[service] = queue
        organisation = waiting.request.organisation
        weight = self._weight_of(organisation)
        if not queue.push(waiting, organisation=organisation, weight=weight):
            self._give_up(waiting, OVERLOADED, RETRY_AFTER_FULL)

    def _serve_queues(self) -> None:
        for service, queue in self._queues.items():
            self._serve_queue(service, queue)

    def _serve_queue(self, service: str, queue: FairQueue[_Waiting]) -> None:
        while queue and self._targets.pick(service, ()) is not None:
            # A request that avoids the only free target must not block the others.
            if not queue.pop_first_accepted(self._try_grant):
                return

    def _try_grant(self, waiting: _Waiting) -> bool:
        request = waiting.request
        target = self._targets.pick(request.service, request.avoid)
        if target is None:
            return False
        now = self._clock.now()
        self._next_number += 1
        grant = f"{self._epoch}.{self._next_number}"
        self._grants[grant] = _Grant(address=target.address, until=waiting.grant_until)
        self._targets.acquire_slot(target)
        answer = Admitted(
            grant=grant, address=target.address, waited=now - waiting.since
        )
        self._effects.append(AnswerRequest(ticket=waiting.ticket, answer=answer))
        return True

    def _give_up(self, waiting: _Waiting, reason: str, retry_after: float) -> None:
        request = waiting.request
        if request.organisation and not request.has_token:
            self._limits.refund(request.organisation)
        self._refuse(waiting, reason, retry_after)

    def _refuse_rate(self, waiting: _Waiting) -> None:
        seconds = self._limits.retry_after(waiting.request.organisation)
        self._refuse(waiting, RATE_EXCEEDED, seconds)

    def _refuse(self, waiting: _Waiting, reason: str, retry_after: float) -> None:
        answer = NotAdmitted(reason=reason, retry_after=retry_after)
        self._effects.append(AnswerRequest(ticket=waiting.ticket, answer=answer))

    def _refuse_late(self) -> None:
        now = self._clock.now()
        for queue in self._queues.values():
            for waiting in queue.remove_where(lambda item: item.until <= now):
                self._give_up(waiting, OVERLOADED, RETRY_AFTER_FULL)
        for organisation, waiting in self._late_for_token(now):
            self._for_token[organisation].remove(waiting)
            self._refuse_rate(waiting)

    def _late_for_token(self, now: float) -> list[tuple[str, _Waiting]]:
        return [
            (organisation, waiting)
            for organisation, line in self._for_token.items()
            for waiting in line
            if min(waiting.until, waiting.since + LONGEST_TOKEN_WAIT) <= now
        ]

    def _expire_grants(self) -> None:
        now = self._clock.now()
        late = [name for name, grant in self._grants.items() if grant.until <= now]
        for name in late:
            self._targets.release_slot(self._grants.pop(name).address)

    # Steps of borrowing

    def _give_back(self, messages: list[tuple[str, LoanGivenBack]]) -> None:
        for lender, message in messages:
            self._effects.append(NotifyLender(lender=lender, message=message))

    def _is_borrowing(self, organisation: str) -> bool:
        return any(r.organisation == organisation for r in self._rounds.values())

    def _start_round(self, organisation: str) -> None:
        if self._is_borrowing(organisation):
            return
        self._next_number += 1
        number = self._next_number
        self._rounds[number] = _BorrowRound(
            organisation=organisation,
            sent_at=self._clock.now(),
            missing=set(self._limits.other_domains),
        )
        request = self._limits.create_request(organisation)
        self._effects.append(SendBorrowRequest(number=number, request=request))

    def _end_late_rounds(self) -> None:
        now = self._clock.now()
        for number, round_ in list(self._rounds.items()):
            if now - round_.sent_at > BORROW_TIMEOUT:
                self._end_round(number)

    def _end_round(self, number: int) -> None:
        round_ = self._rounds.pop(number)
        organisation = round_.organisation
        self._limits.borrow_ended(organisation, gained=round_.gained)
        self._serve_tokens(organisation)
        if not self._is_worth_waiting(organisation):
            for waiting in self._for_token.pop(organisation, []):
                self._refuse_rate(waiting)
