"""The quarantine of entry hosts whose settings name all hosts.

Each host tells all others of the crashes that it notices, and each decides alike.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

import attrs

from chicoryhold.clock import Clock
from chicoryhold.hosts.bus import Bus
from chicoryhold.metrics import Metrics
from chicoryhold.quarantine.crash_watch import CrashWatch, crash_check_threads
from chicoryhold.quarantine.evidence import CrashEvidence
from chicoryhold.quarantine.guard import RequestGuard
from chicoryhold.quarantine.messages import CrashReport, RequestSucceeded
from chicoryhold.settings import EntrySettings


@attrs.frozen(kw_only=True)
class EntryQuarantine:
    """What notices crashes, and what decides which requests may be sent."""

    crashes: CrashWatch
    guard: RequestGuard


@contextmanager
def running_quarantine(
    settings: EntrySettings, *, bus: Bus, clock: Clock, metrics: Metrics,
    is_cut_off: Callable[[], bool],
) -> Iterator[EntryQuarantine]:  # fmt: skip
    """Run the quarantine of one host; ``is_cut_off`` is that of its crash watch."""
    guard = _create_guard(settings, bus, clock, metrics)
    _take_reports(bus, guard)
    with crash_check_threads() as executor:
        crashes = CrashWatch(
            on_crash=guard.record_crash,
            executor=executor,
            clock=clock,
            metrics=metrics,
            is_cut_off=is_cut_off,
        )
        yield EntryQuarantine(crashes=crashes, guard=guard)


def _create_guard(
    settings: EntrySettings, bus: Bus, clock: Clock, metrics: Metrics
) -> RequestGuard:
    others = [
        name
        for domain in settings.domains.values()
        for name in domain.hosts
        if name != settings.name
    ]

    def tell(message: object) -> None:
        for name in others:
            bus.tell(name, message)

    return RequestGuard(
        evidence=CrashEvidence(clock=clock),
        clock=clock,
        metrics=metrics,
        random=Random(settings.name),
        tell=tell,
    )


def _take_reports(bus: Bus, guard: RequestGuard) -> None:
    def take_report(sender: str, report: CrashReport) -> None:
        guard.record_report(report)

    def take_success(sender: str, success: RequestSucceeded) -> None:
        guard.record_remote_success(success.request)

    bus.handle(CrashReport, take_report)
    bus.handle(RequestSucceeded, take_success)
