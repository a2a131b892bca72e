"""Ways to keep an organisation's rate over six domains."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from bench.decisions.deployment import (
    ADMISSION_TIMEOUT_SECONDS,
    DOMAINS,
    INTRA_REGION_DELAY_SECONDS,
    create_coordinator,
    one_way_delay,
)
from bench.simulation import Simulator
from chicoryhold.hosts.messages import Admit, Admitted, Announcement, Release
from chicoryhold.limits.token_bucket import TokenBucket
from chicoryhold.state.table import OrganisationLimits
from chicoryhold.steering.coordinator import Coordinator
from chicoryhold.steering.effects import (
    AnswerBorrower,
    AnswerRequest,
    NotifyLender,
    SaveLedger,
    SendBorrowRequest,
)


class RateLimiter(Protocol):
    """Takes one token in a domain; calls ``on_done(granted)`` at once or later."""

    def take(self, domain: str, on_done: Callable[[bool], None]) -> None: ...


class EqualDivision:
    """Each of the six domains has a fixed sixth of the rate and of the burst.

    Domains don't lend tokens to each other.
    """

    def __init__(self, *, limits: OrganisationLimits, simulator: Simulator) -> None:
        domain_count = len(DOMAINS)
        self._simulator = simulator
        self._buckets = {
            domain: TokenBucket(
                capacity=limits.burst / domain_count,
                rate=limits.rate / domain_count,
                now=simulator.now(),
                level=limits.burst / domain_count,
            )
            for domain in DOMAINS
        }

    def take(self, domain: str, on_done: Callable[[bool], None]) -> None:
        on_done(self._buckets[domain].take(self._simulator.now()))


class OneCounter:
    """One token bucket in the first domain; each request makes a round trip to it."""

    def __init__(self, *, limits: OrganisationLimits, simulator: Simulator) -> None:
        self._simulator = simulator
        self._bucket = TokenBucket(
            capacity=limits.burst, rate=limits.rate, now=0.0, level=limits.burst
        )

    def take(self, domain: str, on_done: Callable[[bool], None]) -> None:
        delay = one_way_delay(domain, DOMAINS[0])

        def take_token() -> None:
            granted = self._bucket.take(self._simulator.now())
            self._simulator.call_later(delay, lambda: on_done(granted))

        self._simulator.call_later(delay, take_token)


class Escrow:
    """Each domain has a share of the limits; coordinators lend tokens to each other.

    The only target has so many slots that no request waits for one. ``messages`` counts
    the messages between the coordinators.
    """

    def __init__(self, *, limits: OrganisationLimits, simulator: Simulator) -> None:
        self._simulator = simulator
        self.messages = 0
        self._coordinators = {
            domain: create_coordinator(simulator, limits=limits, domain=domain)
            for domain in DOMAINS
        }
        self._callbacks: dict[int, Callable[[bool], None]] = {}
        self._last_ticket = 0
        for coordinator in self._coordinators.values():
            coordinator.limits.token_bucket("o")
        self._tick(1)

    def _tick(self, sequence: int) -> None:
        for domain, coordinator in self._coordinators.items():
            announcement = Announcement(
                service="menus",
                address="t",
                instance="t",
                sequence=sequence,
                slots=1_000_000,
                connections=900,
            )
            coordinator.announce(announcement)
            coordinator.tick()
            self._run_effects(domain)
        self._simulator.call_later(0.02, lambda: self._tick(sequence + 1))

    def take(self, domain: str, on_done: Callable[[bool], None]) -> None:
        self._last_ticket += 1
        self._callbacks[self._last_ticket] = on_done
        request = Admit(
            organisation="o", service="menus", patience=ADMISSION_TIMEOUT_SECONDS
        )
        self._coordinators[domain].admit(self._last_ticket, request)
        self._run_effects(domain)

    def _run_effects(self, domain: str) -> None:
        """Run the effects that the coordinator of ``domain`` has queued."""
        for effect in self._coordinators[domain].take_effects():
            match effect:
                case AnswerRequest(ticket=ticket, answer=answer):
                    self._complete(domain, ticket, answer)
                case SendBorrowRequest():
                    self._send_borrow_requests(domain, effect)
                case NotifyLender(lender=lender, message=message):
                    self._send(domain, lender, lambda c, m=message: c.take_back(m))
                case SaveLedger(ledger=ledger):
                    version = ledger.version
                    self._simulator.call_later(
                        2 * INTRA_REGION_DELAY_SECONDS,
                        lambda d=domain, v=version: self._on_ledger_saved(d, v),
                    )
                case AnswerBorrower(ticket=ticket, answer=answer):
                    self._callbacks.pop(ticket)(answer)

    def _complete(self, domain: str, ticket: int, answer) -> None:
        on_done = self._callbacks.pop(ticket)
        granted = isinstance(answer, Admitted)
        if granted:
            release = Release(grant=answer.grant, ok=True, latency=None)
            self._coordinators[domain].release(release)
        on_done(granted)

    def _on_ledger_saved(self, domain: str, version: int) -> None:
        self._coordinators[domain].on_ledger_saved(version)
        self._run_effects(domain)

    def _send(self, source: str, destination: str, action) -> None:
        self.messages += 1

        def deliver() -> None:
            action(self._coordinators[destination])
            self._run_effects(destination)

        self._simulator.call_later(one_way_delay(source, destination), deliver)

    def _send_borrow_requests(self, domain: str, effect: SendBorrowRequest) -> None:
        for lender in DOMAINS:
            if lender != domain:
                self._send_borrow_request(domain, lender, effect)

    def _send_borrow_request(
        self, domain: str, lender: str, effect: SendBorrowRequest
    ) -> None:
        def reply_to_borrower(reply) -> None:
            self._send(
                lender,
                domain,
                lambda c: c.on_borrow_reply(effect.number, lender, reply),
            )

        def lend_to_borrower(coordinator: Coordinator) -> None:
            self._last_ticket += 1
            self._callbacks[self._last_ticket] = reply_to_borrower
            coordinator.lend(self._last_ticket, effect.request)

        self._send(domain, lender, lend_to_borrower)
