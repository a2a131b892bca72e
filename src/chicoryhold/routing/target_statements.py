"""What targets state of themselves in their answers, as this host has heard it."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.metrics import Metrics
from chicoryhold.routing.back_offs import BackOffs
from chicoryhold.routing.stated_limits import (
    NO_LIMIT,
    RateStatement,
    StatedLimits,
    StatingTarget,
)
from chicoryhold.routing.target_view import LoadReport

MAX_LEAVING = 4096  # instances; those that said it the longest ago are dropped first
LOG_INTERVAL_SECONDS = 2.0


@attrs.frozen(kw_only=True)
class TargetStatement:
    """What one answer states of the target that it comes from.

    ``limit`` is what it says about the requests per second that the target takes from
    all hosts together. ``is_leaving`` means that the target wants no new request, for
    good, ``back_off`` that it wants none from this host for so many seconds.
    ``unreadable`` is a statement about leaving that can't be read, and so counts as
    none.
    """

    load: LoadReport | None = None
    limit: RateStatement = NO_LIMIT
    is_leaving: bool = False
    back_off: float | None = None
    unreadable: str = ""


@attrs.frozen(kw_only=True)
class _Leaving:
    born_ms: int
    heard_at: float


class TargetStatements:
    """What each target stated last, and which said that they leave. Thread-safe.

    That a target leaves is final for its process. It doesn't depend on what the control
    state says of the target, before or after, and is never forgotten while the number
    of such instances is at most ``max_leaving``. A process of the same instance that
    was started later isn't bound by it.
    """

    def __init__(
        self, *, limits: StatedLimits, clock: Clock, metrics: Metrics,
        max_leaving: int = MAX_LEAVING,
    ) -> None:  # fmt: skip
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._max_leaving = max_leaving
        self._leaving: OrderedDict[str, _Leaving] = OrderedDict()
        self._back_offs = BackOffs(clock=clock)
        self._on_leaving: Callable[[], None] = lambda: None
        self._unreadable = 0
        self._logged_at = float("-inf")
        self._lock = threading.Lock()

    @property
    def limits(self) -> StatedLimits:
        """The limits that targets have named."""
        return self._limits

    def on_leaving(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after a target has said for the first time that it leaves.

        Until it returns, the answer isn't passed on.
        """
        self._on_leaving = callback

    def record(
        self, target: StatingTarget, statement: TargetStatement, *,
        is_failure: bool = False,
    ) -> None:  # fmt: skip
        """Note what a complete answer of ``target`` states.

        A failure doesn't show that the target names no limit.
        """
        if statement.unreadable:
            self._log_unreadable(target, statement)
        if statement.is_leaving:
            self.record_leaving(target)
        if statement.back_off and self._back_offs.record(target, statement.back_off):
            self._metrics.count("chicoryhold_target_back_offs")
            logger.bind(
                target=target.instance, seconds=round(statement.back_off, 3)
            ).info("statements: a target turned a request away; it gets none for now.")
        if not (is_failure and statement.limit == NO_LIMIT):
            self._limits.record_answer(target, statement.limit)

    def record_leaving(self, target: StatingTarget) -> bool:
        """Note that ``target`` leaves; return whether that is new."""
        with self._lock:
            known = self._leaving.get(target.instance)
            is_new = known is None or known.born_ms < target.born_ms
            if is_new:
                self._leaving[target.instance] = _Leaving(
                    born_ms=target.born_ms, heard_at=self._clock.now()
                )
            self._leaving.move_to_end(target.instance)
            while len(self._leaving) > self._max_leaving:
                self._leaving.popitem(last=False)
        if is_new:
            self._metrics.count("chicoryhold_targets_that_said_they_leave")
            self._on_leaving()
        return is_new

    def is_leaving(self, target: StatingTarget) -> bool:
        """Return whether ``target`` has said that it leaves."""
        known = self._leaving.get(target.instance)
        return known is not None and target.born_ms <= known.born_ms

    @property
    def has_back_offs(self) -> bool:
        """Whether any target wants no request from this host now."""
        return self._back_offs.is_any_left

    def back_off_seconds(self, target: StatingTarget) -> float:
        """Return for how many seconds ``target`` wants nothing from this host."""
        return self._back_offs.remaining(target)

    def leaving_since(self, target: StatingTarget) -> float | None:
        """Return when ``target`` first said that it leaves, ``None`` if never."""
        known = self._leaving.get(target.instance)
        if known is None or known.born_ms < target.born_ms:
            return None
        return known.heard_at

    def count_left_out(self) -> None:
        """Count a choice in which targets were left out only since they leave."""
        self._metrics.count("chicoryhold_choices_without_leaving_targets")

    def _log_unreadable(
        self, target: StatingTarget, statement: TargetStatement
    ) -> None:
        now = self._clock.now()
        with self._lock:
            self._unreadable += 1
            if now - self._logged_at < LOG_INTERVAL_SECONDS:
                return
            count, self._unreadable = self._unreadable, 0
            self._logged_at = now
        logger.bind(
            target=target.instance, value=statement.unreadable, count=count
        ).warning("statements: a target's statement on leaving can't be read.")
