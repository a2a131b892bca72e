"""Estimated round trip times to targets, learned from opening connections."""

from __future__ import annotations

import attrs

from chicoryhold.routing.target_view import TargetView

SMOOTHING_FACTOR = 0.02


@attrs.define(kw_only=True)
class RoundTrips:
    """Round trip times in seconds from a host in ``domain`` and ``region``.

    ``within_region`` applies to other domains of the same region, ``to_region`` to
    another region until the round trip there has been measured.
    """

    domain: str
    region: str
    within_region: float
    to_region: float
    _by_region: dict[str, float] = attrs.field(factory=dict, init=False)

    def to(self, view: TargetView) -> float:
        """Return the estimated round trip to a target."""
        if view.record.domain == self.domain:
            return 0.0
        if view.region == self.region:
            return self.within_region
        return self._by_region.get(view.region, self.to_region)

    def record_connect_time(self, region: str, seconds: float) -> None:
        """Use the time that opening a connection to ``region`` took."""
        if region == self.region:
            return
        previous = self._by_region.get(region)
        if previous is None or seconds < previous:
            self._by_region[region] = seconds
        else:
            # Lost packets lengthen single connects, so an increase is capped and
            # smoothed: only a lasting one raises the estimate.
            measured = min(seconds, 2 * previous)
            self._by_region[region] = previous + SMOOTHING_FACTOR * (
                measured - previous
            )
