"""Classifies the reports of targets, and detects targets that stopped reporting."""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs

from chicoryhold.clock import Clock
from chicoryhold.membership.messages import SeenTarget
from chicoryhold.state.targets import TargetRecord, TargetRecords, TargetState

COLD_TOLERANCE_SECONDS = 0.5  # reports may differ so much on when a cold phase ends
SILENT_AFTER_SECONDS = 6.0  # four reports at the usual interval of 1.5 s


class ReportStatus(enum.Enum):
    """How a report relates to the replicated state.

    ``KNOWN`` repeats it, ``OLD`` is superseded by a newer report, and ``RECORD``
    differs from it and must be replicated.
    """

    KNOWN = "known"
    OLD = "old"
    RECORD = "record"


@attrs.define(kw_only=True)
class _LastReport:
    born_ms: int
    sequence: int
    received_at: float
    cold_until: float


class TargetReports:
    """Compares reports with the replicated state, and tracks when targets reported."""

    def __init__(self, *, targets: Callable[[], TargetRecords], clock: Clock) -> None:
        self._targets = targets
        self._clock = clock
        self._last_reports: dict[str, _LastReport] = {}
        self._unannounced: dict[str, SeenTarget] = {}
        self._watching_since = clock.now()

    def classify(self, record: TargetRecord) -> ReportStatus:
        """Return how ``record`` relates to the replicated state."""
        last = self._last_reports.get(record.instance)
        if last is not None:
            position = (record.born_ms, record.sequence)
            if position < (last.born_ms, last.sequence):
                return ReportStatus.OLD
        targets = self._targets()
        known = targets.get(record.instance)
        if known is not None and self._is_unchanged(record, known):
            self._record_unchanged(record)
            return ReportStatus.KNOWN
        return ReportStatus.RECORD if targets.is_newer(record) else ReportStatus.OLD

    def mark_recorded(self, record: TargetRecord) -> None:
        """Note that the report ``record`` has been replicated."""
        now = self._clock.now()
        self._last_reports[record.instance] = _LastReport(
            born_ms=record.born_ms,
            sequence=record.sequence,
            received_at=now,
            cold_until=now + record.cold_seconds,
        )

    def take_unannounced(self) -> tuple[SeenTarget, ...]:
        """Return the targets that reported unchanged state here since the last call."""
        unannounced, self._unannounced = self._unannounced, {}
        return tuple(unannounced.values())

    def record_remote_reports(self, targets: tuple[SeenTarget, ...]) -> None:
        """Note the targets that reported to another control host."""
        now = self._clock.now()
        for seen in targets:
            last = self._last_reports.get(seen.instance)
            if last is None or last.born_ms < seen.born_ms:
                self._last_reports[seen.instance] = _LastReport(
                    born_ms=seen.born_ms, sequence=0, received_at=now, cold_until=now
                )
            else:
                last.received_at = now

    def restart_silence_timers(self) -> None:
        """Measure silence from now on, as this host may have missed earlier reports."""
        self._watching_since = self._clock.now()

    def silent_records(self) -> tuple[TargetRecord, ...]:
        """Return a ``SILENT`` record for each ready target that stopped reporting."""
        cutoff = self._clock.now() - SILENT_AFTER_SECONDS
        silent_records = tuple(
            attrs.evolve(record, state=TargetState.SILENT)
            for record in self._targets()
            if record.state is TargetState.READY
            and self._last_reported_at(record) < cutoff
        )
        return silent_records if self._watching_since <= cutoff else ()

    def _last_reported_at(self, record: TargetRecord) -> float:
        last = self._last_reports.get(record.instance)
        if last is None or last.born_ms < record.born_ms:
            # The target was recorded after this host began to watch, by a report to
            # another control host. Its silence is measured from now.
            self._last_reports[record.instance] = _LastReport(
                born_ms=record.born_ms,
                sequence=record.sequence,
                received_at=self._clock.now(),
                cold_until=self._clock.now() + record.cold_seconds,
            )
            return self._clock.now()
        return last.received_at

    def _is_unchanged(self, record: TargetRecord, known: TargetRecord) -> bool:
        same = attrs.evolve(
            record, sequence=known.sequence, cold_seconds=known.cold_seconds
        )
        if same != known:
            return False
        if record.cold_seconds <= COLD_TOLERANCE_SECONDS:
            return True
        last = self._last_reports.get(record.instance)
        now = self._clock.now()
        cold_until = last.cold_until if last else now
        return now + record.cold_seconds <= cold_until + COLD_TOLERANCE_SECONDS

    def _record_unchanged(self, record: TargetRecord) -> None:
        now = self._clock.now()
        last = self._last_reports.get(record.instance)
        cold_until = last.cold_until if last else now + record.cold_seconds
        self._last_reports[record.instance] = _LastReport(
            born_ms=record.born_ms,
            sequence=record.sequence,
            received_at=now,
            cold_until=cold_until,
        )
        self._unannounced[record.instance] = SeenTarget(
            instance=record.instance, born_ms=record.born_ms
        )
