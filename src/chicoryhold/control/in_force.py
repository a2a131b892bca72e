"""Which revision is in force in which failure domain."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from chicoryhold.clock import Clock
from chicoryhold.control.messages import HostReport

REPORT_FORGOTTEN_AFTER = 24 * 3600.0
REPORT_STALE_AFTER = 5.0


@attrs.frozen(kw_only=True)
class DomainInForce:
    """The lowest revision among a domain's hosts, and the hosts not heard lately."""

    domain: str
    revision: int
    hosts: int
    silent: tuple[str, ...]


@attrs.frozen(kw_only=True)
class HostInForce:
    """The revision in force at a host, told ``age`` seconds ago."""

    host: str
    domain: str
    revision: int
    age: float
    silent: bool


@attrs.frozen(kw_only=True)
class _Known:
    report: HostReport
    at: float


class InForceReports:
    """The newest report of each entry host, kept by the leader in memory."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._known: dict[str, _Known] = {}

    def record(self, reports: Iterable[HostReport]) -> None:
        now = self._clock.now()
        for report in reports:
            at = now - report.age
            known = self._known.get(report.host)
            if known is None or at >= known.at:
                self._known[report.host] = _Known(report=report, at=at)

    def domains(self) -> tuple[DomainInForce, ...]:
        """Return one row for each domain that has reported, by name."""
        now = self._clock.now()
        rows: dict[str, list[_Known]] = {}
        for known in self._known.values():
            if now - known.at < REPORT_FORGOTTEN_AFTER:
                rows.setdefault(known.report.domain, []).append(known)
        return tuple(self._row(name, rows[name], now) for name in sorted(rows))

    def hosts(self) -> tuple[HostInForce, ...]:
        """Return each host that has reported within a day, by name."""
        now = self._clock.now()
        return tuple(
            HostInForce(
                host=name,
                domain=known.report.domain,
                revision=known.report.revision,
                age=round(now - known.at, 1),
                silent=now - known.at > REPORT_STALE_AFTER,
            )
            for name, known in sorted(self._known.items())
            if now - known.at < REPORT_FORGOTTEN_AFTER
        )

    def _row(self, domain: str, hosts: list[_Known], now: float) -> DomainInForce:
        silent = [k.report.host for k in hosts if now - k.at > REPORT_STALE_AFTER]
        return DomainInForce(
            domain=domain,
            revision=min(known.report.revision for known in hosts),
            hosts=len(hosts),
            silent=tuple(sorted(silent)),
        )
