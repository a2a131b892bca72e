"""Asks the domain's coordinator for slots on behalf of caller threads."""

from __future__ import annotations

import collections
import threading
import time
from concurrent.futures import Future, TimeoutError as FutureTimeout

import attrs

from chicoryhold.clock import Clock
from chicoryhold.errors import PeerTimeout
from chicoryhold.hosts.bus import Bus
from chicoryhold.hosts.domain_view import DomainView
from chicoryhold.hosts.messages import (
    Admit,
    Admitted,
    Announcement,
    AnnouncementReply,
    HeldSlots,
    NotAdmitted,
    NotCoordinator,
    Release,
)

CHECK_INTERVAL = 0.1
RETRY_PAUSE = 0.05
GRANT_LIFETIME = 1.0
ELSEWHERE_TIMEOUT = 0.3
ANNOUNCE_TIMEOUT = 2.0
PATIENCE_PART = 0.9
NO_COORDINATOR = "no_coordinator"


@attrs.frozen(kw_only=True)
class _Held:
    epoch: int
    address: str
    coordinator: str


class AdmissionClient:
    """Finds the coordinator, also while it changes. Safe to use from many threads."""

    def __init__(
        self, *, bus: Bus, view: DomainView, clock: Clock,
        domains: dict[str, tuple[str, ...]],
    ) -> None:  # fmt: skip
        self._domains = domains
        self._elsewhere: dict[str, str] = {}
        self._bus = bus
        self._view = view
        self._clock = clock
        self._held: dict[str, _Held] = {}
        self._lock = threading.Lock()
        self._newest_epoch = 0
        self._own_hosts = frozenset(view.replicas)

    def admit(self, request: Admit, *, deadline: float) -> Admitted | NotAdmitted:
        """Return a slot, or why there is none, by ``deadline``."""
        while (now := self._clock.now()) < deadline:
            asked = self._view.coordinator
            if not asked:
                time.sleep(RETRY_PAUSE)
                continue
            patience = PATIENCE_PART * (deadline - now)
            request = attrs.evolve(request, patience=patience)
            answer = self._ask(asked, request, deadline)
            if isinstance(answer, NotAdmitted):
                return answer
            if isinstance(answer, Admitted):
                if self._is_fresh(answer, now):
                    self._hold(answer, asked)
                    return answer
                self._discard(answer, asked)
            else:
                time.sleep(RETRY_PAUSE)
        return NotAdmitted(reason=NO_COORDINATOR, retry_after=1.0)

    def admit_in_domain(self, domain: str, request: Admit) -> Admitted | None:
        """Return a slot in another ``domain`` if its coordinator grants one at once."""
        asked = self._elsewhere.get(domain) or self._domains[domain][0]
        sent_at = self._clock.now()
        answer = self._ask_once(asked, request, ELSEWHERE_TIMEOUT)
        if isinstance(answer, Admitted):
            if self._is_fresh(answer, sent_at):
                self._hold(answer, asked)
                return answer
            self._discard(answer, asked)
        elif not isinstance(answer, NotAdmitted):
            self._ask_another_next(domain, asked, answer)
        return None

    def release(self, grant: str, *, ok: bool, latency: float | None) -> None:
        """Give a slot back, with what was seen of the target."""
        with self._lock:
            held = self._held.pop(grant, None)
        if held is not None:
            message = Release(grant=grant, ok=ok, latency=latency)
            self._bus.tell(held.coordinator, message)

    def held(self) -> tuple[HeldSlots, ...]:
        """Return the slots still held from earlier coordinators, for a heartbeat."""
        with self._lock:
            held = [h for h in self._held.values() if h.coordinator in self._own_hosts]
        old = [h for h in held if h.epoch < self._newest_epoch]
        counts = collections.Counter(held.address for held in old)
        return tuple(
            HeldSlots(address=address, count=count) for address, count in counts.items()
        )

    def announce(self, announcement: Announcement) -> AnnouncementReply | None:
        """Pass an announcement on; returns ``None`` if no coordinator took it."""
        deadline = self._clock.now() + ANNOUNCE_TIMEOUT
        while self._clock.now() < deadline:
            asked = self._view.coordinator
            answer = self._ask(asked, announcement, deadline) if asked else None
            if isinstance(answer, AnnouncementReply):
                return answer
            time.sleep(RETRY_PAUSE)
        return None

    def _ask_another_next(
        self, domain: str, asked: str, answer: NotCoordinator | None
    ) -> None:
        hosts = self._domains[domain]
        following = hosts[(hosts.index(asked) + 1) % len(hosts)]
        named = answer.coordinator if answer is not None else ""
        self._elsewhere[domain] = named if named in hosts else following

    def _ask_once(self, host: str, message: object, timeout: float) -> object | None:
        try:
            return self._bus.call(host, message, timeout=timeout)
        except PeerTimeout:
            return None

    def _ask(self, coordinator: str, message: object, deadline: float) -> object | None:
        """Return the answer, or ``None`` once another coordinator is known."""
        future = self._bus.ask(coordinator, message)
        try:
            return self._wait(future, coordinator, deadline)
        finally:
            self._bus.forget(future)

    def _wait(self, future: Future, coordinator: str, deadline: float) -> object | None:
        while self._clock.now() < deadline:
            try:
                return future.result(CHECK_INTERVAL)
            except FutureTimeout:
                current = self._view.coordinator
                if current and current != coordinator:
                    return None
        return None

    def _is_fresh(self, answer: Admitted, sent_at: float) -> bool:
        """Whether the grant came soon enough to be used.

        A process that was frozen between the two must not use what it was given.
        """
        age = self._clock.now() - sent_at - answer.waited
        return age < GRANT_LIFETIME

    def _hold(self, answer: Admitted, coordinator: str) -> None:
        epoch = int(answer.grant.partition(".")[0])
        held = _Held(epoch=epoch, address=answer.address, coordinator=coordinator)
        with self._lock:
            if coordinator in self._own_hosts:
                self._newest_epoch = max(self._newest_epoch, epoch)
            self._held[answer.grant] = held

    def _discard(self, answer: Admitted, coordinator: str) -> None:
        message = Release(grant=answer.grant, ok=True, latency=None)
        self._bus.tell(coordinator, message)
