"""The revisions in force, as reported by the entry hosts that have applied them."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from chicoryhold.clock import Clock
from chicoryhold.control.messages import HostReport

REPORT_EXPIRY_SECONDS = 24 * 3600.0
REPORT_STALE_SECONDS = 5.0
# Hosts report with each fetch, through a relay, and after a change of the leader only
# once they have found the new one.
COLLECTION_SECONDS = 3.0


@attrs.frozen(kw_only=True)
class DomainInForce:
    """The lowest revision among a domain's hosts, and its silent hosts.

    ``hosts`` counts the hosts. A host is silent if its newest report is older than
    ``REPORT_STALE_SECONDS``.
    """

    domain: str
    revision: int
    hosts: int
    silent: tuple[str, ...]


@attrs.frozen(kw_only=True)
class HostInForce:
    """The revision in force at a host, as reported ``age`` seconds ago."""

    host: str
    domain: str
    revision: int
    age: float
    silent: bool


@attrs.frozen(kw_only=True)
class _TimedReport:
    report: HostReport
    reported_at: float


class InForceReports:
    """The newest report of each entry host, in the leader's memory.

    Only one thread may change it; any thread may read.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._began_at = clock.now()
        self._newest: dict[str, _TimedReport] = {}

    @property
    def is_complete(self) -> bool:
        """Whether all hosts that are up have had the time to report."""
        return self._clock.now() - self._began_at >= COLLECTION_SECONDS

    def restart(self) -> None:
        """Begin to collect: this replica has just become the leader."""
        self._began_at = self._clock.now()

    def record(self, reports: Iterable[HostReport]) -> None:
        now = self._clock.now()
        for report in reports:
            reported_at = now - report.age
            newest = self._newest.get(report.host)
            if newest is None or reported_at >= newest.reported_at:
                self._newest[report.host] = _TimedReport(
                    report=report, reported_at=reported_at
                )

    def domains(self) -> tuple[DomainInForce, ...]:
        """Return each domain with an unexpired report, sorted by name."""
        now = self._clock.now()
        by_domain: dict[str, list[_TimedReport]] = {}
        for timed in tuple(self._newest.values()):
            if now - timed.reported_at < REPORT_EXPIRY_SECONDS:
                by_domain.setdefault(timed.report.domain, []).append(timed)
        return tuple(
            self._domain_in_force(name, by_domain[name], now)
            for name in sorted(by_domain)
        )

    def hosts(self) -> tuple[HostInForce, ...]:
        """Return each host with an unexpired report, sorted by name."""
        now = self._clock.now()
        return tuple(
            HostInForce(
                host=name,
                domain=timed.report.domain,
                revision=timed.report.revision,
                age=round(now - timed.reported_at, 1),
                silent=now - timed.reported_at > REPORT_STALE_SECONDS,
            )
            for name, timed in sorted(tuple(self._newest.items()))
            if now - timed.reported_at < REPORT_EXPIRY_SECONDS
        )

    def _domain_in_force(
        self, domain: str, reports: list[_TimedReport], now: float
    ) -> DomainInForce:
        silent = [
            timed.report.host
            for timed in reports
            if now - timed.reported_at > REPORT_STALE_SECONDS
        ]
        return DomainInForce(
            domain=domain,
            revision=min(entry.report.revision for entry in reports),
            hosts=len(reports),
            silent=tuple(sorted(silent)),
        )
