"""Limits retries to a fraction of requests, so that they can't amplify an overload."""

from __future__ import annotations

import threading

import attrs


@attrs.frozen(kw_only=True)
class RetryTerms:
    """How many retries a host may send: for each request, at first, and saved up."""

    earned_per_request: float
    initial: float
    max_saved: float


# All hosts together may send 0.2 retries per request. Each host earns fewer than that;
# the difference is a margin. The initial number is small, as every host starts with it.
FLEET_TERMS = RetryTerms(earned_per_request=0.12, initial=2.0, max_saved=6.0)


class RetryBudget:
    """The retries of one kind of request; first attempts replenish it. Thread-safe."""

    def __init__(self, *, terms: RetryTerms) -> None:
        self._terms = terms
        self._balance = terms.initial
        self._lock = threading.Lock()

    @property
    def allows_retry(self) -> bool:
        """Whether a retry would be allowed now."""
        return self._balance >= 1

    def earn(self) -> None:
        """Credit the budget for a first attempt."""
        with self._lock:
            earned = self._balance + self._terms.earned_per_request
            self._balance = min(self._terms.max_saved, earned)

    def spend(self) -> bool:
        """Return whether a retry is allowed, and charge it to the budget if so."""
        with self._lock:
            if not self.allows_retry:
                return False
            self._balance -= 1
            return True


class RetryBudgets:
    """One retry budget for each service or route. Thread-safe."""

    def __init__(self, *, terms: RetryTerms = FLEET_TERMS) -> None:
        self._terms = terms
        self._budgets: dict[str, RetryBudget] = {}
        self._lock = threading.Lock()

    def allows_retry(self, name: str) -> bool:
        """Return whether a retry would be allowed now."""
        return self._budget(name).allows_retry

    def earn(self, name: str) -> None:
        """Credit the budget of ``name`` for a first attempt."""
        self._budget(name).earn()

    def spend(self, name: str) -> bool:
        """Return whether a retry is allowed, and charge it to the budget if so."""
        return self._budget(name).spend()

    def _budget(self, name: str) -> RetryBudget:
        with self._lock:
            budget = self._budgets.get(name)
            if budget is None:
                budget = self._budgets[name] = RetryBudget(terms=self._terms)
            return budget
