"""Bounds how often a service gets requests a second time, over all hosts."""

from __future__ import annotations

import threading

import attrs

EARNED_PER_REQUEST = 0.12  # the fleet may send 0.2 more; the rest is a reserve
START_RESERVE = 2.0  # requests; small, because every host of the fleet has it
LARGEST_RESERVE = 6.0  # requests


@attrs.define(kw_only=True)
class _Budget:
    reserve: float = START_RESERVE


class RetryBudgets:
    """One budget a service, earned by its first sends. Safe for many threads."""

    def __init__(self) -> None:
        self._budgets: dict[str, _Budget] = {}
        self._lock = threading.Lock()

    def earn(self, service: str) -> None:
        with self._lock:
            budget = self._budgets.setdefault(service, _Budget())
            budget.reserve = min(LARGEST_RESERVE, budget.reserve + EARNED_PER_REQUEST)

    def spend(self, service: str) -> bool:
        """Return whether one more send is allowed, and count it."""
        with self._lock:
            budget = self._budgets.setdefault(service, _Budget())
            if budget.reserve < 1:
                return False
            budget.reserve -= 1
            return True
