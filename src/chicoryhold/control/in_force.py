"""The revisions in force, as reported by the entry hosts that have applied them."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from chicoryhold.clock import Clock
from chicoryhold.control.messages import HostReport
from chicoryhold.control.newest_reports import NewestReports, TimedReport

REPORT_EXPIRY_SECONDS = 24 * 3600.0
REPORT_STALE_SECONDS = 5.0
# Hosts report with each fetch, through a relay, and after a change of the leader only
# once they have found the new one.
COLLECTION_SECONDS = 3.0
MAX_LOWEST_HOSTS = 5  # of each domain


@attrs.frozen(kw_only=True)
class HostInForce:
    """The revision in force at a host, as reported ``age`` seconds ago."""

    host: str
    domain: str
    revision: int
    age: float
    silent: bool


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


class InForceReports:
    """The newest report of each entry host, in the leader's memory.

    Only one thread may change it; any thread may read.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._began_at = clock.now()
        self._newest = NewestReports(clock=clock)

    @property
    def collected_seconds(self) -> float:
        """For how long this replica has collected reports as the leader."""
        return self._clock.now() - self._began_at

    @property
    def is_complete(self) -> bool:
        """Whether all hosts that are up have had the time to report."""
        return self.collected_seconds >= COLLECTION_SECONDS

    def restart(self) -> None:
        """Begin to collect: this replica has just become the leader."""
        self._began_at = self._clock.now()

    def record(self, reports: Iterable[HostReport]) -> None:
        self._newest.record(reports)

    def domains(self) -> tuple[DomainInForce, ...]:
        """Return each domain with an unexpired report, sorted by name."""
        return tuple(
            _domain_in_force(name, hosts)
            for name, hosts in self._hosts_by_domain().items()
        )

    def hosts(self) -> tuple[HostInForce, ...]:
        """Return each host with an unexpired report, sorted by name."""
        now = self._clock.now()
        return tuple(
            _host_in_force(timed, now)
            for timed in self._newest.younger_than(REPORT_EXPIRY_SECONDS)
        )

    def lowest_hosts(self) -> tuple[HostInForce, ...]:
        """Return hosts at the lowest revision of their domain, a few of each.

        Those whose newest report is the oldest come first.
        """
        lowest: list[HostInForce] = []
        for hosts in self._hosts_by_domain().values():
            revision = min(host.revision for host in hosts)
            behind = [host for host in hosts if host.revision == revision]
            behind.sort(key=lambda host: -host.age)
            lowest += behind[:MAX_LOWEST_HOSTS]
        return tuple(lowest)

    def _hosts_by_domain(self) -> dict[str, list[HostInForce]]:
        by_domain: dict[str, list[HostInForce]] = {}
        for host in self.hosts():
            by_domain.setdefault(host.domain, []).append(host)
        return dict(sorted(by_domain.items()))


def _domain_in_force(name: str, hosts: list[HostInForce]) -> DomainInForce:
    return DomainInForce(
        domain=name,
        revision=min(host.revision for host in hosts),
        hosts=len(hosts),
        silent=tuple(host.host for host in hosts if host.silent),
    )


def _host_in_force(timed: TimedReport, now: float) -> HostInForce:
    age = now - timed.reported_at
    return HostInForce(
        host=timed.report.host,
        domain=timed.report.domain,
        revision=timed.report.revision,
        age=round(age, 1),
        silent=age > REPORT_STALE_SECONDS,
    )
