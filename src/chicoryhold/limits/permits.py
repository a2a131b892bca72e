"""Permits: a rate over all hosts, divided beforehand between the failure domains.

A control host holds its domain's part of each organisation's rate and burst as a
bucket of whole permits. Entry hosts take permits from it in small batches. A domain
that runs short gets permits out of another domain's bucket: the giver takes them out
first, so the sum never grows, whatever is lost on the way.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from chicoryhold.clock import Clock

DEMAND_SECONDS = 1.0  # over which demand is smoothed
LOW_WATER_SECONDS = 0.6  # of demand left in a bucket before others are asked
BORROWED_SECONDS = 1.0  # of demand asked for at a time
SCARCE_SECONDS = 0.5  # of demand left in a bucket below which none are held ahead
LEAST_BUCKET = 3.0  # permits
KEPT_SECONDS = 1.0  # of its own demand that a giver keeps


@attrs.frozen(kw_only=True)
class Allowance:
    """``rate`` in permits per second, ``burst`` in permits, over all domains."""

    rate: float
    burst: float


@attrs.define(kw_only=True)
class _Bucket:
    level: float
    at: float
    demand: float = 0.0

    def refill(self, now: float, *, rate: float, burst: float) -> None:
        elapsed = max(0.0, now - self.at)
        self.level = min(burst, self.level + elapsed * rate)
        self.demand *= math.exp(-elapsed / DEMAND_SECONDS)
        self.at = now

    def ask(self, count: int) -> None:
        self.demand += count / DEMAND_SECONDS


class PermitAllocator:
    """One domain's buckets. Pure: allowances and times come from outside.

    ``allowance_of`` returns the allowance of a name, or ``None`` for no limit. New
    buckets start empty, because an earlier office may have given everything away.
    """

    def __init__(
        self, *, domains: int, allowance_of: Callable[[str], Allowance | None],
        clock: Clock,
    ) -> None:  # fmt: skip
        self._domains = domains
        self._allowance_of = allowance_of
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}
        self._started = clock.now()

    def take(self, name: str, *, wanted: int, needed: int) -> int | None:
        """Give out up to ``wanted`` permits, ``None`` where there is no limit.

        ``needed`` of them are for requests that wait; only those count as demand.
        """
        bucket = self._refilled(name)
        if bucket is None:
            return None
        bucket.ask(needed)
        if bucket.level < bucket.demand * SCARCE_SECONDS:
            # Permits held ahead by one host are missing at another one.
            wanted = min(wanted, needed)
        given = min(wanted, int(bucket.level))
        bucket.level -= given
        return given

    def give_back(self, name: str, count: int) -> None:
        """Take back permits that were not used, soon after they were given."""
        bucket = self._refilled(name)
        if bucket is not None:
            bucket.level = min(self._burst(name), bucket.level + count)

    def shortage(self, name: str) -> int:
        """Return how many permits to ask other domains for; 0 for none."""
        bucket = self._refilled(name)
        if bucket is None or bucket.level >= bucket.demand * LOW_WATER_SECONDS:
            return 0
        room = self._burst(name) - bucket.level
        return max(0, int(min(room, bucket.demand * BORROWED_SECONDS)))

    def lend(self, name: str, count: int) -> int:
        """Take up to ``count`` permits out for another domain and return how many."""
        bucket = self._refilled(name)
        if bucket is None:
            return 0
        spare = bucket.level - bucket.demand * KEPT_SECONDS
        given = max(0, min(count, int(spare)))
        bucket.level -= given
        return given

    def receive(self, name: str, count: int) -> None:
        """Add permits that another domain has taken out for this one."""
        self.give_back(name, count)

    def _refilled(self, name: str) -> _Bucket | None:
        allowance = self._allowance_of(name)
        if allowance is None:
            return None
        now = self._clock.now()
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = _Bucket(level=0.0, at=self._started)
            self._buckets[name] = bucket
        bucket.refill(now, rate=allowance.rate / self._domains, burst=self._burst(name))
        return bucket

    def _burst(self, name: str) -> float:
        """Return the most permits that this domain's bucket holds.

        A small burst divided between the domains would leave less than one permit
        for each, and requests don't come as evenly as permits do.
        """
        allowance = self._allowance_of(name)
        if allowance is None:
            return 0.0
        return max(LEAST_BUCKET, allowance.burst / self._domains)


@attrs.define(kw_only=True)
class _Held:
    count: int
    until: float


class Purse:
    """Permits that an entry host holds for a moment. Not safe for many threads."""

    def __init__(self, *, clock: Clock, lifetime: float) -> None:
        self._clock = clock
        self._lifetime = lifetime
        self._held: dict[str, list[_Held]] = {}
        self._unused: dict[str, int] = {}

    def put(self, name: str, count: int, *, asked_at: float) -> None:
        """Keep permits until their lifetime, counted from the asking, is over."""
        if count > 0:
            held = _Held(count=count, until=asked_at + self._lifetime)
            self._held.setdefault(name, []).append(held)

    def take(self, name: str) -> bool:
        """Use one permit, the oldest first; returns false if none is left."""
        self._drop_ended(name)
        for held in self._held.get(name, ()):
            if held.count > 0:
                held.count -= 1
                return True
        return False

    def count(self, name: str) -> int:
        """Return how many permits may still be used."""
        self._drop_ended(name)
        return sum(held.count for held in self._held.get(name, ()))

    def take_unused(self, name: str) -> int:
        """Return how many permits have ended unused since the last call."""
        self._drop_ended(name)
        return self._unused.pop(name, 0)

    def _drop_ended(self, name: str) -> None:
        now = self._clock.now()
        held = self._held.get(name, [])
        while held and (held[0].until <= now or held[0].count == 0):
            ended = held.pop(0)
            self._unused[name] = self._unused.get(name, 0) + ended.count
