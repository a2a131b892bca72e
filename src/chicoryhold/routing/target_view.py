"""What one entry host believes of each target, from its own exchanges and reports."""

from __future__ import annotations

import math

import attrs

from chicoryhold.routing.affinity import RecentObjects
from chicoryhold.state.targets import TargetRecord

EJECT_AFTER_FAILURES = 3
EJECT_FIRST_SECONDS = 0.5
EJECT_LAST_SECONDS = 8.0
LOAD_SECONDS = 0.4  # over which the load that others put on a target is smoothed
NEWS_SECONDS = 0.5  # for which what a target said of its load is believed
FADING_SECONDS = 0.7  # over which it loses its meaning then
SLOWNESS_WEIGHT = 0.15


@attrs.frozen(kw_only=True)
class LoadReport:
    """A target's own word: requests running and waiting, and its slots."""

    running: int
    waiting: int
    slots: int


@attrs.define(kw_only=True)
class TargetView:
    """Beliefs about one target. Times are on the own clock, in seconds.

    ``slowness`` is how many times as long as others of its service it takes;
    ``others`` the requests there that other hosts have sent, smoothed.
    """

    record: TargetRecord
    region: str
    cold_until: float
    in_flight: int = 0
    load: LoadReport | None = None
    load_at: float = float("-inf")
    others: float = 0.0
    failures: int = 0
    failure_share: float = 0.0
    slowness: float = 1.0
    ejected_until: float = float("-inf")
    eject_seconds: float = EJECT_FIRST_SECONDS
    objects: RecentObjects = attrs.field(factory=RecentObjects)
    cold_rate: float = 0.0  # requests per second that this host may send while cold
    cold_level: float = 0.0
    cold_at: float = float("inf")

    @property
    def slots(self) -> int:
        return self.load.slots if self.load and self.load.slots else self.record.slots

    def occupancy(self, now: float) -> float:
        """Requests at the target: ours, and those of others, as far as is known.

        Old news counts for less: a target that was full when last heard of would
        otherwise never be asked again.
        """
        return self.in_flight + self.others * self._news(now)

    def _news(self, now: float) -> float:
        return math.exp(-max(0.0, now - self.load_at - NEWS_SECONDS) / FADING_SECONDS)

    def is_cold(self, now: float) -> bool:
        return now < self.cold_until

    def bears_one(self, now: float) -> bool:
        """Whether this host may send a request to the target while it is cold."""
        return self._cold_allowance(now) >= 1

    def sent(self, now: float) -> None:
        self.in_flight += 1
        if self.is_cold(now):
            self.cold_level = self._cold_allowance(now) - 1
            self.cold_at = now

    def turned_cold(self, now: float, *, until: float, level: float) -> None:
        """Start with ``level`` of a request, other on each host: not all at once."""
        self.cold_until = until
        self.cold_level = level
        self.cold_at = now

    def _cold_allowance(self, now: float) -> float:
        earned = max(0.0, now - self.cold_at) * self.cold_rate
        return min(1.0, self.cold_level + earned)

    def told(self, load: LoadReport, now: float) -> None:
        """Take the load that came with the answer to one of our requests."""
        others = max(0, load.running + load.waiting - max(0, self.in_flight - 1))
        weight = 1 - math.exp(-(now - self.load_at) / LOAD_SECONDS)
        known = self.others * self._news(now)
        self.others = known + max(0.2, weight) * (others - known)
        self.load = load
        self.load_at = now

    def done(self) -> None:
        self.in_flight = max(0, self.in_flight - 1)

    def succeeded(self, *, ratio: float) -> None:
        """``ratio`` is the work time against what was expected."""
        self.failures = 0
        self.failure_share *= 1 - SLOWNESS_WEIGHT
        self.eject_seconds = EJECT_FIRST_SECONDS
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)

    def failed(self, now: float, *, unreachable: bool) -> bool:
        """Count a failure; returns whether the target is now left alone for a time."""
        self.failures += 1
        self.failure_share += SLOWNESS_WEIGHT * (1 - self.failure_share)
        if not unreachable and self.failures < EJECT_AFTER_FAILURES:
            return False
        self.ejected_until = now + self.eject_seconds
        self.eject_seconds = min(2 * self.eject_seconds, EJECT_LAST_SECONDS)
        return True
