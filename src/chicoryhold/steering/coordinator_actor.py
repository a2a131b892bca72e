"""The actor that campaigns for a domain's lease and coordinates while it holds it."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from random import Random

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.hosts.actors import CriticalActor, PeerRequest, Tick, tell_reply
from chicoryhold.hosts.bus import Bus
from chicoryhold.hosts.domain_view import DomainView
from chicoryhold.hosts.messages import (
    Admit,
    Announcement,
    BorrowReply,
    BorrowRequest,
    Hello,
    LeaseReply,
    LeaseRequest,
    LoanGivenBack,
    NotCoordinator,
    Release,
)
from chicoryhold.hosts.request_rounds import RequestRounds
from chicoryhold.limits.token_bucket import LOAN_SECONDS, RECLAIM_MARGIN_SECONDS
from chicoryhold.steering.coordinator import Coordinator
from chicoryhold.steering.effects import (
    AnswerBorrower,
    AnswerRequest,
    Effect,
    NotifyLender,
    SaveLedger,
    SendBorrowRequest,
)
from chicoryhold.steering.lease import RENEW_INTERVAL_SECONDS, LeaseCandidate

CAMPAIGN_DELAY_SECONDS = 0.3
RANK_DELAY_SECONDS = 0.4

CreateCoordinator = Callable[[int], Coordinator]


@attrs.frozen(kw_only=True)
class _LeaseReplied:
    voter: str
    reply: LeaseReply
    request: LeaseRequest


@attrs.frozen(kw_only=True)
class _BorrowReplied:
    epoch: int
    number: int
    domain: str
    reply: BorrowReply | NotCoordinator


class CoordinatorActor(CriticalActor):
    """Runs on each domain replica's host; at most one of them coordinates.

    The lease is checked before every message, so an actor whose process was suspended
    until after its lease expired never replies from stale state.
    """

    def __init__(
        self, *, candidate: LeaseCandidate, view: DomainView, bus: Bus, clock: Clock,
        random: Random, create: CreateCoordinator,
        domain_hosts: dict[str, tuple[str, ...]],
    ) -> None:  # fmt: skip
        super().__init__()
        self._candidate = candidate
        self._view = view
        self._bus = bus
        self._clock = clock
        self._random = random
        self._create_coordinator = create
        self._replicas_by_domain = domain_hosts
        self._coordinator: Coordinator | None = None
        self._last_hellos: dict[str, Hello] = {}
        self._next_lease_round_at = clock.now() + random.uniform(
            0, CAMPAIGN_DELAY_SECONDS
        )
        self._serves_from = float("-inf")
        self._pending_replies: dict[int, Future] = {}
        self._next_ticket = 0
        self._lease_rounds = RequestRounds(bus=bus, clock=clock)
        self._known_coordinators: dict[str, str] = {}

    def on_receive(self, message: object) -> None:
        self._check_lease()
        match message:
            case Tick():
                self._tick()
            case _LeaseReplied():
                self._on_lease_reply(message)
            case _BorrowReplied():
                self._on_borrow_reply(message)
            case PeerRequest(message=Hello() as hello):
                self._on_hello(hello)
            case PeerRequest():
                self._on_request(message)
        self._run_effects()

    def _tick(self) -> None:
        now = self._clock.now()
        if now >= self._next_lease_round_at:
            self._renew_or_campaign(now)
        if self._coordinator:
            self._coordinator.tick()

    def _on_hello(self, hello: Hello) -> None:
        self._last_hellos[hello.host] = hello
        if self._coordinator:
            self._coordinator.record_held_slots(hello)

    def _on_request(self, received: PeerRequest) -> None:
        coordinator = self._coordinator
        if coordinator is None or not self._may_serve(received.message):
            known = "" if coordinator else self._view.coordinator
            received.reply.set_result(NotCoordinator(coordinator=known))
            return
        match received.message:
            case Admit() as request:
                coordinator.admit(self._register_reply(received), request)
            case Release() as release:
                coordinator.release(release)
            case Announcement() as announcement:
                received.reply.set_result(coordinator.announce(announcement))
            case BorrowRequest() as request:
                coordinator.lend(self._register_reply(received), request)
            case LoanGivenBack() as given_back:
                coordinator.take_back(given_back)

    def _may_serve(self, message: object) -> bool:
        """Return whether ``message`` needn't wait until earlier loans have expired.

        Announcements grant nothing, and targets are needed as soon as the wait ends.
        """
        has_waited = self._clock.now() >= self._serves_from
        return has_waited or isinstance(message, Announcement)

    def _register_reply(self, received: PeerRequest) -> int:
        self._next_ticket += 1
        self._pending_replies[self._next_ticket] = received.reply
        return self._next_ticket

    # Lease

    def _check_lease(self) -> None:
        if self._coordinator and not self._candidate.valid:
            logger.warning("coordinator: the lease expired; refusing pending requests.")
            self._coordinator = None
            self._refuse_pending_requests()

    def _refuse_pending_requests(self) -> None:
        for reply in self._pending_replies.values():
            reply.set_result(NotCoordinator(coordinator=""))
        self._pending_replies.clear()

    def _renew_or_campaign(self, now: float) -> None:
        if self._coordinator:
            self._next_lease_round_at = now + RENEW_INTERVAL_SECONDS
            self._ask_voters(self._candidate.start_round(self._coordinator.ledger()))
            return
        # Random delays and the rank keep replicas from campaigning at the same time:
        # if each won only its own vote, none could get a majority until these expire.
        rank = self._view.replicas.index(self._bus.name)
        delay = CAMPAIGN_DELAY_SECONDS * (1 + self._random.random())
        self._next_lease_round_at = now + delay + rank * RANK_DELAY_SECONDS
        if not self._view.coordinator:
            self._ask_voters(self._candidate.start_round(None))

    def _ask_voters(self, request: LeaseRequest) -> None:
        self._lease_rounds.start()
        for voter in self._view.replicas:
            self._ask_voter(voter, request)

    def _ask_voter(self, voter: str, request: LeaseRequest) -> None:
        self._lease_rounds.ask(
            voter,
            request,
            actor=self.actor_ref,
            kinds=LeaseReply,
            message=lambda reply: _LeaseReplied(
                voter=voter, reply=reply, request=request
            ),
        )

    def _on_lease_reply(self, message: _LeaseReplied) -> None:
        won = self._candidate.on_reply(message.voter, message.reply, message.request)
        if not won:
            return
        if self._coordinator is None:
            self._start_coordinating()
        else:
            self._coordinator.on_ledger_saved(self._candidate.saved_version)

    def _start_coordinating(self) -> None:
        self._coordinator = self._create_coordinator(self._candidate.epoch)
        now = self._clock.now()
        self._next_lease_round_at = now + RENEW_INTERVAL_SECONDS
        reclaim_seconds = LOAN_SECONDS + RECLAIM_MARGIN_SECONDS
        # A ledger that a majority stored is in at least one of these votes, unless a
        # voter has restarted since and lost its memory. If too few voters have been up
        # for the duration of a loan to rule that out, wait until every loan that they
        # may have known of has expired.
        trusted_votes = self._candidate.count_votes_with_uptime(reclaim_seconds)
        ledger_may_be_lost = (
            len(self._view.replicas) - self._candidate.majority + 1 > trusted_votes
        )
        self._serves_from = now + reclaim_seconds if ledger_may_be_lost else now
        self._coordinator.limits.restore(self._candidate.newest_ledger())
        for hello in self._last_hellos.values():
            self._coordinator.record_held_slots(hello)
        logger.info("coordinator: epoch {} begins.", self._candidate.epoch)

    # Effects

    def _run_effects(self) -> None:
        while self._coordinator and (effects := self._coordinator.take_effects()):
            for effect in effects:
                self._run_effect(effect)

    def _run_effect(self, effect: Effect) -> None:
        match effect:
            case AnswerRequest(ticket=ticket, answer=answer):
                self._send_reply(ticket, answer)
            case AnswerBorrower(ticket=ticket, answer=answer):
                self._send_reply(ticket, answer)
            case SaveLedger(ledger=ledger):
                self._ask_voters(self._candidate.start_round(ledger))
            case SendBorrowRequest():
                self._ask_other_domains(effect)
            case NotifyLender(lender=lender, message=message):
                self._bus.tell(self._coordinator_of(lender), message)

    def _send_reply(self, ticket: int, answer: object) -> None:
        reply = self._pending_replies.pop(ticket, None)
        if reply is not None:
            reply.set_result(answer)

    def _ask_other_domains(self, effect: SendBorrowRequest) -> None:
        for domain in self._coordinator.limits.other_domains:
            self._ask_domain(domain, effect)

    def _ask_domain(self, domain: str, effect: SendBorrowRequest) -> None:
        host = self._coordinator_of(domain)
        epoch = self._candidate.epoch
        future = self._bus.ask(host, effect.request)
        tell_reply(
            future,
            self.actor_ref,
            kinds=BorrowReply | NotCoordinator,
            message=lambda reply: _BorrowReplied(
                epoch=epoch, number=effect.number, domain=domain, reply=reply
            ),
        )

    def _coordinator_of(self, domain: str) -> str:
        """Return the last known coordinator of another domain, or its first replica."""
        return (
            self._known_coordinators.get(domain) or self._replicas_by_domain[domain][0]
        )

    def _on_borrow_reply(self, message: _BorrowReplied) -> None:
        if self._coordinator is None or message.epoch != self._candidate.epoch:
            return
        reply = message.reply
        if not isinstance(reply, BorrowReply):
            self._update_known_coordinator(message.domain, reply.coordinator)
            reply = None
        self._coordinator.on_borrow_reply(message.number, message.domain, reply)

    def _update_known_coordinator(self, domain: str, coordinator: str) -> None:
        """Store ``coordinator`` if it is a replica of ``domain``, else the next one.

        Called after a host of ``domain`` replied that it isn't the coordinator.
        """
        hosts = self._replicas_by_domain[domain]
        asked_host = self._coordinator_of(domain)
        next_host = hosts[(hosts.index(asked_host) + 1) % len(hosts)]
        known = coordinator if coordinator in hosts else next_host
        self._known_coordinators[domain] = known
