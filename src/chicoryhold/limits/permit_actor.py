"""The actor of a control host that grants its domain's permits."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.hosts.actors import CriticalActor, PeerRequest
from chicoryhold.hosts.bus import Bus
from chicoryhold.limits.messages import (
    UNLIMITED,
    PermitGrant,
    PermitLoan,
    PermitLoanRequest,
    PermitRequest,
    PermitsUnavailable,
    PermitWant,
)
from chicoryhold.limits.permits import PermitAllocator

# Shortest time between two rounds of loan requests for the same organisation.
BORROW_INTERVAL_SECONDS = 0.15
MAX_LENDERS_PER_ROUND = 2


class PermitActor(CriticalActor):
    """Owns the allocator. ``peers`` names the control hosts of other domains.

    While ``knows_limits`` returns false, every request is answered with
    ``PermitsUnavailable``: an organisation without a known limit has no limit.

    Loans are requested before the bucket is empty, from two peers at a time, in
    rotation. If a loan is lost on the way, its permits are lost, never duplicated.
    """

    def __init__(
        self, *, allocator: PermitAllocator, bus: Bus, clock: Clock,
        peers: Callable[[], tuple[str, ...]], knows_limits: Callable[[], bool],
    ) -> None:  # fmt: skip
        super().__init__()
        self._knows_limits = knows_limits
        self._allocator = allocator
        self._bus = bus
        self._clock = clock
        self._peers = peers
        self._next_borrow_at: dict[str, float] = {}
        self._rotation = 0

    def on_receive(self, message: object) -> None:
        match message:
            case PeerRequest(message=PermitRequest()) if not self._knows_limits():
                message.reply.set_result(PermitsUnavailable())
            case PeerRequest(message=PermitRequest() as request):
                counts = tuple(self._grant(want) for want in request.wants)
                message.reply.set_result(PermitGrant(counts=counts))
                for want in request.wants:
                    self._borrow(want.name)
            case PeerRequest(message=PermitLoanRequest() as request):
                lent = self._allocator.lend(request.name, request.count)
                if lent:
                    loan = PermitLoan(name=request.name, count=lent)
                    self._bus.tell(message.sender, loan)
            case PeerRequest(message=PermitLoan() as loan):
                self._allocator.receive(loan.name, loan.count)

    def _grant(self, want: PermitWant) -> int:
        if want.unused:
            self._allocator.give_back(want.name, want.unused)
        granted = self._allocator.take(
            want.name, wanted=want.wanted, needed=want.needed
        )
        return UNLIMITED if granted is None else granted

    def _borrow(self, name: str) -> None:
        now = self._clock.now()
        if now < self._next_borrow_at.get(name, 0.0):
            return
        count = self._allocator.shortage(name)
        peers = self._peers()
        if not count or not peers:
            return
        self._next_borrow_at[name] = now + BORROW_INTERVAL_SECONDS
        lenders = min(MAX_LENDERS_PER_ROUND, len(peers))
        each = -(-count // lenders)
        for _ in range(lenders):
            self._rotation += 1
            lender = peers[self._rotation % len(peers)]
            self._bus.tell(lender, PermitLoanRequest(name=name, count=each))
        logger.bind(organisation=name, count=count).debug(
            "permits: asked other domains for a loan."
        )
