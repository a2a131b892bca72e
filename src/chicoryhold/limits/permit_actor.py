"""The actor of a control host that grants its domain's permits."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.hosts.actors import (
    CriticalActor,
    PeerRequest,
    dropping_bad_messages,
)
from chicoryhold.hosts.bus import Bus
from chicoryhold.limits.known_limits import KnownLimits
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
from chicoryhold.limits.target_permits import TargetPermitAllocator

# Shortest time between two rounds of loan requests for the same name.
BORROW_INTERVAL_SECONDS = 0.15
MAX_LENDERS_PER_ROUND = 2


class PermitActor(CriticalActor):
    """Owns the allocators. ``peers`` names the control hosts of other domains.

    While ``knows_limits`` returns false, every request is answered with
    ``PermitsUnavailable``. So are later requests for an organisation that isn't in this
    copy and whose limit the entry host doesn't state: it may have one.

    Loans are requested before the bucket is empty, from two peers at a time, in
    rotation. If a loan is lost on the way, its permits are lost, never duplicated.
    """

    def __init__(
        self, *, allocator: PermitAllocator, target_allocator: TargetPermitAllocator,
        bus: Bus, clock: Clock, peers: Callable[[], tuple[str, ...]],
        knows_limits: Callable[[], bool], limits: KnownLimits,
    ) -> None:  # fmt: skip
        super().__init__()
        self._knows_limits = knows_limits
        self._limits = limits
        self._allocator = allocator
        self._target_allocator = target_allocator
        self._bus = bus
        self._clock = clock
        self._peers = peers
        self._next_borrow_at: dict[tuple[str, bool], float] = {}
        self._rotation = 0

    def on_receive(self, message: object) -> None:
        if isinstance(message, PeerRequest):
            with dropping_bad_messages(message):
                self._on_request(message)

    def _on_request(self, message: PeerRequest) -> None:
        match message:
            case PeerRequest(message=PermitRequest()) if not self._knows_limits():
                message.reply.set_result(PermitsUnavailable())
            case PeerRequest(message=PermitRequest() as request):
                self._note_limits(request)
                if self._lacks_needed(request):
                    message.reply.set_result(PermitsUnavailable())
                    return
                message.reply.set_result(self._grant_all(request))
                for want in request.wants:
                    self._borrow(want.name)
                for target in request.targets:
                    self._borrow_for_target(target.instance)
            case PeerRequest(message=PermitLoanRequest() as request):
                self._lend(message.sender, request)
            case PeerRequest(message=PermitLoan() as loan):
                if loan.is_target:
                    self._target_allocator.receive(loan.name, count=loan.count)
                else:
                    self._allocator.receive(loan.name, loan.count)

    def _note_limits(self, request: PermitRequest) -> None:
        for want in request.wants:
            if want.limit is not None:
                self._limits.state(want.name, want.limit)

    def _lacks_needed(self, request: PermitRequest) -> bool:
        return any(
            want.needed and not self._limits.is_known(want.name)
            for want in request.wants
        )

    def _grant_all(self, request: PermitRequest) -> PermitGrant:
        return PermitGrant(
            counts=tuple(self._grant(want) for want in request.wants),
            targets=tuple(
                self._target_allocator.take(target.instance, rate=target.rate)
                for target in request.targets
            ),
        )

    def _grant(self, want: PermitWant) -> int:
        if not self._limits.is_known(want.name):
            return 0
        if want.unused:
            self._allocator.give_back(want.name, want.unused)
        granted = self._allocator.take(
            want.name, wanted=want.wanted, needed=want.needed
        )
        return UNLIMITED if granted is None else granted

    def _lend(self, borrower: str, request: PermitLoanRequest) -> None:
        if request.rate is None:
            lent = self._allocator.lend(request.name, request.count)
        else:
            lent = self._target_allocator.lend(
                request.name, rate=request.rate, count=request.count
            )
        if lent:
            is_target = request.rate is not None
            loan = PermitLoan(name=request.name, count=lent, is_target=is_target)
            self._bus.tell(borrower, loan)

    def _borrow(self, name: str) -> None:
        if not self._may_borrow(name, is_target=False):
            return
        count = self._allocator.shortage(name)
        if not count:
            return
        self._ask_lenders(name, count, rate=None)
        logger.bind(organisation=name, count=count).debug(
            "permits: asked other domains for a loan."
        )

    def _borrow_for_target(self, instance: str) -> None:
        if not self._may_borrow(instance, is_target=True):
            return
        count = self._target_allocator.shortage(instance)
        if count:
            rate = self._target_allocator.rate_of(instance)
            self._ask_lenders(instance, count, rate=rate)

    def _may_borrow(self, name: str, *, is_target: bool) -> bool:
        return self._clock.now() >= self._next_borrow_at.get((name, is_target), 0.0)

    def _ask_lenders(self, name: str, count: int, *, rate: float | None) -> None:
        peers = self._peers()
        if not peers:
            return
        now = self._clock.now()
        self._forget_old_rounds(now)
        self._next_borrow_at[name, rate is not None] = now + BORROW_INTERVAL_SECONDS
        lenders = min(MAX_LENDERS_PER_ROUND, len(peers))
        request = PermitLoanRequest(name=name, count=-(-count // lenders), rate=rate)
        for _ in range(lenders):
            self._rotation += 1
            self._bus.tell(peers[self._rotation % len(peers)], request)

    def _forget_old_rounds(self, now: float) -> None:
        for key, next_at in list(self._next_borrow_at.items()):
            if next_at < now:
                del self._next_borrow_at[key]
