"""Limits retries to a fraction of requests, so that they can't amplify an overload."""

from __future__ import annotations

import threading

RETRIES_PER_REQUEST = 0.1
MAX_BALANCE = 10.0


class RetryBudget:
    """Allows ``RETRIES_PER_REQUEST`` retries for each request, on average.

    Safe to use from many threads.
    """

    def __init__(self) -> None:
        self._balance = MAX_BALANCE
        self._lock = threading.Lock()

    def earn(self) -> None:
        """Add what one request contributes to the balance."""
        with self._lock:
            self._balance = min(MAX_BALANCE, self._balance + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Return whether one more retry is allowed, and if so deduct it."""
        with self._lock:
            if self._balance < 1:
                return False
            self._balance -= 1
            return True
