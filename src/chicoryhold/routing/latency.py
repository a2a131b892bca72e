"""Estimates how soon each target would respond, and finds the fastest."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from chicoryhold.routing.affinity import rendezvous_score, stable_hash
from chicoryhold.routing.round_trips import RoundTrips
from chicoryhold.routing.selection import (
    Choice,
    Estimate,
    HostLocation,
    SelectionCriteria,
)
from chicoryhold.routing.target_view import TargetView
from chicoryhold.routing.work_times import ProcessingTimes

COLD_TIME_FACTOR = 2.0  # processing time of a cold target relative to a warm one
FAILURE_COST_SECONDS = 1.0  # added to the expected latency if failure is certain
REMOTE_TARGETS_PER_KEY = 2
MIN_SLOWNESS = 0.3


def by_affinity(affinity_key: str, views: list[TargetView]) -> list[TargetView]:
    """Order targets by their rendezvous score for the affinity key, best first."""
    return sorted(views, key=_affinity_score(affinity_key), reverse=True)


def first_by_affinity(affinity_key: str, views: list[TargetView]) -> TargetView:
    """Return the first of :func:`by_affinity`."""
    return max(views, key=_affinity_score(affinity_key))


def _affinity_score(affinity_key: str) -> Callable[[TargetView], int]:
    key_hash = stable_hash(affinity_key)
    return lambda view: rendezvous_score(key_hash, stable_hash(view.record.instance))


class LatencyEstimator:
    """Learns round trips and processing times, and estimates from them.

    Not thread-safe.
    """

    def __init__(self, *, location: HostLocation) -> None:
        self._region = location.region
        self._round_trips = RoundTrips(
            domain=location.domain,
            region=location.region,
            within_region=location.domain_round_trip,
            to_region=location.region_round_trip,
        )
        self._processing_times: dict[tuple[str, str], ProcessingTimes] = {}

    def fastest(
        self, criteria: SelectionCriteria, views: list[TargetView], now: float
    ) -> Estimate | None:
        """Return the one of ``views`` that is expected to respond first."""
        if not views:
            return None
        warm = [view for view in views if not view.is_cold(now)]
        preferred = first_by_affinity(criteria.affinity_key, warm or views)
        times = self._processing_times_of(criteria)
        key = criteria.affinity_key
        estimates = _Estimates(
            times=times, key=key, preferred=preferred, round_trips=self._round_trips,
            now=now,
        )  # fmt: skip
        best = min(views, key=estimates.expected_latency)
        return estimates.of(best, is_cross_region=best.region != self._region)

    def fastest_remote(
        self, criteria: SelectionCriteria, views: list[TargetView], now: float
    ) -> Estimate | None:
        """Choose among a few targets of another region, to get affinity hits there."""
        candidates = by_affinity(criteria.affinity_key, views)
        return self.fastest(criteria, candidates[:REMOTE_TARGETS_PER_KEY], now)

    def record_connect_time(self, region: str, seconds: float) -> None:
        """Use the time that opening a connection to ``region`` took."""
        self._round_trips.record_connect_time(region, seconds)

    def record_success(
        self, choice: Choice, criteria: SelectionCriteria, *, seconds: float
    ) -> None:
        """Learn from a complete response of a warm target without a queue."""
        processing_time = max(0.001, seconds - self._round_trips.to(choice.view))
        choice.view.record_success(
            ratio=processing_time / max(0.001, choice.processing_time)
        )
        times = self._processing_times_of(criteria)
        times.observe(processing_time, was_hit=choice.is_affinity_hit)

    def _processing_times_of(self, criteria: SelectionCriteria) -> ProcessingTimes:
        key = (criteria.route.name, criteria.service)
        times = self._processing_times.get(key)
        if times is None:
            times = ProcessingTimes.initial(criteria.route.objective)
            self._processing_times[key] = times
        return times


@attrs.frozen(kw_only=True)
class _Estimates:
    """What is expected of targets for one request."""

    times: ProcessingTimes
    key: str
    preferred: TargetView
    round_trips: RoundTrips
    now: float

    def expected_latency(self, view: TargetView) -> float:
        processing_time = self._processing_time(view)
        return (
            processing_time * max(MIN_SLOWNESS, view.slowness)
            + self._queue_wait(view)
            + self.round_trips.to(view)
            + FAILURE_COST_SECONDS * view.failure_rate
        )

    def of(self, view: TargetView, *, is_cross_region: bool) -> Estimate:
        return Estimate(
            view=view,
            expected_latency=self.expected_latency(view),
            queue_wait=self._queue_wait(view),
            processing_time=self._processing_time(view),
            is_affinity_hit=self._is_hit(view),
            is_cross_region=is_cross_region,
            is_cold=view.is_cold(self.now),
        )

    def _processing_time(self, view: TargetView) -> float:
        seconds = self.times.estimate(is_hit=self._is_hit(view))
        return seconds * COLD_TIME_FACTOR if view.is_cold(self.now) else seconds

    def _is_hit(self, view: TargetView) -> bool:
        is_known = view is self.preferred or self.key in view.recent_keys
        return is_known and not view.is_cold(self.now)

    def _queue_wait(self, view: TargetView) -> float:
        slots = max(1, view.slots)
        queued = view.occupancy(self.now) + 1 - slots
        if queued <= 0:
            return 0.0
        slowness = max(MIN_SLOWNESS, view.slowness)
        return queued / slots * self.times.queued_request_time * slowness
