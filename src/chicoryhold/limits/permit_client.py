"""Gets permits for an entry host's requests from the control hosts."""

from __future__ import annotations

import enum
import math
import threading

import attrs

from chicoryhold.clock import Clock
from chicoryhold.hosts.bus import Bus
from chicoryhold.limits.control_host_calls import PermitCalls, PermitSources
from chicoryhold.limits.messages import (
    UNLIMITED,
    PermitGrant,
    PermitRequest,
    PermitWant,
    StatedLimit,
)
from chicoryhold.limits.permits import PermitCache

PERMIT_LIFETIME_SECONDS = 0.5
# Seconds of demand to request in advance.
PREFETCH_SECONDS = 0.4
# Time constants of the decay of two averages of the granted rate: recent demand, and
# the usual rate that limits a host which reaches no control host.
DEMAND_DECAY_SECONDS = 2.0
USUAL_RATE_DECAY_SECONDS = 10.0
# A denial is repeated for this long without asking a control host.
DENIAL_CACHE_SECONDS = 0.1
# Fraction of its usual rate that a host lets pass if it reaches no control host.
ISOLATED_RATE_FRACTION = 0.6


class Permission(enum.Enum):
    GRANTED = "granted"
    DENIED = "denied"
    UNREACHABLE = "unreachable"


@attrs.define(kw_only=True)
class _Rate:
    """A rate per second; earlier events decay exponentially over ``seconds``."""

    seconds: float
    value: float = 0.0
    updated_at: float = 0.0

    def count(self, now: float) -> None:
        self.value = self.value_at(now) + 1 / self.seconds
        self.updated_at = now

    def value_at(self, now: float) -> float:
        return self.value * math.exp(-max(0.0, now - self.updated_at) / self.seconds)


class PermitClient:
    """Gets permits from the nearest control host that replies. Thread-safe.

    A host that reaches no control host lets pass a fraction of the rate that it was
    granted before. Its callers may have no other host, and the tolerance on the rates
    of the whole fleet covers the few hosts that are isolated.
    """

    def __init__(self, *, bus: Bus, clock: Clock, control_hosts: PermitSources) -> None:
        self._calls = PermitCalls(
            bus=bus,
            clock=clock,
            control_hosts=control_hosts,
            on_late=self._keep_late_grant,
        )
        self._clock = clock
        self._cache = PermitCache(clock=clock, lifetime=PERMIT_LIFETIME_SECONDS)
        self._demand: dict[str, _Rate] = {}
        self._usual_rates: dict[str, _Rate] = {}
        self._denied_until: dict[str, float] = {}
        self._isolated_levels: dict[str, tuple[float, float]] = {}
        self._limits: dict[str, StatedLimit] = {}
        self._is_prefetching = False
        self._lock = threading.Lock()

    def permit(
        self, name: str, *, deadline: float, limit: StatedLimit | None = None
    ) -> Permission:
        """Use one permit of ``name``, whose limit here is ``limit``.

        Asks for more permits if none is left.
        """
        now = self._clock.now()
        with self._lock:
            if limit is not None:
                self._limits[name] = limit
            if self._cache.take(name):
                self._count(name, now)
                return Permission.GRANTED
            if now < self._denied_until.get(name, 0.0):
                return Permission.DENIED
            request = self._create_request(name, now)
        try:
            grant = self._calls.ask(request, deadline=deadline)
            if grant is not None:
                return self._take_grant(request, grant, asked_at=now)
        finally:
            if len(request.wants) > 1:
                self._is_prefetching = False
        return self._permit_isolated(name)

    def _create_request(self, name: str, now: float) -> PermitRequest:
        """Return a request for ``name`` and for what other organisations need soon.

        Only one request at a time includes other organisations.
        """
        wants = [self._want(name, now, needed=1)]
        if not self._is_prefetching:
            others = (other for other in self._demand if other != name)
            prefetched = (self._want(other, now, needed=0) for other in others)
            wants += [want for want in prefetched if want.wanted or want.unused]
            self._is_prefetching = len(wants) > 1
        return PermitRequest(wants=tuple(wants))

    def _want(self, name: str, now: float, *, needed: int) -> PermitWant:
        soon = _rate_at(self._demand, name, now) * PREFETCH_SECONDS
        return PermitWant(
            name=name,
            wanted=max(0, needed + round(soon) - self._cache.count(name)),
            needed=needed,
            unused=self._cache.take_expired_count(name),
            limit=self._limits.get(name),
        )

    def _take_grant(
        self, request: PermitRequest, grant: PermitGrant, *, asked_at: float
    ) -> Permission:
        name = request.wants[0].name
        with self._lock:
            self._store(request, grant, asked_at)
            now = self._clock.now()
            if self._cache.take(name):
                self._count(name, now)
                return Permission.GRANTED
            if grant.counts[0] == 0:
                self._denied_until[name] = now + DENIAL_CACHE_SECONDS
                return Permission.DENIED
        # The permits had expired when they arrived; the caller may retry.
        return Permission.UNREACHABLE

    def _keep_late_grant(
        self, request: PermitRequest, grant: PermitGrant, asked_at: float
    ) -> None:
        """Keep permits whose request has gone on without them, for the next ones.

        Those that have expired aren't given back: they were granted too long ago.
        """
        if self._clock.now() - asked_at >= PERMIT_LIFETIME_SECONDS:
            return
        with self._lock:
            self._store(request, grant, asked_at)

    def _store(
        self, request: PermitRequest, grant: PermitGrant, asked_at: float
    ) -> None:
        for want, count in zip(request.wants, grant.counts, strict=True):
            granted = want.wanted if count == UNLIMITED else count
            self._cache.put(want.name, granted, asked_at=asked_at)

    def _permit_isolated(self, name: str) -> Permission:
        """Decide without a control host, by a token bucket at a reduced rate."""
        now = self._clock.now()
        with self._lock:
            rate = _rate_at(self._usual_rates, name, now) * ISOLATED_RATE_FRACTION
            level, updated_at = self._isolated_levels.get(name, (1.0, now))
            level = min(max(1.0, rate), level + rate * (now - updated_at))
            allowed = level >= 1.0
            self._isolated_levels[name] = (level - 1.0 if allowed else level, now)
        return Permission.GRANTED if allowed else Permission.UNREACHABLE

    def _count(self, name: str, now: float) -> None:
        self._demand.setdefault(name, _Rate(seconds=DEMAND_DECAY_SECONDS)).count(now)
        self._usual_rates.setdefault(
            name, _Rate(seconds=USUAL_RATE_DECAY_SECONDS)
        ).count(now)


def _rate_at(rates: dict[str, _Rate], name: str, now: float) -> float:
    rate = rates.get(name)
    return rate.value_at(now) if rate else 0.0
