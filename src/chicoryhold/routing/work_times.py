"""Estimated processing times of a route's requests, by affinity hit or miss."""

from __future__ import annotations

import attrs

SMOOTHING_FACTOR = 0.05
# Initial estimates, used until the first measurements.
DEFAULT_MISS_FRACTION = 0.8  # time of a miss as a fraction of the objective
DEFAULT_HIT_FRACTION = 0.4  # time of a hit as a fraction of that of a miss
DEFAULT_MISS_SECONDS = 0.3  # time of a miss on routes without a latency objective


@attrs.define(kw_only=True)
class ProcessingTimes:
    """Smoothed processing times in seconds, without the wait in the target's queue.

    A request is a hit if the target has recently handled its affinity key.
    """

    hit: float
    miss: float

    @classmethod
    def initial(cls, objective: float) -> ProcessingTimes:
        miss = (
            DEFAULT_MISS_FRACTION * objective if objective > 0 else DEFAULT_MISS_SECONDS
        )
        return cls(hit=DEFAULT_HIT_FRACTION * miss, miss=miss)

    @property
    def queued_request_time(self) -> float:
        """Estimated processing time of a request that is ahead in the queue.

        Most queued requests are hits. The estimate is higher than the time of a hit
        because load reports are outdated by the time they are used, and sending the
        request to another target nearby costs little.
        """
        return (self.hit + self.miss) / 2

    def estimate(self, *, is_hit: bool) -> float:
        return self.hit if is_hit else self.miss

    def observe(self, seconds: float, *, was_hit: bool) -> None:
        if was_hit:
            self.hit += SMOOTHING_FACTOR * (seconds - self.hit)
        else:
            self.miss += SMOOTHING_FACTOR * (seconds - self.miss)
