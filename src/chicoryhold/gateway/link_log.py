"""Counts opened and failed connections to targets, and logs failures in summary."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable

from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.metrics import Metrics
from chicoryhold.state.targets import TargetRecord
from chicoryhold.targets.link_failures import LinkFailure

LOG_INTERVAL_SECONDS = 1.0


class LinkLog:
    """Logs at most one summary a second, and only if connections failed. Thread-safe.

    ``record_of`` returns the record of the target at an address, if it is known. Many
    services and domains with failures and no opened connection point to the network of
    this host; one service or domain points to these targets.
    """

    def __init__(
        self, *, record_of: Callable[[str], TargetRecord | None], clock: Clock,
        metrics: Metrics,
    ) -> None:  # fmt: skip
        self._record_of = record_of
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._started_at = clock.now()
        self._opened = 0
        self._failures: Counter[LinkFailure] = Counter()
        self._addresses: set[str] = set()

    def record_opened(self) -> None:
        self._metrics.count("chicoryhold_target_connections_opened")
        with self._lock:
            self._opened += 1

    def record_failure(self, address: str, failure: LinkFailure) -> None:
        self._metrics.count(
            "chicoryhold_target_connections_failed", failure=failure.value
        )
        with self._lock:
            self._failures[failure] += 1
            self._addresses.add(address)
            if self._clock.now() - self._started_at >= LOG_INTERVAL_SECONDS:
                self._write()

    def _write(self) -> None:
        records = [r for r in map(self._record_of, self._addresses) if r is not None]
        now = self._clock.now()
        logger.bind(
            opened=self._opened,
            **{failure.value: count for failure, count in self._failures.items()},
            targets=len(self._addresses),
            services=sorted({record.service for record in records}),
            domains=sorted({record.domain for record in records}),
            seconds=round(now - self._started_at, 1),
        ).info("gateway: connections to targets failed.")
        self._started_at = now
        self._opened = 0
        self._failures.clear()
        self._addresses.clear()
