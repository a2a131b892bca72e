"""Retry budgets, which limit the extra load that retries put on a service."""

from __future__ import annotations

import threading

import attrs

# All hosts together may send 0.2 retries per request. Each host earns fewer than that;
# the difference is a margin.
RETRIES_EARNED_PER_REQUEST = 0.12
INITIAL_RETRIES = 2.0  # small, because every host starts with them
MAX_SAVED_RETRIES = 6.0


@attrs.define(kw_only=True)
class _Budget:
    balance: float = INITIAL_RETRIES


class RetryBudgets:
    """One retry budget per service; first attempts replenish it. Thread-safe."""

    def __init__(self) -> None:
        self._budgets: dict[str, _Budget] = {}
        self._lock = threading.Lock()

    def earn(self, service: str) -> None:
        """Credit the service's budget for a first attempt."""
        with self._lock:
            budget = self._budgets.setdefault(service, _Budget())
            budget.balance = min(
                MAX_SAVED_RETRIES, budget.balance + RETRIES_EARNED_PER_REQUEST
            )

    def spend(self, service: str) -> bool:
        """Return whether a retry is allowed, and charge it to the budget if so."""
        with self._lock:
            budget = self._budgets.setdefault(service, _Budget())
            if budget.balance < 1:
                return False
            budget.balance -= 1
            return True
