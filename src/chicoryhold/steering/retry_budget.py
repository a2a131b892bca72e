"""Bounds retries to a part of the requests, so that they can't feed an overload."""

from __future__ import annotations

import threading

RETRIES_PER_REQUEST = 0.1
LARGEST_RESERVE = 10.0


class RetryBudget:
    """Each request earns a part of a retry. Safe to use from many threads."""

    def __init__(self) -> None:
        self._reserve = LARGEST_RESERVE
        self._lock = threading.Lock()

    def earn(self) -> None:
        """Count one request."""
        with self._lock:
            self._reserve = min(LARGEST_RESERVE, self._reserve + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Return whether one more retry is allowed, and count it."""
        with self._lock:
            if self._reserve < 1:
                return False
            self._reserve -= 1
            return True
