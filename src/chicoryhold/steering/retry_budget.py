"""Limits retries to a fraction of requests, so that they can't amplify an overload."""

from __future__ import annotations

import threading

RETRIES_PER_REQUEST = 0.1
MAX_BALANCE_RETRIES = 10.0


class RetryBudget:
    """Allows ``RETRIES_PER_REQUEST`` retries for each request, on average.

    Thread-safe.
    """

    def __init__(self) -> None:
        self._balance = MAX_BALANCE_RETRIES
        self._lock = threading.Lock()

    def earn(self) -> None:
        """Add what one request contributes to the balance."""
        with self._lock:
            self._balance = min(
                MAX_BALANCE_RETRIES, self._balance + RETRIES_PER_REQUEST
            )

    def spend(self) -> bool:
        """Return whether one more retry is allowed, and if so deduct it."""
        with self._lock:
            if self._balance < 1:
                return False
            self._balance -= 1
            return True
