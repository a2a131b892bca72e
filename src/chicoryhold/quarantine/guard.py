"""Keeps an entry host from sending requests that crash targets."""

from __future__ import annotations

import threading
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from random import Random

import attrs

from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.clock import Clock
from chicoryhold.metrics import Metrics
from chicoryhold.quarantine.digest import loggable
from chicoryhold.quarantine.evidence import CrashEvidence
from chicoryhold.quarantine.messages import (
    CrashReport,
    QuarantinedRequest,
    RequestSucceeded,
)
from chicoryhold.quarantine.quarantine import Quarantine
from chicoryhold.quarantine.records import CrashRecords

MAX_REMEMBERED_SUCCESSES = 4_096
MAX_SUSPECTS = 4_096
# A request that succeeded may crash targets later, if their data or code changes.
SUCCESS_VALID_SECONDS = 3.0
# A report is repeated with each presence report for this long, as it may get lost.
REPEAT_SECONDS = 3.0
MAX_REPEATED_REPORTS = 64
# A request that ran at as many targets when they ended isn't sent to one more at once.
RETRY_CRASHES = 2
# Hosts send a request again within this time after its quarantine, one after the other.
MAX_EXTRA_SECONDS = 60.0


@attrs.frozen(kw_only=True)
class _SentReport:
    report: CrashReport
    sent_at: float


class RequestGuard:
    """Decides which requests an entry host may send. Thread-safe.

    It decides by the crashes in ``evidence``, and by what control hosts decide from
    those of all hosts. ``tell`` sends a message to the hosts that collect reports. A
    request that has succeeded here lately doesn't crash targets: other hosts are told
    so if it was at a crash.
    """

    def __init__(
        self, *, evidence: CrashEvidence, clock: Clock, metrics: Metrics,
        random: Random, tell: Callable[[object], None],
    ) -> None:  # fmt: skip
        self._clock = clock
        self._metrics = metrics
        self._tell = tell
        self._records = CrashRecords(
            evidence=evidence,
            quarantine=Quarantine(
                clock=clock,
                metrics=metrics,
                extra_seconds=random.uniform(0.0, MAX_EXTRA_SECONDS),
            ),
        )
        self._succeeded_at: OrderedDict[bytes, float] = OrderedDict()
        self._suspects: OrderedDict[bytes, None] = OrderedDict()
        self._sent: deque[_SentReport] = deque(maxlen=MAX_REPEATED_REPORTS)
        self._lock = threading.Lock()

    def quarantine_seconds(self, request: bytes) -> float:
        """Return for how long ``request`` must not be sent, 0 if it may be."""
        return self._records.quarantine.remaining(request)

    def refusal(self, request: bytes) -> Refusal | None:
        """Return how to refuse ``request`` while it is quarantined."""
        seconds = self.quarantine_seconds(request)
        if not seconds:
            return None
        self._metrics.count("chicoryhold_quarantined_requests_refused")
        return Refusal(
            kind=RefusalKind.QUARANTINED,
            ran=RunStatus.NOT_RUN,
            message=f"request {loggable(request)} was at targets that crashed: see why",
            retry_after=seconds,
        )

    def may_retry(self, request: bytes) -> bool:
        """Whether a request whose target ended may be sent to another one."""
        with self._lock:
            return self._records.crashes_of(request) < RETRY_CRASHES

    def record_crash(self, report: CrashReport) -> None:
        """Take a crash that this host noticed, and report it."""
        with self._lock:
            succeeded = set(filter(self._has_succeeded, report.requests))
            suspects = tuple(each for each in report.requests if each not in succeeded)
            if suspects:
                report = attrs.evolve(report, requests=suspects)
                self._record_suspects(report)
        if suspects:
            self._tell(report)
        for request in succeeded:
            self._tell(RequestSucceeded(request=request))

    def record_report(self, report: CrashReport) -> None:
        """Take a crash that another host has noticed."""
        with self._lock:
            self._records.record_crash(report)

    def record_remote_success(self, request: bytes) -> None:
        """Note that ``request`` has succeeded at another host."""
        with self._lock:
            self._clear(request)

    def record_success(self, request: bytes) -> None:
        """Note that a target has run ``request`` and answered."""
        with self._lock:
            self._succeeded_at[request] = self._clock.now()
            self._succeeded_at.move_to_end(request)
            if len(self._succeeded_at) > MAX_REMEMBERED_SUCCESSES:
                self._succeeded_at.popitem(last=False)
            if request not in self._suspects:
                return
            self._clear(request)
        self._tell(RequestSucceeded(request=request))

    def merge(self, requests: Iterable[QuarantinedRequest]) -> None:
        """Take what a control host has decided, unless this host knows better."""
        with self._lock:
            self._records.merge(requests)
            wrong = [
                request
                for request in self._records.quarantine.active()
                if self._has_succeeded(request)
            ]
            for request in wrong:
                self._clear(request)
        for request in wrong:
            self._tell(RequestSucceeded(request=request))

    def recent_reports(self) -> tuple[CrashReport, ...]:
        """Return the latest reports, to be sent once more."""
        since = self._clock.now() - REPEAT_SECONDS
        with self._lock:
            return tuple(sent.report for sent in self._sent if sent.sent_at >= since)

    def _record_suspects(self, report: CrashReport) -> None:
        self._suspects.update(dict.fromkeys(report.requests))
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        self._records.record_crash(report)
        self._sent.append(_SentReport(report=report, sent_at=self._clock.now()))

    def _clear(self, request: bytes) -> None:
        self._suspects.pop(request, None)
        self._records.record_success(request)

    def _has_succeeded(self, request: bytes) -> bool:
        at = self._succeeded_at.get(request, float("-inf"))
        return self._clock.now() - at < SUCCESS_VALID_SECONDS
