"""Clocks that measure elapsed time."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock: returns seconds since an arbitrary start."""

    def now(self) -> float: ...


class BootClock:
    """Time since boot, which also advances while the machine is suspended.

    On Linux, ``time.monotonic`` stops during a suspend, so a lease checked against
    it would still look valid on a machine that was suspended past its expiry.
    """

    def now(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
