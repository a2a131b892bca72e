"""A target's state as estimated by one entry host from its exchanges and reports."""

from __future__ import annotations

import math

import attrs

from chicoryhold.routing.affinity import RecentKeys
from chicoryhold.state.targets import TargetRecord

EJECT_AFTER_FAILURES = 3  # consecutive
MIN_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 8.0
LOAD_SMOOTHING_SECONDS = 0.4  # time constant for the load from other hosts
REPORT_VALID_SECONDS = 0.5  # age up to which a load report has full weight
REPORT_DECAY_SECONDS = 0.7  # time constant of the weight's decay after that
SMOOTHING_FACTOR = 0.15  # of the failure rate and the slowness


@attrs.frozen(kw_only=True)
class LoadReport:
    """A target's report of its running and waiting requests.

    ``slots`` is the number of requests that it can run at the same time.
    """

    running: int
    waiting: int
    slots: int


@attrs.define(kw_only=True)
class TargetView:
    """State of one target. Times are on the local clock, in seconds.

    ``in_flight`` counts this host's own requests at the target. ``failures`` counts the
    failures since the last success, ``failure_rate`` is the smoothed fraction of
    exchanges that failed, ``failed_at`` the time of the last failure,
    ``is_unreachable`` whether that one was a connection that couldn't be opened.
    ``slowness`` is the smoothed ratio of the target's processing times to the expected
    ones. ``other_requests`` is the smoothed number of requests from other hosts at the
    target. ``cold_rate`` is the number of requests per second that it takes from all
    hosts together while it is cold. Until ``denied_until`` this host asks for no permit
    to send it a request, after one was denied.
    """

    record: TargetRecord
    region: str
    cold_until: float
    in_flight: int = 0
    load: LoadReport | None = None
    load_reported_at: float = float("-inf")
    other_requests: float = 0.0
    failures: int = 0
    failure_rate: float = 0.0
    failed_at: float = float("-inf")
    is_unreachable: bool = False
    slowness: float = 1.0
    ejected_until: float = float("-inf")
    next_ejection_seconds: float = MIN_EJECTION_SECONDS
    recent_keys: RecentKeys = attrs.field(factory=RecentKeys)
    cold_rate: float = 0.0
    denied_until: float = float("-inf")

    @property
    def slots(self) -> int:
        return self.load.slots if self.load and self.load.slots else self.record.slots

    def occupancy(self, now: float) -> float:
        """Return the estimated number of requests at the target, from all hosts.

        Requests of other hosts count for less as the last load report gets older.
        Otherwise a target that reported being full would never get a request again.
        """
        if not self.other_requests:
            return self.in_flight
        return self.in_flight + self.other_requests * self._report_weight(now)

    def _report_weight(self, now: float) -> float:
        return math.exp(
            -max(0.0, now - self.load_reported_at - REPORT_VALID_SECONDS)
            / REPORT_DECAY_SECONDS
        )

    def is_cold(self, now: float) -> bool:
        return now < self.cold_until

    def record_sent(self) -> None:
        self.in_flight += 1

    def record_load(self, load: LoadReport, now: float) -> None:
        """Take the load report that came with the response to a request."""
        reported = max(0, load.running + load.waiting - max(0, self.in_flight - 1))
        weight = 1 - math.exp(-(now - self.load_reported_at) / LOAD_SMOOTHING_SECONDS)
        previous = self.other_requests * self._report_weight(now)
        self.other_requests = previous + max(0.2, weight) * (reported - previous)
        self.load = load
        self.load_reported_at = now

    def record_end(self) -> None:
        self.in_flight = max(0, self.in_flight - 1)

    def record_success(self, *, ratio: float) -> None:
        """Record a success; ``ratio`` is its processing time to the expected one."""
        self.failures = 0
        self.is_unreachable = False
        self.failure_rate *= 1 - SMOOTHING_FACTOR
        self.next_ejection_seconds = MIN_EJECTION_SECONDS
        self.slowness += SMOOTHING_FACTOR * (ratio - self.slowness)

    def record_failure(self, now: float, *, unreachable: bool) -> bool:
        """Count a failure and return whether the target is now ejected for a time."""
        self.failures += 1
        self.failed_at = now
        self.is_unreachable = unreachable
        self.failure_rate += SMOOTHING_FACTOR * (1 - self.failure_rate)
        if not unreachable and self.failures < EJECT_AFTER_FAILURES:
            return False
        self.ejected_until = now + self.next_ejection_seconds
        self.next_ejection_seconds = min(
            2 * self.next_ejection_seconds, MAX_EJECTION_SECONDS
        )
        return True

    def forget_failures(self) -> None:
        """Treat the target as if it had not failed."""
        self.failures = 0
        self.is_unreachable = False
        self.failure_rate = 0.0
        self.ejected_until = float("-inf")
        self.next_ejection_seconds = MIN_EJECTION_SECONDS
