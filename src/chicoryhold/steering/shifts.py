"""Traffic shifts between domains: the receiving domain decides how much it accepts."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs

from chicoryhold.clock import Clock
from chicoryhold.limits.token_bucket import TokenBucket
from chicoryhold.state.changes import StartShift

RAMP_SECONDS = 30.0
MIN_RAMP_FRACTION = 0.05
BURST_REQUESTS = 1.0
MIN_FREE_FRACTION = 0.2
BACKOFF_SECONDS = 1.0


@attrs.define(kw_only=True)
class _ActiveShift:
    shift: StartShift
    started_at: float
    bucket: TokenBucket


class ShiftLimiter:
    """Admits shifted requests at the receiving domain, up to the cap of their shift.

    Only the domain's coordinator enforces the cap, so it is not divided among hosts.
    The admitted rate rises to the cap over ``RAMP_SECONDS``, because the receiving
    domain's caches are cold. The ramp restarts with each new coordinator.
    """

    def __init__(
        self, *, clock: Clock, shifts: Callable[[], tuple[StartShift, ...]]
    ) -> None:
        self._clock = clock
        self._shifts = shifts
        self._active_shifts: dict[str, _ActiveShift] = {}

    def admit(self, name: str, *, free_fraction: float) -> bool:
        """Admit one request of the shift ``name`` if the cap allows it now.

        ``free_fraction`` is the fraction of the service's slots that is free. Below
        ``MIN_FREE_FRACTION`` the domain reserves them for its own callers.
        """
        active = self._find_active(name)
        if active is None or free_fraction < MIN_FREE_FRACTION:
            return False
        now = self._clock.now()
        ramp_fraction = min(
            1.0, max(MIN_RAMP_FRACTION, (now - active.started_at) / RAMP_SECONDS)
        )
        active.bucket.set_base(
            now=now, capacity=BURST_REQUESTS, rate=active.shift.cap * ramp_fraction
        )
        return active.bucket.take(now)

    def _find_active(self, name: str) -> _ActiveShift | None:
        shift = next((s for s in self._shifts() if s.name == name), None)
        known = self._active_shifts.get(name)
        if shift is None:
            self._active_shifts.pop(name, None)
            return None
        if known is None or known.shift != shift:
            now = self._clock.now()
            bucket = TokenBucket(capacity=BURST_REQUESTS, rate=0.0, now=now)
            known = _ActiveShift(shift=shift, started_at=now, bucket=bucket)
            self._active_shifts[name] = known
        return known


class ShiftChooser:
    """Chooses, on a host of the source domain, which requests a shift moves.

    After the receiving domain has refused a request or not answered, the shift's share
    of the requests stays in the source domain for ``BACKOFF_SECONDS``: nothing is sent
    to a domain that hasn't shown recently that it answers.
    """

    def __init__(
        self, *, domain: str, clock: Clock, random: Random,
        shifts: Callable[[], tuple[StartShift, ...]],
    ) -> None:  # fmt: skip
        self._domain = domain
        self._clock = clock
        self._random = random
        self._shifts = shifts
        self._blocked_until: dict[str, float] = {}

    def choose(self, service: str) -> StartShift | None:
        """Return the shift that moves this request, if any.

        A request drawn for a shift that is backing off is not moved by another shift.
        """
        draw = self._random.random()
        for shift in self._shifts():
            if shift.service != service or shift.source != self._domain:
                continue
            if draw < shift.share:
                return None if self._is_blocked(shift) else shift
            draw -= shift.share
        return None

    def back_off(self, shift: StartShift) -> None:
        """Keep the shift's share in the source domain for ``BACKOFF_SECONDS``."""
        self._blocked_until[shift.name] = self._clock.now() + BACKOFF_SECONDS

    def _is_blocked(self, shift: StartShift) -> bool:
        return self._clock.now() < self._blocked_until.get(shift.name, float("-inf"))
