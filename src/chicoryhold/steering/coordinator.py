"""The coordinator of a failure domain: grants rate-limit tokens and target slots.

:class:`Coordinator` does no I/O: its methods only update its state and queue effects,
which the caller runs in order.
"""

from __future__ import annotations

from collections.abc import Callable

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
from chicoryhold.limits.target_permits import MIN_RATE
from chicoryhold.steering.effects import (
    AnswerBorrower,
    AnswerRequest,
    Effect,
    NotifyLender,
    SaveLedger,
)
from chicoryhold.steering.fair_queue import FairQueue
from chicoryhold.steering.pending import Grant, PendingRequest, UnsavedLoan
from chicoryhold.steering.shifts import ShiftLimiter
from chicoryhold.steering.targets import TargetRegistry
from chicoryhold.steering.token_queues import TokenQueues

MAX_SLOT_QUEUE_REQUESTS = 256
RETRY_AFTER_OVERLOAD_SECONDS = 0.5
RETRY_AFTER_NO_TARGET_SECONDS = 1.0
# Targets announce themselves every second, so a new coordinator knows them by then.
TARGET_DISCOVERY_SECONDS = 1.25

RATE_EXCEEDED = "rate_exceeded"
NO_TARGET = "no_target"
OVERLOADED = "overloaded"


class Coordinator:
    """Admits requests for one failure domain, for the duration of one lease."""

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
        self._slot_queues: dict[str, FairQueue[PendingRequest]] = {}
        self._token_queues = TokenQueues(
            limits=limits,
            clock=clock,
            on_token=self._grant_or_enqueue,
            refuse=self._refuse_rate_exceeded,
            request=self._request,
        )
        self._grants: dict[str, Grant] = {}
        self._unsaved_loans: list[UnsavedLoan] = []
        self._ledger_version = 0
        self._last_grant_number = 0
        self._discovers_targets = True
        self._knows_targets_from = clock.now() + TARGET_DISCOVERY_SECONDS

    @property
    def targets(self) -> TargetRegistry:
        return self._targets

    @property
    def limits(self) -> DomainLimits:
        return self._limits

    def take_effects(self) -> list[Effect]:
        """Return the effects queued since the last call, oldest first."""
        effects = self._effects
        self._effects = []
        return effects

    def ledger(self) -> Ledger:
        """Return the state that the next coordinator must restore."""
        return Ledger(
            epoch=self._epoch,
            version=self._ledger_version,
            loans=self._limits.loans(),
        )

    # Admission

    def admit(self, ticket: int, request: Admit) -> None:
        """Answer ``ticket`` at once, or later but within the request's patience."""
        pending = PendingRequest(
            ticket=ticket, request=request, arrived_at=self._clock.now()
        )
        if request.shift:
            self._admit_shifted(pending)
        elif not request.organisation or request.has_token:
            self._grant_or_enqueue(pending)
        elif self._token_queues.take(request.organisation):
            self._grant_or_enqueue(pending)
        else:
            self._token_queues.enqueue(pending)

    def release(self, release: Release) -> None:
        """Free a slot and grant it to the next waiting request, if any."""
        grant = self._grants.pop(release.grant, None)
        if grant is None:
            return
        if self._targets.is_at(grant.address, instance=grant.instance):
            self._observe(grant.address, release)
        if release.is_leaving:
            self._targets.record_leaving(grant.address, grant.instance)
        self._targets.release_slot(grant.address)
        self._serve_slot_queues()

    def _observe(self, address: str, release: Release) -> None:
        if release.latency is not None:
            self._targets.observe(address, ok=release.ok, latency=release.latency)
        if release.limit is not None or release.has_no_limit:
            self._targets.record_limit(address, release.limit)

    def announce(self, announcement: Announcement) -> AnnouncementReply:
        """Add, renew or drain a target, and serve the requests that it has room for."""
        reply = self._targets.announce(announcement)
        self._serve_slot_queues()
        return reply

    def record_held_slots(self, hello: Hello) -> None:
        """Count the slots that a host still holds from an earlier coordinator.

        Its limits of targets are taken over as well.
        """
        self._targets.record_held_slots(hello)
        self._targets.record_known_limits(hello)

    def tick(self) -> None:
        """Handle timeouts and retries; call this several times per second."""
        self._expire_grants()
        self._targets.expire()
        self._token_queues.end_timed_out_rounds()
        self._token_queues.serve()
        self._refuse_expired()
        self._token_queues.refuse_expired()
        self._end_target_discovery()
        self._serve_slot_queues()
        self._notify_lenders(self._limits.give_back_ending())

    # Loans

    def lend(self, ticket: int, request: BorrowRequest) -> None:
        """Lend to another domain; answered once a majority has stored the loan."""
        # Another domain is short of tokens, so what this domain has borrowed and
        # doesn't need goes back to its lenders.
        self._notify_lenders(self._limits.give_back(request.organisation))
        answer = self._limits.lend(request)
        if answer.seconds <= 0:
            self._request(AnswerBorrower(ticket=ticket, answer=answer))
            return
        self._ledger_version += 1
        loan = UnsavedLoan(ticket=ticket, answer=answer, version=self._ledger_version)
        self._unsaved_loans.append(loan)
        self._request(SaveLedger(ledger=self.ledger()))

    def take_back(self, message: LoanGivenBack) -> None:
        """Add to this domain's share what another domain gave back."""
        self._limits.take_back(message)

    def on_ledger_saved(self, version: int) -> None:
        """Answer the borrowers: a majority has stored the ledger up to ``version``."""
        for loan in self._unsaved_loans:
            if loan.version <= version:
                answer = AnswerBorrower(ticket=loan.ticket, answer=loan.answer)
                self._request(answer)
        self._unsaved_loans = [
            loan for loan in self._unsaved_loans if loan.version > version
        ]

    def on_borrow_reply(
        self, number: int, lender: str, reply: BorrowReply | None
    ) -> None:
        """Process the reply of another domain, ``None`` if there is no usable reply."""
        self._token_queues.on_borrow_reply(number, lender, reply)

    # Steps of admission

    def _admit_shifted(self, pending: PendingRequest) -> None:
        """Grant or refuse at once: a refused request is served in its source domain."""
        request = pending.request
        free_fraction = self._targets.free_fraction(request.service)
        if not self._shifts.admit(request.shift, free_fraction=free_fraction):
            self._refuse(pending, OVERLOADED, RETRY_AFTER_OVERLOAD_SECONDS)
        elif request.organisation and not self._limits.take(request.organisation):
            self._refuse_rate_exceeded(pending)
        elif not self._try_grant(pending):
            self._refund_and_refuse(pending, OVERLOADED, RETRY_AFTER_OVERLOAD_SECONDS)

    def _grant_or_enqueue(self, pending: PendingRequest) -> None:
        service = pending.request.service
        queue = self._slot_queues.get(service)
        if not queue and self._try_grant(pending):
            return
        if not self._may_get_target(service, pending.request.avoid):
            self._refund_and_refuse(pending, NO_TARGET, RETRY_AFTER_NO_TARGET_SECONDS)
            return
        wait = self._wait_for_rate(service, len(queue) if queue else 0)
        if wait > pending.request.patience:
            self._refund_and_refuse(pending, OVERLOADED, wait)
            return
        if queue is None:
            queue = FairQueue(limit=MAX_SLOT_QUEUE_REQUESTS)
            self._slot_queues[service] = queue
        organisation = pending.request.organisation
        weight = self._weight_of(organisation)
        if not queue.push(pending, organisation=organisation, weight=weight):
            self._refund_and_refuse(pending, OVERLOADED, RETRY_AFTER_OVERLOAD_SECONDS)

    def _wait_for_rate(self, service: str, queued: int) -> float:
        """Return the seconds until a request that is queued now may be sent.

        It is 0 unless all targets of the service take a limited rate.
        """
        rate = self._targets.limited_rate(service)
        return 0.0 if rate is None else (queued + 1) / max(rate, MIN_RATE)

    def _may_get_target(self, service: str, avoid: tuple[str, ...]) -> bool:
        """Whether the service has a target outside ``avoid``, or may turn out to."""
        if self._targets.has_member(service, avoid):
            return True
        may_be_unknown = self._clock.now() < self._knows_targets_from
        return may_be_unknown and not self._targets.has_announced(service)

    def _end_target_discovery(self) -> None:
        """Refuse what waited for the targets of services that have turned out empty."""
        if not self._discovers_targets or self._clock.now() < self._knows_targets_from:
            return
        self._discovers_targets = False
        for service, queue in self._slot_queues.items():
            if queue and not self._targets.has_announced(service):
                for pending in queue.remove_where(lambda item: True):
                    self._refund_and_refuse(
                        pending, NO_TARGET, RETRY_AFTER_NO_TARGET_SECONDS
                    )

    def _serve_slot_queues(self) -> None:
        for service, queue in self._slot_queues.items():
            self._serve_slot_queue(service, queue)

    def _serve_slot_queue(self, service: str, queue: FairQueue[PendingRequest]) -> None:
        while queue and self._targets.pick(service, ()) is not None:
            # A request that avoids the only free target must not block those behind it.
            if not queue.pop_first_accepted(self._try_grant):
                return

    def _try_grant(self, pending: PendingRequest) -> bool:
        request = pending.request
        target = self._targets.pick(request.service, request.avoid)
        if target is None:
            return False
        now = self._clock.now()
        self._last_grant_number += 1
        grant = f"{self._epoch}.{self._last_grant_number}"
        self._grants[grant] = Grant(
            address=target.address,
            instance=target.instance,
            expires_at=pending.grant_expires_at,
        )
        self._targets.acquire_slot(target)
        answer = Admitted(
            grant=grant,
            address=target.address,
            waited=now - pending.arrived_at,
            instance=target.instance,
        )
        self._request(AnswerRequest(ticket=pending.ticket, answer=answer))
        return True

    def _refund_and_refuse(
        self, pending: PendingRequest, reason: str, retry_after: float
    ) -> None:
        request = pending.request
        if request.organisation and not request.has_token:
            self._limits.refund(request.organisation)
        self._refuse(pending, reason, retry_after)

    def _refuse_rate_exceeded(self, pending: PendingRequest) -> None:
        seconds = self._limits.retry_after(pending.request.organisation)
        self._refuse(pending, RATE_EXCEEDED, seconds)

    def _refuse(self, pending: PendingRequest, reason: str, retry_after: float) -> None:
        answer = NotAdmitted(reason=reason, retry_after=retry_after)
        self._request(AnswerRequest(ticket=pending.ticket, answer=answer))

    def _refuse_expired(self) -> None:
        now = self._clock.now()
        for queue in self._slot_queues.values():
            for pending in queue.remove_where(lambda item: item.expires_at <= now):
                self._refund_and_refuse(
                    pending, OVERLOADED, RETRY_AFTER_OVERLOAD_SECONDS
                )

    def _expire_grants(self) -> None:
        now = self._clock.now()
        expired = [
            name for name, grant in self._grants.items() if grant.expires_at <= now
        ]
        for name in expired:
            self._targets.release_slot(self._grants.pop(name).address)

    # Helpers

    def _notify_lenders(self, messages: list[tuple[str, LoanGivenBack]]) -> None:
        for lender, message in messages:
            self._request(NotifyLender(lender=lender, message=message))

    def _request(self, effect: Effect) -> None:
        self._effects.append(effect)
