"""A discrete-event simulator, for decision classes with simulated delays."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Simulator:
    """Runs callbacks in time order; its :meth:`now` makes it usable as a clock."""

    def __init__(self) -> None:
        self._now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        # Breaks ties, so that callbacks due at the same time run as scheduled.
        self._sequence = 0

    def now(self) -> float:
        return self._now

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` when ``delay`` seconds have passed."""
        self._sequence += 1
        heapq.heappush(self._queue, (self._now + delay, self._sequence, callback))

    def run(self, until: float) -> None:
        """Run every callback that is due up to ``until``, then set the time to it."""
        while self._queue and self._queue[0][0] <= until:
            self._now, _, callback = heapq.heappop(self._queue)
            callback()
        self._now = until


def percentile(values: list[float], fraction: float) -> float:
    """Return the value at ``fraction`` of the sorted values, 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
