"""Rounds in which a coordinator asks all other domains to lend it tokens."""

from __future__ import annotations

import attrs

from chicoryhold.clock import Clock
from chicoryhold.hosts.messages import BorrowReply
from chicoryhold.limits.domain_limits import DomainLimits
from chicoryhold.steering.effects import SendBorrowRequest

BORROW_TIMEOUT_SECONDS = 0.25


@attrs.define(kw_only=True)
class _BorrowRound:
    """A request for tokens that was sent to the coordinators of all other domains.

    ``gained`` is whether any of them has lent some.
    """

    organisation: str
    sent_at: float
    unanswered: set[str]
    gained: bool = False


class BorrowRounds:
    """The open rounds, by number. An organisation has at most one.

    What other domains lend is added to ``limits``.
    """

    def __init__(self, *, limits: DomainLimits, clock: Clock) -> None:
        self._limits = limits
        self._clock = clock
        self._rounds: dict[int, _BorrowRound] = {}
        self._last_number = 0

    def has_open(self, organisation: str) -> bool:
        return any(r.organisation == organisation for r in self._rounds.values())

    def start(self, organisation: str) -> SendBorrowRequest:
        """Open a round and return the request to send."""
        self._last_number += 1
        self._rounds[self._last_number] = _BorrowRound(
            organisation=organisation,
            sent_at=self._clock.now(),
            unanswered=set(self._limits.other_domains),
        )
        request = self._limits.create_borrow_request(organisation)
        return SendBorrowRequest(number=self._last_number, request=request)

    def record_reply(
        self, number: int, lender: str, reply: BorrowReply | None
    ) -> str | None:
        """Process a reply; return the organisation, or ``None`` if it came too late."""
        round_ = self._rounds.get(number)
        if round_ is None or lender not in round_.unanswered:
            return None
        round_.unanswered.discard(lender)
        if reply is not None and reply.seconds > 0:
            round_.gained = True
            self._limits.borrow(
                round_.organisation, lender=lender, reply=reply, sent_at=round_.sent_at
            )
        return round_.organisation

    def is_complete(self, number: int) -> bool:
        """Whether every other domain has answered."""
        return not self._rounds[number].unanswered

    def timed_out(self) -> list[int]:
        now = self._clock.now()
        return [
            number
            for number, round_ in self._rounds.items()
            if now - round_.sent_at > BORROW_TIMEOUT_SECONDS
        ]

    def end(self, number: int) -> str:
        """Close a round and return its organisation."""
        round_ = self._rounds.pop(number)
        self._limits.borrow_ended(round_.organisation, gained=round_.gained)
        return round_.organisation
