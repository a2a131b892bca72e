"""Requests that wait for a token, and the loans by which they may get one."""

from __future__ import annotations

from collections.abc import Callable

from chicoryhold.clock import Clock
from chicoryhold.hosts.messages import BorrowReply
from chicoryhold.limits.domain_limits import DomainLimits
from chicoryhold.steering.borrow_rounds import BorrowRounds
from chicoryhold.steering.effects import Effect
from chicoryhold.steering.pending import PendingRequest

MAX_TOKEN_QUEUE_REQUESTS = 64
MAX_TOKEN_WAIT_SECONDS = 0.25


class TokenQueues:
    """Takes tokens from ``limits`` and queues requests until there is one for them.

    Each organisation has a queue, served first in, first out. ``on_token`` is called
    with a queued request that got its token, ``refuse`` with one that gets none in
    time. ``request`` queues an effect.
    """

    def __init__(
        self, *, limits: DomainLimits, clock: Clock,
        on_token: Callable[[PendingRequest], None],
        refuse: Callable[[PendingRequest], None], request: Callable[[Effect], None],
    ) -> None:  # fmt: skip
        self._limits = limits
        self._clock = clock
        self._on_token = on_token
        self._refuse = refuse
        self._request = request
        self._queues: dict[str, list[PendingRequest]] = {}
        self._borrow_rounds = BorrowRounds(limits=limits, clock=clock)

    def take(self, organisation: str) -> bool:
        """Take a token; return whether there was one. Borrows if few are left."""
        if not self._limits.take(organisation):
            return False
        if self._limits.should_borrow(organisation):
            self._start_borrow_round(organisation)
        return True

    def enqueue(self, pending: PendingRequest) -> None:
        """Queue a request for which there was no token, or refuse it at once."""
        organisation = pending.request.organisation
        if self._limits.may_borrow(organisation):
            self._start_borrow_round(organisation)
        if not self._may_get_token_soon(organisation):
            self._refuse(pending)
            return
        queue = self._queues.setdefault(organisation, [])
        if len(queue) >= MAX_TOKEN_QUEUE_REQUESTS:
            self._refuse(pending)
        else:
            queue.append(pending)

    def serve(self) -> None:
        """Serve all queues, and borrow for those that aren't empty then."""
        for organisation in list(self._queues):
            self._serve(organisation)
            if self._queues[organisation] and self._limits.may_borrow(organisation):
                self._start_borrow_round(organisation)

    def refuse_expired(self) -> None:
        """Refuse the requests that have waited for too long."""
        for organisation, pending in self._expired(self._clock.now()):
            self._queues[organisation].remove(pending)
            self._refuse(pending)

    def on_borrow_reply(
        self, number: int, lender: str, reply: BorrowReply | None
    ) -> None:
        """Process the reply of another domain, ``None`` if there is no usable reply."""
        organisation = self._borrow_rounds.record_reply(number, lender, reply)
        if organisation is None:
            return
        if reply is not None and reply.seconds > 0:
            self._serve(organisation)
        if self._borrow_rounds.is_complete(number):
            self._end_borrow_round(number)

    def end_timed_out_rounds(self) -> None:
        """End the borrow rounds to which a domain hasn't replied in time."""
        for number in self._borrow_rounds.timed_out():
            self._end_borrow_round(number)

    def _may_get_token_soon(self, organisation: str) -> bool:
        """Whether tokens may arrive from other domains within a short time.

        That is possible even while no borrow round is open. An organisation whose
        demand here exceeds its whole rate is refused at once, unless a round is open.
        """
        if not self._limits.other_domains:
            return False
        has_open_round = self._borrow_rounds.has_open(organisation)
        return has_open_round or not self._limits.is_above_rate(organisation)

    def _serve(self, organisation: str) -> None:
        queue = self._queues.get(organisation, [])
        while queue and self._limits.retry_take(organisation):
            self._on_token(queue.pop(0))

    def _expired(self, now: float) -> list[tuple[str, PendingRequest]]:
        return [
            (organisation, pending)
            for organisation, queue in self._queues.items()
            for pending in queue
            if min(pending.expires_at, pending.arrived_at + MAX_TOKEN_WAIT_SECONDS)
            <= now
        ]

    def _start_borrow_round(self, organisation: str) -> None:
        if not self._borrow_rounds.has_open(organisation):
            self._request(self._borrow_rounds.start(organisation))

    def _end_borrow_round(self, number: int) -> None:
        organisation = self._borrow_rounds.end(number)
        self._serve(organisation)
        if not self._may_get_token_soon(organisation):
            for pending in self._queues.pop(organisation, []):
                self._refuse(pending)
