"""Notices that this process didn't run for a time."""

from __future__ import annotations

import time
from collections.abc import Callable

from loguru import logger

from chicoryhold.clock import Clock

LOGGED_PAUSE_SECONDS = 0.5


class PauseWatch:
    """Measures the time between its checks, which one thread makes at short intervals.

    ``processor_time`` returns the seconds of processor time that this process has used.
    During a pause it uses none; with a blocked thread or a busy machine it uses some.
    """

    def __init__(
        self, *, clock: Clock, processor_time: Callable[[], float] = time.process_time
    ) -> None:
        self._clock = clock
        self._processor_time = processor_time
        self._checked_at: float | None = None
        self._used = 0.0

    @property
    def unchecked_seconds(self) -> float:
        """Seconds since the last check; 0 before the first one."""
        if self._checked_at is None:
            return 0.0
        return self._clock.now() - self._checked_at

    def check(self) -> float:
        """Log a pause that has just ended; return the seconds since the last check."""
        gap = self.unchecked_seconds
        used_before, self._used = self._used, self._processor_time()
        self._checked_at = self._clock.now()
        if gap >= LOGGED_PAUSE_SECONDS:
            logger.bind(
                seconds=round(gap, 3),
                processor_seconds=round(self._used - used_before, 3),
            ).warning("process: it was paused or got no processor time.")
        return gap
