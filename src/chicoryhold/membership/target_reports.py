"""What a control host makes of a target's report: known, old, or to be recorded."""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs

from chicoryhold.clock import Clock
from chicoryhold.membership.messages import SeenTarget
from chicoryhold.state.targets import TargetRecord, TargetRecords, TargetState

COLD_TOLERANCE = 0.5  # seconds by which two reports of the same cold phase may differ
SILENT_AFTER = 6.0  # seconds; four reports at the usual 1.5 s


class ReportStatus(enum.Enum):
    """``KNOWN`` changes nothing; ``OLD`` came late; ``RECORD`` must be replicated."""

    KNOWN = "known"
    OLD = "old"
    RECORD = "record"


@attrs.define(kw_only=True)
class _Heard:
    born_ms: int
    sequence: int
    at: float
    cold_until: float


class TargetReports:
    """Judges reports, and knows which targets have fallen silent."""

    def __init__(self, *, targets: Callable[[], TargetRecords], clock: Clock) -> None:
        self._targets = targets
        self._clock = clock
        self._heard: dict[str, _Heard] = {}
        self._untold: dict[str, SeenTarget] = {}
        self._watching_since = clock.now()

    def classify(self, record: TargetRecord) -> ReportStatus:
        """Return what ``record`` is worth against the replicated state."""
        heard = self._heard.get(record.instance)
        if heard is not None:
            order = (record.born_ms, record.sequence)
            if order < (heard.born_ms, heard.sequence):
                return ReportStatus.OLD
        targets = self._targets()
        known = targets.get(record.instance)
        if known is not None and self._says_the_same(record, known):
            self._note(record)
            return ReportStatus.KNOWN
        return ReportStatus.RECORD if targets.wins(record) else ReportStatus.OLD

    def mark_recorded(self, record: TargetRecord) -> None:
        """Remember a report that has been replicated."""
        now = self._clock.now()
        self._heard[record.instance] = _Heard(
            born_ms=record.born_ms,
            sequence=record.sequence,
            at=now,
            cold_until=now + record.cold_seconds,
        )

    def take_untold(self) -> tuple[SeenTarget, ...]:
        """Return the targets heard here since the last call."""
        untold, self._untold = self._untold, {}
        return tuple(untold.values())

    def hear_elsewhere(self, targets: tuple[SeenTarget, ...]) -> None:
        """Another control host has heard these."""
        now = self._clock.now()
        for seen in targets:
            heard = self._heard.get(seen.instance)
            if heard is None or heard.born_ms < seen.born_ms:
                self._heard[seen.instance] = _Heard(
                    born_ms=seen.born_ms, sequence=0, at=now, cold_until=now
                )
            else:
                heard.at = now

    def restart_silence_timers(self) -> None:
        """Count silence from now on: this host was not told of reports before."""
        self._watching_since = self._clock.now()

    def silent_records(self) -> tuple[TargetRecord, ...]:
        """Return records that say that targets which were ready have fallen silent."""
        oldest = self._clock.now() - SILENT_AFTER
        silent_records = tuple(
            attrs.evolve(record, state=TargetState.SILENT)
            for record in self._targets()
            if record.state is TargetState.READY and self._last_heard(record) < oldest
        )
        return silent_records if self._watching_since <= oldest else ()

    def _last_heard(self, record: TargetRecord) -> float:
        heard = self._heard.get(record.instance)
        if heard is None or heard.born_ms < record.born_ms:
            # Recorded after this host began to watch, by a report made elsewhere.
            self._heard[record.instance] = _Heard(
                born_ms=record.born_ms,
                sequence=record.sequence,
                at=self._clock.now(),
                cold_until=self._clock.now() + record.cold_seconds,
            )
            return self._clock.now()
        return heard.at

    def _says_the_same(self, record: TargetRecord, known: TargetRecord) -> bool:
        same = attrs.evolve(
            record, sequence=known.sequence, cold_seconds=known.cold_seconds
        )
        if same != known:
            return False
        if record.cold_seconds <= COLD_TOLERANCE:
            return True
        heard = self._heard.get(record.instance)
        now = self._clock.now()
        cold_until = heard.cold_until if heard else now
        return now + record.cold_seconds <= cold_until + COLD_TOLERANCE

    def _note(self, record: TargetRecord) -> None:
        now = self._clock.now()
        heard = self._heard.get(record.instance)
        cold_until = heard.cold_until if heard else now + record.cold_seconds
        self._heard[record.instance] = _Heard(
            born_ms=record.born_ms,
            sequence=record.sequence,
            at=now,
            cold_until=cold_until,
        )
        self._untold[record.instance] = SeenTarget(
            instance=record.instance, born_ms=record.born_ms
        )
