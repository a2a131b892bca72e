"""Asks the nearest control host that replies for permits."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.errors import PeerTimeout, UnknownPeer
from chicoryhold.hosts.bus import Bus
from chicoryhold.limits.messages import PermitGrant, PermitRequest

# Timeouts of a request to a control host in the same region and in another region.
SAME_REGION_TIMEOUT_SECONDS = 0.15
CROSS_REGION_TIMEOUT_SECONDS = 0.4
# At most this many control hosts are asked for one request, since its caller waits.
MAX_HOSTS_ASKED = 2
# A control host that did not reply in time is not asked for this long.
AVOID_HOST_SECONDS = 1.0
# A control host that can't decide yet is not asked for this long.
AVOID_UNREADY_HOST_SECONDS = 0.25


@attrs.frozen(kw_only=True)
class PermitSources:
    """The control hosts to ask.

    ``reachable`` returns those that have replied recently, nearest first.
    ``is_same_region`` returns whether a control host is in the region of this host.
    """

    reachable: Callable[[], tuple[str, ...]]
    is_same_region: Callable[[str], bool]


LateGrantHandler = Callable[[PermitRequest, PermitGrant, float], None]


class PermitCalls:
    """Asks control hosts in turn. Thread-safe.

    Those whose reply isn't a usable grant, by ``is_usable``, are asked again later.
    ``on_late`` is called with a grant that arrives after the next host was asked, with
    its request and the time at which that was sent.
    """

    def __init__(
        self, *, bus: Bus, clock: Clock, control_hosts: PermitSources,
        is_usable: Callable[[PermitGrant], bool] = lambda grant: True,
        on_late: LateGrantHandler = lambda request, grant, asked_at: None,
    ) -> None:  # fmt: skip
        self._bus = bus
        self._clock = clock
        self._control_hosts = control_hosts
        self._is_usable = is_usable
        self._on_late = on_late
        self._avoided_until: dict[str, float] = {}

    def ask(self, request: PermitRequest, *, deadline: float) -> PermitGrant | None:
        """Return a grant, or ``None`` if no control host gave one by ``deadline``."""
        now = self._clock.now()
        remaining = MAX_HOSTS_ASKED
        for host in self._control_hosts.reachable():
            if now < self._avoided_until.get(host, 0.0):
                continue
            if not remaining or self._clock.now() >= deadline:
                return None
            answer = self._ask(host, request)
            if isinstance(answer, PermitGrant) and self._is_usable(answer):
                return answer
            if answer is None:
                remaining -= 1
            else:
                avoided_until = self._clock.now() + AVOID_UNREADY_HOST_SECONDS
                self._avoided_until[host] = avoided_until
        return None

    def _ask(self, host: str, request: PermitRequest) -> object | None:
        is_near = self._control_hosts.is_same_region(host)
        timeout = (
            SAME_REGION_TIMEOUT_SECONDS if is_near else CROSS_REGION_TIMEOUT_SECONDS
        )
        asked_at = self._clock.now()
        try:
            return self._bus.call(
                host,
                request,
                timeout=timeout,
                on_late=lambda reply: self._take_late(host, request, reply, asked_at),
            )
        except (PeerTimeout, UnknownPeer):
            self._avoided_until[host] = self._clock.now() + AVOID_HOST_SECONDS
            logger.bind(host=host, seconds=timeout).warning(
                "permits: a control host did not reply."
            )
            return None

    def _take_late(
        self, host: str, request: PermitRequest, reply: object, asked_at: float
    ) -> None:
        """Use a reply that came too late for the caller: its sender is only slow."""
        self._avoided_until.pop(host, None)
        if isinstance(reply, PermitGrant) and self._is_usable(reply):
            self._on_late(request, reply, asked_at)
