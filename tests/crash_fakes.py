"""A crash watch for tests, which checks targets at once and records the reports."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Executor, Future
from random import Random

import attrs

from chicoryhold.clock import Clock
from chicoryhold.metrics import Metrics
from chicoryhold.quarantine.crash_watch import CrashWatch
from chicoryhold.quarantine.evidence import AMBIGUOUS_CRASHES, CrashEvidence
from chicoryhold.quarantine.guard import RequestGuard
from chicoryhold.quarantine.messages import CrashReport


class ImmediateExecutor(Executor):
    """Runs each call in the calling thread."""

    def submit(self, fn, /, *args, **kwargs) -> Future:
        future: Future = Future()
        future.set_result(fn(*args, **kwargs))
        return future


@attrs.define(kw_only=True)
class CrashedTargets:
    """Which addresses refuse connections, and what was reported.

    ``checks`` counts the connections that were opened to find out.
    """

    refusing: set[str] = attrs.field(factory=set)
    reports: list[CrashReport] = attrs.field(factory=list)
    is_cut_off: bool = False
    on_crash: Callable[[CrashReport], None] | None = None
    checks: int = 0

    def watch(
        self, clock: Clock, *, sleep: Callable[[float], None] = lambda seconds: None
    ) -> CrashWatch:
        return CrashWatch(
            on_crash=self.on_crash or self.reports.append,
            executor=ImmediateExecutor(),
            clock=clock,
            metrics=Metrics(process="test"),
            is_cut_off=lambda: self.is_cut_off,
            is_refusing=self._is_refusing,
            sleep=sleep,
        )

    def _is_refusing(self, address: str) -> bool:
        self.checks += 1
        return address in self.refusing


def a_guard(clock: Clock, *, told: list[object] | None = None) -> RequestGuard:
    """Return a guard whose messages to control hosts are added to ``told``."""
    told = told if told is not None else []
    return RequestGuard(
        evidence=CrashEvidence(clock=clock, confirming_crashes=AMBIGUOUS_CRASHES),
        clock=clock,
        metrics=Metrics(process="test"),
        random=Random(1),
        tell=told.append,
    )
