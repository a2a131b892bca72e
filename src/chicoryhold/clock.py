"""Sources of elapsed time."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Returns seconds since an arbitrary start, never going backwards."""

    def now(self) -> float: ...


class BootClock:
    """Time since boot, which also advances while the machine is suspended.

    ``time.monotonic`` stops during a suspend on Linux, so a lease checked against
    it would look valid on a machine that slept through its end.
    """

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
