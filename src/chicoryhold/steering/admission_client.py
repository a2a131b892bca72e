"""Requests slots from a domain's coordinator on behalf of request threads."""

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
    KnownLimit,
    NotAdmitted,
    NotCoordinator,
    Release,
)
from chicoryhold.routing.stated_limits import RateStatement

COORDINATOR_CHECK_INTERVAL_SECONDS = 0.1
RETRY_DELAY_SECONDS = 0.05
GRANT_LIFETIME_SECONDS = 1.0
OTHER_DOMAIN_TIMEOUT_SECONDS = 0.3
ANNOUNCE_TIMEOUT_SECONDS = 2.0
# The part of the remaining time for which the coordinator may queue a request. Its
# GRANT_PATIENCE_FACTOR is above the inverse, so that a grant outlasts the deadline.
PATIENCE_FRACTION = 0.9
MAX_KNOWN_LIMITS = 256  # the oldest are forgotten
NO_COORDINATOR = "no_coordinator"


@attrs.frozen(kw_only=True)
class _HeldGrant:
    """A slot in use.

    ``grant`` is its name at ``coordinator``; others may give theirs the same name.
    """

    grant: str
    epoch: int
    address: str
    coordinator: str


class AdmissionClient:
    """Sends requests to the current coordinator, and to the next one once it changes.

    Thread-safe.
    """

    def __init__(
        self, *, bus: Bus, view: DomainView, clock: Clock,
        domains: dict[str, tuple[str, ...]],
    ) -> None:  # fmt: skip
        self._replicas_by_domain = domains
        self._known_coordinators: dict[str, str] = {}
        self._bus = bus
        self._view = view
        self._clock = clock
        self._held_grants: dict[str, _HeldGrant] = {}
        self._last_grant_number = 0
        self._limits: dict[str, float] = {}
        self._lock = threading.Lock()
        self._newest_epoch = 0
        self._own_replicas = frozenset(view.replicas)

    def admit(self, request: Admit, *, deadline: float) -> Admitted | NotAdmitted:
        """Return a slot, or the reason why there is none, before ``deadline``.

        Its ``grant`` is the name for ``release`` of this client.
        """
        while (now := self._clock.now()) < deadline:
            asked_host = self._view.coordinator
            if not asked_host:
                time.sleep(RETRY_DELAY_SECONDS)
                continue
            patience = PATIENCE_FRACTION * (deadline - now)
            request = attrs.evolve(request, patience=patience)
            reply = self._ask(asked_host, request, deadline)
            if isinstance(reply, NotAdmitted):
                return reply
            if isinstance(reply, Admitted):
                if self._is_fresh(reply, now):
                    return self._record_grant(reply, asked_host)
                self._discard(reply, asked_host)
            else:
                time.sleep(RETRY_DELAY_SECONDS)
        return NotAdmitted(reason=NO_COORDINATOR, retry_after=1.0)

    def admit_in_domain(self, domain: str, request: Admit) -> Admitted | None:
        """Return a slot in another ``domain`` if its coordinator grants one at once.

        The coordinator is asked only once, with a short timeout.
        """
        asked_host = (
            self._known_coordinators.get(domain) or self._replicas_by_domain[domain][0]
        )
        sent_at = self._clock.now()
        reply = self._ask_once(asked_host, request, OTHER_DOMAIN_TIMEOUT_SECONDS)
        if isinstance(reply, Admitted):
            if self._is_fresh(reply, sent_at):
                return self._record_grant(reply, asked_host)
            self._discard(reply, asked_host)
        elif not isinstance(reply, NotAdmitted):
            self._choose_next_host(domain, asked_host, reply)
        return None

    def release(
        self, grant: str, *, ok: bool, latency: float | None,
        limit: RateStatement | None = None, is_leaving: bool = False,
    ) -> None:  # fmt: skip
        """Release a slot, and report the outcome of the request to the coordinator.

        ``latency`` is in seconds, or ``None`` if the request wasn't sent to the target.
        ``limit`` is what the target's answer says of its limit, if there was one.
        ``is_leaving`` means that the target has said that it leaves.
        """
        stated = limit if limit is not None and limit.is_readable else None
        with self._lock:
            held = self._held_grants.pop(grant, None)
            if held is not None and stated is not None:
                self._note_limit(held.address, stated)
        if held is not None:
            message = Release(
                grant=held.grant,
                ok=ok,
                latency=latency,
                limit=stated.rate if stated else None,
                has_no_limit=stated is not None and stated.rate is None,
                is_leaving=is_leaving,
            )
            self._bus.tell(held.coordinator, message)

    def limits(self) -> tuple[KnownLimit, ...]:
        """Return the limits that targets have named to this host."""
        with self._lock:
            return tuple(
                KnownLimit(address=address, rate=rate)
                for address, rate in self._limits.items()
            )

    def _note_limit(self, address: str, stated: RateStatement) -> None:
        self._limits.pop(address, None)
        if stated.rate is not None:
            self._limits[address] = stated.rate
        if len(self._limits) > MAX_KNOWN_LIMITS:
            del self._limits[next(iter(self._limits))]

    def held(self) -> tuple[HeldSlots, ...]:
        """Return this domain's slots in use that earlier coordinators granted.

        The host's heartbeat reports them to the current coordinator.
        """
        with self._lock:
            held = [
                h
                for h in self._held_grants.values()
                if h.coordinator in self._own_replicas
            ]
        from_earlier_epochs = [h for h in held if h.epoch < self._newest_epoch]
        counts = collections.Counter(held.address for held in from_earlier_epochs)
        return tuple(
            HeldSlots(address=address, count=count) for address, count in counts.items()
        )

    def announce(self, announcement: Announcement) -> AnnouncementReply | None:
        """Forward an announcement; ``None`` if no coordinator replies in time."""
        deadline = self._clock.now() + ANNOUNCE_TIMEOUT_SECONDS
        while self._clock.now() < deadline:
            asked_host = self._view.coordinator
            reply = (
                self._ask(asked_host, announcement, deadline) if asked_host else None
            )
            if isinstance(reply, AnnouncementReply):
                return reply
            time.sleep(RETRY_DELAY_SECONDS)
        return None

    def _choose_next_host(
        self, domain: str, asked_host: str, reply: NotCoordinator | None
    ) -> None:
        """Choose whom to ask next in ``domain`` after ``asked_host`` gave no decision.

        That is the coordinator that the reply names, else the next replica.
        """
        hosts = self._replicas_by_domain[domain]
        next_host = hosts[(hosts.index(asked_host) + 1) % len(hosts)]
        named_host = reply.coordinator if reply is not None else ""
        self._known_coordinators[domain] = (
            named_host if named_host in hosts else next_host
        )

    def _ask_once(self, host: str, message: object, timeout: float) -> object | None:
        try:
            return self._bus.call(host, message, timeout=timeout)
        except PeerTimeout:
            return None

    def _ask(self, coordinator: str, message: object, deadline: float) -> object | None:
        """Return the reply.

        Returns ``None`` after ``deadline``, or once another coordinator is known.
        """
        future = self._bus.ask(coordinator, message)
        try:
            return self._wait(future, coordinator, deadline)
        finally:
            self._bus.forget(future)

    def _wait(self, future: Future, coordinator: str, deadline: float) -> object | None:
        while self._clock.now() < deadline:
            try:
                return future.result(COORDINATOR_CHECK_INTERVAL_SECONDS)
            except FutureTimeout:
                current = self._view.coordinator
                if current and current != coordinator:
                    return None
        return None

    def _is_fresh(self, reply: Admitted, sent_at: float) -> bool:
        """Whether the grant arrived soon enough to be used.

        A process that was suspended between the request and the reply must not use the
        grant, because the coordinator may have freed the slot since.
        """
        age = self._clock.now() - sent_at - reply.waited
        return age < GRANT_LIFETIME_SECONDS

    def _record_grant(self, reply: Admitted, coordinator: str) -> Admitted:
        """Return the slot under a name that no other slot has at this host."""
        epoch = int(reply.grant.partition(".")[0])
        held = _HeldGrant(
            grant=reply.grant,
            epoch=epoch,
            address=reply.address,
            coordinator=coordinator,
        )
        with self._lock:
            if coordinator in self._own_replicas:
                self._newest_epoch = max(self._newest_epoch, epoch)
            self._last_grant_number += 1
            name = str(self._last_grant_number)
            self._held_grants[name] = held
        return attrs.evolve(reply, grant=name)

    def _discard(self, reply: Admitted, coordinator: str) -> None:
        """Release the slot of a grant that arrived too late to be used."""
        message = Release(grant=reply.grant, ok=True, latency=None)
        self._bus.tell(coordinator, message)
