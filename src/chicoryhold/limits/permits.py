"""Permits: a rate limit over all hosts, divided in advance between failure domains.

A control host holds its domain's share of each organisation's rate and burst as a
bucket of whole permits. Entry hosts take permits from it in small batches. A domain
that runs short is lent permits from another domain's bucket. The lender removes them
from its bucket before it sends them, so a lost message can only lower the number of
permits over all domains, never raise it.
"""

from __future__ import annotations

import math
from bisect import insort
from collections.abc import Callable

import attrs

from chicoryhold.clock import Clock

# Time constant of the exponential decay of demand.
DEMAND_DECAY_SECONDS = 1.0
# A bucket that holds less than this many seconds of demand borrows from other domains.
LOW_WATER_SECONDS = 0.6
# Seconds of demand to borrow at a time.
BORROWED_DEMAND_SECONDS = 1.0
# A bucket that holds less than this many seconds of demand grants only the permits
# that waiting requests need, and none for hosts to hold in advance.
SCARCE_SECONDS = 0.5
MIN_BUCKET_PERMITS = 3.0
# Seconds of its own demand that a lender keeps in its bucket.
LENDER_RESERVE_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class Allowance:
    """``rate`` in permits per second, ``burst`` in permits, over all domains."""

    rate: float
    burst: float


@attrs.define(kw_only=True)
class _Bucket:
    level: float
    refilled_at: float
    demand: float = 0.0

    def refill(
        self, now: float, *, rate: float, burst: float, loan_room: float
    ) -> None:
        elapsed = max(0.0, now - self.refilled_at)
        borrowed_level = min(self.level, burst + loan_room)
        self.level = max(borrowed_level, min(burst, self.level + elapsed * rate))
        self.demand *= math.exp(-elapsed / DEMAND_DECAY_SECONDS)
        self.refilled_at = now

    def record_demand(self, count: int) -> None:
        self.demand += count / DEMAND_DECAY_SECONDS


class PermitAllocator:
    """The permit buckets of one domain. Does no I/O.

    ``allowance_of`` returns the allowance of a name, or ``None`` if it has no limit.
    New buckets start empty, because an earlier allocator of the same domain may have
    granted every permit. ``min_bucket`` is the least capacity of a bucket. Borrowed
    permits may exceed the capacity by ``loan_room``.
    """

    def __init__(
        self, *, domains: int, allowance_of: Callable[[str], Allowance | None],
        clock: Clock, min_bucket: float = MIN_BUCKET_PERMITS, loan_room: float = 0.0,
    ) -> None:  # fmt: skip
        self._min_bucket = min_bucket
        self._loan_room = loan_room
        self._domains = domains
        self._allowance_of = allowance_of
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}
        self._started_at = clock.now()

    def take(self, name: str, *, wanted: int, needed: int) -> int | None:
        """Grant up to ``wanted`` permits; returns ``None`` if there is no limit.

        ``needed`` of them are for requests that are waiting; only these count as
        demand.
        """
        bucket = self._refilled(name)
        if bucket is None:
            return None
        bucket.record_demand(needed)
        if bucket.level < bucket.demand * SCARCE_SECONDS:
            # Permits that one host holds in advance would be missing at another host.
            wanted = min(wanted, needed)
        granted = min(wanted, int(bucket.level))
        bucket.level -= granted
        return granted

    def give_back(self, name: str, count: int) -> None:
        """Put back permits that a host returns unused soon after they were granted."""
        bucket = self._refilled(name)
        if bucket is not None:
            bucket.level = min(self._burst(name), bucket.level + count)

    def shortage(self, name: str) -> int:
        """Return how many permits to borrow from other domains; 0 for none."""
        bucket = self._refilled(name)
        if bucket is None or bucket.level >= bucket.demand * LOW_WATER_SECONDS:
            return 0
        room = self._burst(name) + self._loan_room - bucket.level
        demand = math.ceil(bucket.demand * BORROWED_DEMAND_SECONDS)
        return max(0, int(min(room, demand)))

    def lend(self, name: str, count: int) -> int:
        """Remove up to ``count`` permits for another domain; returns how many."""
        bucket = self._refilled(name)
        if bucket is None:
            return 0
        spare = bucket.level - bucket.demand * LENDER_RESERVE_SECONDS
        lent = max(0, min(count, int(spare)))
        bucket.level -= lent
        return lent

    def receive(self, name: str, count: int) -> None:
        """Add permits that another domain has lent to this one."""
        bucket = self._refilled(name)
        if bucket is not None:
            capacity = self._burst(name) + self._loan_room
            bucket.level = min(capacity, bucket.level + count)

    def available(self, name: str) -> int:
        """Return how many permits could be taken now; 0 if the rate isn't known."""
        bucket = self._refilled(name)
        return int(bucket.level) if bucket is not None else 0

    def forget(self, name: str) -> None:
        """Drop the bucket of ``name``, which has been unused long enough to be full."""
        self._buckets.pop(name, None)

    def _refilled(self, name: str) -> _Bucket | None:
        allowance = self._allowance_of(name)
        if allowance is None:
            return None
        now = self._clock.now()
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = _Bucket(level=0.0, refilled_at=self._started_at)
            self._buckets[name] = bucket
        bucket.refill(
            now,
            rate=allowance.rate / self._domains,
            burst=self._burst(name),
            loan_room=self._loan_room,
        )
        return bucket

    def _burst(self, name: str) -> float:
        """Return the capacity of this domain's bucket.

        It has a minimum, since a small burst divided between the domains would leave
        less than one permit for each, and requests arrive less evenly than permits.
        """
        allowance = self._allowance_of(name)
        if allowance is None:
            return 0.0
        return max(self._min_bucket, allowance.burst / self._domains)


@attrs.define(kw_only=True)
class _Batch:
    count: int
    expires_at: float


class PermitCache:
    """The permits that an entry host holds until use or expiry. Not thread-safe."""

    def __init__(self, *, clock: Clock, lifetime: float) -> None:
        self._clock = clock
        self._lifetime = lifetime
        self._batches: dict[str, list[_Batch]] = {}
        self._expired_counts: dict[str, int] = {}

    def put(self, name: str, count: int, *, asked_at: float) -> None:
        """Add permits that expire one lifetime after ``asked_at``.

        The lifetime is counted from the request, so that a host that was suspended
        after it asked does not use the permits late.
        """
        if count > 0:
            batch = _Batch(count=count, expires_at=asked_at + self._lifetime)
            batches = self._batches.setdefault(name, [])
            # A grant may arrive after one that was asked for later.
            insort(batches, batch, key=lambda each: each.expires_at)

    def take(self, name: str) -> bool:
        """Use one permit, the oldest first; returns false if none is left."""
        self._drop_expired(name)
        for batch in self._batches.get(name, ()):
            if batch.count > 0:
                batch.count -= 1
                return True
        return False

    def count(self, name: str) -> int:
        """Return how many permits are left."""
        self._drop_expired(name)
        return sum(batch.count for batch in self._batches.get(name, ()))

    def take_expired_count(self, name: str) -> int:
        """Return how many permits have expired unused since the last call."""
        self._drop_expired(name)
        return self._expired_counts.pop(name, 0)

    def _drop_expired(self, name: str) -> None:
        now = self._clock.now()
        batches = self._batches.get(name, [])
        while batches and (batches[0].expires_at <= now or batches[0].count == 0):
            dropped = batches.pop(0)
            self._expired_counts[name] = (
                self._expired_counts.get(name, 0) + dropped.count
            )
