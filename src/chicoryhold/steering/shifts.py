"""Shifts of traffic: the receiving domain decides how much it takes."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs

from chicoryhold.clock import Clock
from chicoryhold.limits.budget import Budget
from chicoryhold.state.changes import StartShift

RAMP_SECONDS = 30.0
SMALLEST_RAMP = 0.05
CAP_BURST = 1.0
HEADROOM_SHARE = 0.2
BACK_OFF_SECONDS = 1.0


@attrs.define(kw_only=True)
class _Open:
    shift: StartShift
    since: float
    bucket: Budget


class ShiftLimiter:
    """Admits shifted requests at the receiving domain, under the cap.

    The cap has one holder, the domain's coordinator, so it needs no division. It
    rises over ``RAMP_SECONDS``, as caches here are cold, and starts anew with each
    coordinator.
    """

    def __init__(
        self, *, clock: Clock, shifts: Callable[[], tuple[StartShift, ...]]
    ) -> None:
        self._clock = clock
        self._shifts = shifts
        self._open: dict[str, _Open] = {}

    def admit(self, name: str, *, free_share: float) -> bool:
        """Count one request of the shift ``name`` if it may come now.

        ``free_share`` is the part of the service's slots that is free; below
        ``HEADROOM_SHARE`` the domain keeps them for its own callers.
        """
        opened = self._find(name)
        if opened is None or free_share < HEADROOM_SHARE:
            return False
        now = self._clock.now()
        ramp = min(1.0, max(SMALLEST_RAMP, (now - opened.since) / RAMP_SECONDS))
        opened.bucket.rebase(now=now, capacity=CAP_BURST, rate=opened.shift.cap * ramp)
        return opened.bucket.take(now)

    def _find(self, name: str) -> _Open | None:
        shift = next((s for s in self._shifts() if s.name == name), None)
        known = self._open.get(name)
        if shift is None:
            self._open.pop(name, None)
            return None
        if known is None or known.shift != shift:
            now = self._clock.now()
            bucket = Budget(capacity=CAP_BURST, rate=0.0, now=now)
            known = _Open(shift=shift, since=now, bucket=bucket)
            self._open[name] = known
        return known


class ShiftChooser:
    """Chooses at a sending host which requests go elsewhere.

    After a refusal, or silence, from the receiving domain its share is left at home
    for a while: without a fresh answer there is no sending.
    """

    def __init__(
        self, *, domain: str, clock: Clock, random: Random,
        shifts: Callable[[], tuple[StartShift, ...]],
    ) -> None:  # fmt: skip
        self._domain = domain
        self._clock = clock
        self._random = random
        self._shifts = shifts
        self._blocked: dict[str, float] = {}

    def choose(self, service: str) -> StartShift | None:
        """Return the shift that takes this request away, if any."""
        draw = self._random.random()
        for shift in self._shifts():
            if shift.service != service or shift.source != self._domain:
                continue
            if draw < shift.share:
                return None if self._is_blocked(shift) else shift
            draw -= shift.share
        return None

    def back_off(self, shift: StartShift) -> None:
        """Leave the shift's share at home for a while."""
        self._blocked[shift.name] = self._clock.now() + BACK_OFF_SECONDS

    def _is_blocked(self, shift: StartShift) -> bool:
        return self._clock.now() < self._blocked.get(shift.name, float("-inf"))
