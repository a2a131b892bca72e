"""The newest report of each entry host, at the leader or a host that passes it on."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from chicoryhold.clock import Clock
from chicoryhold.control.messages import HostReport


@attrs.frozen(kw_only=True)
class TimedReport:
    """A report, and when its host made it, on the local clock."""

    report: HostReport
    reported_at: float


class NewestReports:
    """Keeps the newest report of each host, whichever way and order reports come.

    Hosts pass on each other's reports, so an old one can come after a newer one. Only
    one thread may change it; any thread may read.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._newest: dict[str, TimedReport] = {}

    def record(self, reports: Iterable[HostReport]) -> None:
        now = self._clock.now()
        for report in reports:
            timed = TimedReport(report=report, reported_at=now - report.age)
            newest = self._newest.get(report.host)
            if newest is None or timed.reported_at >= newest.reported_at:
                self._newest[report.host] = timed

    def younger_than(self, seconds: float) -> tuple[TimedReport, ...]:
        """Return the reports that aren't older than ``seconds``, by name of host."""
        now = self._clock.now()
        return tuple(
            timed
            for _, timed in sorted(tuple(self._newest.items()))
            if now - timed.reported_at < seconds
        )

    def forget_older_than(self, seconds: float) -> None:
        self._newest = {
            timed.report.host: timed for timed in self.younger_than(seconds)
        }
