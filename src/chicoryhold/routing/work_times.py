"""How long a route's requests take at a target, known object or not."""

from __future__ import annotations

import attrs

WEIGHT = 0.05
UNKNOWN_SHARE = 0.8  # of the latency objective, before anything was measured
KNOWN_SHARE = 0.4  # of the time for unknown objects, before anything was measured
FALLBACK_SECONDS = 0.3


@attrs.define(kw_only=True)
class WorkTime:
    """Seconds at the target without waiting there, smoothed."""

    known: float
    unknown: float

    @classmethod
    def expected(cls, objective: float) -> WorkTime:
        unknown = UNKNOWN_SHARE * objective if objective > 0 else FALLBACK_SECONDS
        return cls(known=KNOWN_SHARE * unknown, unknown=unknown)

    @property
    def in_queue(self) -> float:
        """Seconds that a request ahead is taken to need.

        Most are for known objects, but what is heard of a queue is old by the time
        it counts, and another target nearby costs little.
        """
        return (self.known + self.unknown) / 2

    def of(self, *, is_known: bool) -> float:
        return self.known if is_known else self.unknown

    def learn(self, seconds: float, *, was_known: bool) -> None:
        if was_known:
            self.known += WEIGHT * (seconds - self.known)
        else:
            self.unknown += WEIGHT * (seconds - self.unknown)
