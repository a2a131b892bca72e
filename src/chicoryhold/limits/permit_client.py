"""How an entry host gets permits for requests that wait."""

from __future__ import annotations

import enum
import math
import threading
from collections.abc import Callable

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.errors import PeerTimeout, UnknownPeer
from chicoryhold.hosts.bus import Bus
from chicoryhold.limits.messages import (
    UNLIMITED,
    PermitGrant,
    PermitRequest,
    PermitWant,
)
from chicoryhold.limits.permits import Purse

PERMIT_LIFETIME = 0.5  # seconds
AHEAD_SECONDS = 0.4  # of demand that is asked for ahead
DEMAND_SECONDS = 2.0  # over which demand is smoothed
USUAL_SECONDS = 10.0  # over which the usual rate is smoothed
ASK_TIMEOUT = 0.15  # seconds to wait for a control host in the region
FAR_ASK_TIMEOUT = 0.4  # seconds to wait for one in another region
MOST_ASKED = 2  # control hosts for one request, since its caller waits
AVOIDED_SECONDS = 1.0  # for which a silent control host is asked last
DENIED_SECONDS = 0.1  # for which a denial answers further requests
CUT_OFF_SHARE = 0.6  # of the usual rate that a host without control hosts lets pass


class Permission(enum.Enum):
    GRANTED = "granted"
    DENIED = "denied"
    UNREACHABLE = "unreachable"


@attrs.define(kw_only=True)
class _Rate:
    """A rate per second, exponentially smoothed over ``seconds``."""

    seconds: float
    value: float = 0.0
    at: float = 0.0

    def count(self, now: float) -> None:
        self.value = self.now(now) + 1 / self.seconds
        self.at = now

    def now(self, now: float) -> float:
        return self.value * math.exp(-max(0.0, now - self.at) / self.seconds)


class PermitClient:
    """Asks the nearest control host that answers. Safe to use from many threads.

    ``control_hosts`` returns those that answered something lately.

    A host that reaches no control host lets a part of the rate pass that it was
    granted before, since callers may have no other host and the whole fleet's
    tolerance covers the few hosts that are cut off.
    """

    def __init__(
        self, *, bus: Bus, clock: Clock, control_hosts: Callable[[], tuple[str, ...]],
        is_near: Callable[[str], bool],
    ) -> None:  # fmt: skip
        self._bus = bus
        self._clock = clock
        self._control_hosts = control_hosts
        self._is_near = is_near
        self._purse = Purse(clock=clock, lifetime=PERMIT_LIFETIME)
        self._demand: dict[str, _Rate] = {}
        self._usual: dict[str, _Rate] = {}
        self._denied_until: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}
        self._alone_level: dict[str, tuple[float, float]] = {}
        self._asking_ahead = False
        self._lock = threading.Lock()

    def permit(self, name: str, *, deadline: float) -> Permission:
        """Use one permit of ``name``, asking for more if none is left."""
        now = self._clock.now()
        with self._lock:
            if self._purse.take(name):
                self._count(name, now)
                return Permission.GRANTED
            if now < self._denied_until.get(name, 0.0):
                return Permission.DENIED
            request = self._request(name, now)
        try:
            for host in self._in_turn(now):
                if self._clock.now() >= deadline:
                    break
                grant = self._ask(host, request)
                if grant is not None:
                    return self._take_grant(request, grant, asked_at=now)
        finally:
            if len(request.wants) > 1:
                self._asking_ahead = False
        return self._alone(name)

    def _request(self, name: str, now: float) -> PermitRequest:
        """Ask for ``name`` first, and in one go for what others will need soon."""
        wants = [self._want(name, now, needed=1)]
        if not self._asking_ahead:
            others = (other for other in self._demand if other != name)
            ahead = (self._want(other, now, needed=0) for other in others)
            wants += [want for want in ahead if want.wanted or want.unused]
            self._asking_ahead = len(wants) > 1
        return PermitRequest(wants=tuple(wants))

    def _want(self, name: str, now: float, *, needed: int) -> PermitWant:
        soon = _now(self._demand, name, now) * AHEAD_SECONDS
        return PermitWant(
            name=name,
            wanted=max(0, needed + round(soon) - self._purse.count(name)),
            needed=needed,
            unused=self._purse.take_unused(name),
        )

    def _in_turn(self, now: float) -> tuple[str, ...]:
        hosts = self._control_hosts()
        avoided = {h for h in hosts if now < self._avoided_until.get(h, 0.0)}
        return tuple(host for host in hosts if host not in avoided)[:MOST_ASKED]

    def _ask(self, host: str, request: PermitRequest) -> PermitGrant | None:
        timeout = ASK_TIMEOUT if self._is_near(host) else FAR_ASK_TIMEOUT
        try:
            answer = self._bus.call(host, request, timeout=timeout)
        except (PeerTimeout, UnknownPeer):
            self._avoided_until[host] = self._clock.now() + AVOIDED_SECONDS
            logger.bind(host=host, seconds=timeout).warning(
                "permits: a control host is silent."
            )
            return None
        return answer if isinstance(answer, PermitGrant) else None

    def _take_grant(
        self, request: PermitRequest, grant: PermitGrant, *, asked_at: float
    ) -> Permission:
        name = request.wants[0].name
        with self._lock:
            for want, count in zip(request.wants, grant.counts, strict=True):
                given = want.wanted if count == UNLIMITED else count
                self._purse.put(want.name, given, asked_at=asked_at)
            now = self._clock.now()
            if self._purse.take(name):
                self._count(name, now)
                return Permission.GRANTED
            if grant.counts[0] == 0:
                self._denied_until[name] = now + DENIED_SECONDS
                return Permission.DENIED
        # The permits came too late to be used; the caller may try again.
        return Permission.UNREACHABLE

    def _alone(self, name: str) -> Permission:
        now = self._clock.now()
        with self._lock:
            rate = _now(self._usual, name, now) * CUT_OFF_SHARE
            level, at = self._alone_level.get(name, (1.0, now))
            level = min(max(1.0, rate), level + rate * (now - at))
            allowed = level >= 1.0
            self._alone_level[name] = (level - 1.0 if allowed else level, now)
        return Permission.GRANTED if allowed else Permission.UNREACHABLE

    def _count(self, name: str, now: float) -> None:
        self._demand.setdefault(name, _Rate(seconds=DEMAND_SECONDS)).count(now)
        self._usual.setdefault(name, _Rate(seconds=USUAL_SECONDS)).count(now)


def _now(rates: dict[str, _Rate], name: str, now: float) -> float:
    rate = rates.get(name)
    return rate.now(now) if rate else 0.0
