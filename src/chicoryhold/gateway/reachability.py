"""Decides whether this host is cut off from all targets."""

from __future__ import annotations

import threading
from collections.abc import Callable

import attrs

from chicoryhold.clock import Clock

SUSPICION_FAILURES = 2  # distinct targets that failed since a connection was opened
MAX_UNNOTICED_SECONDS = 10.0  # earlier failures aren't taken for part of a cut
FAILURE_WINDOW_SECONDS = 2.0  # older failures raise no suspicion
# After a probe that found a target, failures raise no suspicion for this long. It
# bounds the connections that an outage of a whole service makes a host open.
PROBE_INTERVAL_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class ProbeResult:
    """What a set of simultaneous connects to different targets showed."""

    started_at: float
    probed: int
    reached: int


class TargetReachability:
    """Combines the outcomes of connections to targets into one verdict. Thread-safe.

    Failures at several targets only raise a suspicion, as they may all belong to one
    service that is down. The verdict follows from the result of a probe: the host is
    cut off if no probed target of any service and domain can be reached, and no other
    connection was opened meanwhile. A response over an old connection doesn't count, as
    the network may reject new ones only.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._on_suspicion: Callable[[], None] = lambda: None
        self._lock = threading.Lock()
        self._failed_at: dict[str, float] = {}
        self._failing_since = float("inf")
        self._last_failure_at = float("-inf")
        self._opened_at = float("-inf")
        self._next_probe_at = float("-inf")
        self._is_suspected = False
        self._is_cut_off = False
        self._cut_off_since = float("-inf")

    @property
    def is_cut_off(self) -> bool:
        return self._is_cut_off

    @property
    def cut_off_since(self) -> float:
        """When the failures began that led to the latest verdict of being cut off.

        Targets may get out of reach one after the other, so a connection that is opened
        between two failures doesn't separate them, if they follow each other closely.
        """
        return self._cut_off_since

    @property
    def needs_probe(self) -> bool:
        return self._is_suspected or self._is_cut_off

    @property
    def failed_addresses(self) -> frozenset[str]:
        """The targets that failed since a connection was last opened."""
        return frozenset(self._failed_at)

    def on_suspicion(self, action: Callable[[], None]) -> None:
        """Call ``action`` whenever a suspicion arises."""
        self._on_suspicion = action

    def record_opened(self) -> None:
        """Note that a connection to a target was opened."""
        with self._lock:
            self._opened_at = self._clock.now()
            self._failed_at.clear()
            self._is_suspected = False

    def record_failure(self, address: str) -> None:
        """Note that no connection could be opened, or that an open one was lost."""
        with self._lock:
            now = self._clock.now()
            self._extend_failures(now)
            self._failed_at[address] = now
            if self.needs_probe or now < self._next_probe_at:
                return
            self._failed_at = {
                failed: at
                for failed, at in self._failed_at.items()
                if at >= now - FAILURE_WINDOW_SECONDS
            }
            self._is_suspected = len(self._failed_at) >= SUSPICION_FAILURES
            is_new_suspicion = self._is_suspected
        if is_new_suspicion:
            self._on_suspicion()

    def record_probe(self, result: ProbeResult) -> bool:
        """Take the result of a probe; return whether the verdict has changed.

        Probing a single target doesn't show a cut, as it may be down itself.
        """
        with self._lock:
            was_cut_off = self._is_cut_off
            self._is_suspected = False
            if result.reached or self._opened_at >= result.started_at:
                self._next_probe_at = self._clock.now() + PROBE_INTERVAL_SECONDS
                self._failed_at.clear()
                self._is_cut_off = False
            elif not was_cut_off and result.probed >= SUSPICION_FAILURES:
                self._is_cut_off = True
                self._cut_off_since = max(
                    min(self._failing_since, result.started_at),
                    result.started_at - MAX_UNNOTICED_SECONDS,
                )
            return was_cut_off != self._is_cut_off

    def _extend_failures(self, now: float) -> None:
        """Begin a new series of failures at ``now``, or continue the last one.

        The last one has ended if a connection was opened since its failures, and they
        are older than ``FAILURE_WINDOW_SECONDS``.
        """
        is_recent = now - self._last_failure_at <= FAILURE_WINDOW_SECONDS
        if not self._failed_at and not is_recent:
            self._failing_since = now
        self._last_failure_at = now
