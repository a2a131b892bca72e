"""The rate limits that targets name in their answers."""

from __future__ import annotations

import threading
from collections import Counter

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.metrics import Metrics
from chicoryhold.state.targets import TargetRecord

LOG_INTERVAL_SECONDS = 2.0


@attrs.frozen(kw_only=True)
class RateStatement:
    """What an answer of a target says about its rate limit.

    ``rate`` is in requests per second, from all hosts together. It is ``None`` if the
    answer names no limit, or if ``is_readable`` is false.
    """

    rate: float | None = None
    is_readable: bool = True


@attrs.frozen(kw_only=True)
class _Known:
    """The latest statement of one target process, made at ``stated_at``.

    The target has named limits since ``since``, on the local clock.
    """

    born_ms: int
    rate: float | None
    stated_at: float
    since: float


class StatedLimits:
    """The latest limit of each target that has named one. Thread-safe."""

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._known: dict[str, _Known] = {}
        self._sent: Counter[str] = Counter()
        self._logged_at = clock.now()
        self._lock = threading.Lock()
        metrics.gauge("chicoryhold_limited_targets", lambda: len(self.rates()))

    def rates(self) -> dict[str, float]:
        """Return the limits in force, by instance."""
        return {
            instance: known.rate
            for instance, known in list(self._known.items())
            if known.rate is not None
        }

    def record_answer(self, target: TargetRecord, statement: RateStatement) -> None:
        """Note what a complete answer of ``target`` says about its limit."""
        if not statement.is_readable:
            return
        with self._lock:
            known = self._known.get(target.instance)
            if statement.rate is None and known is None:
                return
            self._set(target.instance, target.born_ms, statement.rate)

    def record_sent(self, instance: str) -> None:
        """Count a request to a target, and log those to targets with a limit."""
        known = self._known.get(instance)
        if known is None or known.rate is None:
            return
        self._metrics.count("chicoryhold_requests_to_limited_targets")
        with self._lock:
            self._sent[instance] += 1
            if self._clock.now() - self._logged_at >= LOG_INTERVAL_SECONDS:
                self._log_sent()

    def keep_only(self, records: dict[str, TargetRecord]) -> None:
        """Forget the limits of processes that aren't in ``records``."""
        with self._lock:
            self._known = {
                instance: known
                for instance, known in self._known.items()
                if instance in records and records[instance].born_ms <= known.born_ms
            }

    def _set(self, instance: str, born_ms: int, rate: float | None) -> None:
        now = self._clock.now()
        previous = self._known.get(instance)
        was_limited = previous is not None and previous.rate is not None
        since = previous.since if was_limited else now
        self._known[instance] = _Known(
            born_ms=born_ms, rate=rate, stated_at=now, since=since
        )
        if previous is None or previous.rate != rate:
            logger.bind(
                target=instance,
                rate=rate,
                before=previous.rate if previous else None,
                seconds=round(now - since, 1),
            ).info("limits: a target named another limit.")

    def _log_sent(self) -> None:
        now = self._clock.now()
        rates = self.rates()
        logger.bind(
            seconds=round(now - self._logged_at, 1),
            sent={instance: count for instance, count in self._sent.items()},
            limits={instance: rates.get(instance) for instance in self._sent},
        ).info("limits: requests from this host to targets with a limit.")
        self._logged_at = now
        self._sent.clear()
