"""The part of a service's requests that goes to other regions, changed slowly."""

from __future__ import annotations

import attrs

from chicoryhold.clock import Clock

HIGH_LOAD = 0.85  # of a region's slots; above it the part grows
LOW_LOAD = 0.55  # below it the part shrinks
STEP_PER_SECOND = 0.05  # the caps on moves between regions allow 0.15 in 2 s
LOAD_SECONDS = 0.5  # over which the load is smoothed


@attrs.define(kw_only=True)
class _Part:
    share: float = 0.0
    load: float = 0.0
    at: float = 0.0


class Spill:
    """Decides by the object, so that what moves is the same at each request."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._parts: dict[str, _Part] = {}

    def share(self, service: str) -> float:
        part = self._parts.get(service)
        return part.share if part else 0.0

    def observe(self, service: str, load: float) -> float:
        """Take the load of the own region's slots, and return the part to move."""
        now = self._clock.now()
        part = self._parts.setdefault(service, _Part(load=load, at=now))
        elapsed = min(LOAD_SECONDS, now - part.at)
        part.at = now
        part.load += (load - part.load) * elapsed / LOAD_SECONDS
        step = STEP_PER_SECOND * elapsed
        if part.load > HIGH_LOAD:
            part.share = min(0.9, part.share + step)
        elif part.load < LOW_LOAD:
            part.share = max(0.0, part.share - step)
        return part.share
