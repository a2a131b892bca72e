"""The part of a service's requests that goes to other regions, changed slowly."""

from __future__ import annotations

import attrs

from chicoryhold.clock import Clock

HIGH_LOAD = 0.8  # of a region's slots; above it the part grows
LOW_LOAD = 0.4  # below it the part shrinks
GROWTH_PER_SECOND = 0.05  # the caps on moves between regions allow 0.15 in 2 s
SHRINKING_PER_SECOND = 0.01  # slow, because an object that moves finds no warm target
MOST = 0.9
SMOOTHING_SECONDS = 0.5


@attrs.define(kw_only=True)
class _Part:
    share: float
    load: float
    at: float


class Spill:
    """Decides by the object, so that what moves is the same at each request."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._parts: dict[str, _Part] = {}

    def share(self, service: str) -> float:
        part = self._parts.get(service)
        return part.share if part else 0.0

    def observe(self, service: str, load: float, *, first: float) -> float:
        """Take the load of the own region's slots, and return the part to move.

        ``first`` is the part that this host begins with.
        """
        now = self._clock.now()
        part = self._parts.get(service)
        if part is None:
            part = _Part(share=min(MOST, first), load=load, at=now)
            self._parts[service] = part
        elapsed = min(SMOOTHING_SECONDS, now - part.at)
        part.at = now
        part.load += (load - part.load) * elapsed / SMOOTHING_SECONDS
        if part.load > HIGH_LOAD:
            part.share = min(MOST, part.share + GROWTH_PER_SECOND * elapsed)
        elif part.load < LOW_LOAD:
            part.share = max(0.0, part.share - SHRINKING_PER_SECOND * elapsed)
        return part.share
