"""Checks what simulated targets have seen against the users' rules."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

LIMIT_WINDOW_SECONDS = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_EXTRA_REQUESTS = 5


MAX_CRASHES = 3
MAX_LATE_RETRIES = 3


@attrs.frozen(kw_only=True)
class CrashResult:
    """How often a request crashed targets, and how often it was sent once known.

    It is known ``known_seconds`` after it has crashed the third target.
    """

    crashes: int
    late_retries: int

    @property
    def is_kept(self) -> bool:
        return self.late_retries <= MAX_LATE_RETRIES


def check_crashes(times: Iterable[float], *, known_seconds: float) -> CrashResult:
    """Check a request that crashes each target; ``times`` are those of its runs."""
    runs = sorted(times)
    late = 0
    if len(runs) > MAX_CRASHES:
        known_at = runs[MAX_CRASHES - 1] + known_seconds
        late = sum(at > known_at for at in runs)
    return CrashResult(crashes=len(runs), late_retries=late)


@attrs.frozen(kw_only=True)
class LimitResult:
    """The most requests that a target with a limit got in a window, and may get."""

    most: int
    allowed: float

    @property
    def is_kept(self) -> bool:
        return self.most <= self.allowed


def check_limit(times: Iterable[float], *, rate: float, since: float) -> LimitResult:
    """Check a target that takes ``rate`` requests a second from all hosts.

    ``times`` are those of its requests in seconds. The rule counts from ``since`` on.
    """
    counted = sorted(at for at in times if at >= since)
    most = 0
    first = 0
    for index, at in enumerate(counted):
        while counted[first] <= at - LIMIT_WINDOW_SECONDS:
            first += 1
        most = max(most, index - first + 1)
    allowed = LIMIT_TOLERANCE * rate * LIMIT_WINDOW_SECONDS + LIMIT_EXTRA_REQUESTS
    return LimitResult(most=most, allowed=allowed)
