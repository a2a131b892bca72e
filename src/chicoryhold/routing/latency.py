"""Estimates how soon each target would respond, and finds the fastest."""

from __future__ import annotations

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
    key_hash = stable_hash(affinity_key)
    return sorted(
        views,
        key=lambda v: rendezvous_score(key_hash, stable_hash(v.record.instance)),
        reverse=True,
    )


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
        preferred = by_affinity(criteria.affinity_key, warm or views)[0]
        choices = [
            self._estimate(criteria, view, now, is_preferred=view is preferred)
            for view in views
        ]
        return min(choices, key=lambda choice: choice.expected_latency)

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

    def _estimate(
        self,
        criteria: SelectionCriteria,
        view: TargetView,
        now: float,
        *,
        is_preferred: bool,
    ) -> Estimate:
        times = self._processing_times_of(criteria)
        cold = view.is_cold(now)
        is_hit = not cold and (
            is_preferred or criteria.affinity_key in view.recent_keys
        )
        processing_time = times.estimate(is_hit=is_hit) * (
            COLD_TIME_FACTOR if cold else 1
        )
        slots = max(1, view.slots)
        queued = max(0.0, view.occupancy(now) + 1 - slots)
        slowness = max(MIN_SLOWNESS, view.slowness)
        queue_wait = queued / slots * times.queued_request_time * slowness
        failure_cost = FAILURE_COST_SECONDS * view.failure_rate
        round_trip = self._round_trips.to(view)
        return Estimate(
            view=view,
            expected_latency=processing_time * slowness
            + queue_wait
            + round_trip
            + failure_cost,
            queue_wait=queue_wait,
            processing_time=processing_time,
            is_affinity_hit=is_hit,
            is_cross_region=view.region != self._region,
            is_cold=cold,
        )

    def _processing_times_of(self, criteria: SelectionCriteria) -> ProcessingTimes:
        key = (criteria.route.name, criteria.service)
        times = self._processing_times.get(key)
        if times is None:
            times = ProcessingTimes.initial(criteria.route.objective)
            self._processing_times[key] = times
        return times
