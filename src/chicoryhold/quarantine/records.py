"""Combines the evidence about crashes with the quarantine that follows from it."""

from __future__ import annotations

from collections.abc import Iterable

from chicoryhold.quarantine.evidence import CrashEvidence, CrashId
from chicoryhold.quarantine.messages import CrashReport, QuarantinedRequest
from chicoryhold.quarantine.quarantine import Quarantine


class CrashRecords:
    """What one host knows about requests that crash targets. Not thread-safe."""

    def __init__(self, *, evidence: CrashEvidence, quarantine: Quarantine) -> None:
        self._evidence = evidence
        self._quarantine = quarantine

    @property
    def quarantine(self) -> Quarantine:
        return self._quarantine

    def record_crash(self, report: CrashReport) -> bool:
        """Take a report; return whether the quarantine has changed."""
        crash = CrashId(instance=report.instance, born_ms=report.born_ms)
        if not self._evidence.record_crash(crash, report.requests):
            return False
        culprits = self._evidence.culprits()
        added = [
            request
            for request in report.requests
            if not self._quarantine.remaining(request)
            and (request in culprits or self._quarantine.has_ended(request))
        ]
        for request in added:
            self._quarantine.add(request)
        released = [
            self._quarantine.release(request)
            for request in self._quarantine.active()
            if self._evidence.is_innocent(request, culprits)
        ]
        return bool(added or released)

    def record_success(self, request: bytes) -> bool:
        """Note that ``request`` has succeeded; return whether it was quarantined."""
        self._evidence.clear(request)
        return self._quarantine.release(request)

    def merge(self, requests: Iterable[QuarantinedRequest]) -> bool:
        """Take the decisions of another host; return whether any was news."""
        return self._quarantine.merge(requests)

    def crashes_of(self, request: bytes) -> int:
        """Return at how many crashes ``request`` ran since it last succeeded."""
        return self._evidence.crashes_of(request)
