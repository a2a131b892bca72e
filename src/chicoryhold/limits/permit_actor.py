"""The actor of a control host that gives out its domain's permits."""

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
    PermitWant,
)
from chicoryhold.limits.permits import PermitOffice

BORROW_INTERVAL = 0.15  # seconds between loans asked for one name
LENDERS_AT_ONCE = 2


class PermitActor(CriticalActor):
    """Owns the office. ``peers`` names the control hosts of other domains.

    Loans are asked for before the bucket is empty, from two others in turn; an
    answer that gets lost loses permits, never creates them.
    """

    def __init__(
        self, *, office: PermitOffice, bus: Bus, clock: Clock,
        peers: Callable[[], tuple[str, ...]],
    ) -> None:  # fmt: skip
        super().__init__()
        self._office = office
        self._bus = bus
        self._clock = clock
        self._peers = peers
        self._borrow_due: dict[str, float] = {}
        self._turn = 0

    def on_receive(self, message: object) -> None:
        match message:
            case PeerRequest(message=PermitRequest() as request):
                counts = tuple(self._grant(want) for want in request.wants)
                message.reply.set_result(PermitGrant(counts=counts))
                for want in request.wants:
                    self._borrow(want.name)
            case PeerRequest(message=PermitLoanRequest() as request):
                given = self._office.lend(request.name, request.count)
                if given:
                    loan = PermitLoan(name=request.name, count=given)
                    self._bus.tell(message.sender, loan)
            case PeerRequest(message=PermitLoan() as loan):
                self._office.receive(loan.name, loan.count)

    def _grant(self, want: PermitWant) -> int:
        if want.unused:
            self._office.give_back(want.name, want.unused)
        given = self._office.take(want.name, wanted=want.wanted, needed=want.needed)
        return UNLIMITED if given is None else given

    def _borrow(self, name: str) -> None:
        now = self._clock.now()
        if now < self._borrow_due.get(name, 0.0):
            return
        count = self._office.shortage(name)
        peers = self._peers()
        if not count or not peers:
            return
        self._borrow_due[name] = now + BORROW_INTERVAL
        lenders = min(LENDERS_AT_ONCE, len(peers))
        each = -(-count // lenders)
        for _ in range(lenders):
            self._turn += 1
            lender = peers[self._turn % len(peers)]
            self._bus.tell(lender, PermitLoanRequest(name=name, count=each))
        logger.bind(organisation=name, count=count).debug("permits: loans asked for.")
