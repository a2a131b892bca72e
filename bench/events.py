"""A fake clock with timed events, enough to drive decision classes with delays."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Events:
    """Runs actions in order of time; its :meth:`now` serves as a clock."""

    def __init__(self) -> None:
        self._now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def now(self) -> float:
        return self._now

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run ``action`` when ``seconds`` have passed."""
        self._number += 1
        heapq.heappush(self._queue, (self._now + seconds, self._number, action))

    def run(self, until: float) -> None:
        """Run every action that is due up to ``until``."""
        while self._queue and self._queue[0][0] <= until:
            self._now, _, action = heapq.heappop(self._queue)
            action()
        self._now = until


def percentile(values: list[float], part: float) -> float:
    """Return the value below which ``part`` of the values lie; 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
