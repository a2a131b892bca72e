"""Which hosts are alive, from their own reports and those of other control hosts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

import attrs

from chicoryhold.clock import Clock
from chicoryhold.membership.messages import (
    ControlHost,
    ControlPresence,
    EntryHost,
    SeenEntryHost,
)

ENTRY_HOST_TIMEOUT_SECONDS = 2.0
CONTROL_HOST_TIMEOUT_SECONDS = 2.5
EXPIRY_SECONDS = 30.0
# Control hosts that are silent for so long, while entry hosts of their domain reported
# so recently, are down by themselves, and not with their whole domain.
LOST_CONTROL_HOST_SECONDS = 2.0
RECENT_REPORT_SECONDS = 1.2
# Entry hosts report to some control host, and that one to the others, twice a second.
LEARNING_SECONDS = 0.8
MAX_RELAY_HOSTS = 16
# Hosts that can't serve now are still listed for callers if fewer of the region's hosts
# can: those few would be overloaded.
MIN_SERVING_FRACTION = 1 / 3


@attrs.frozen(kw_only=True)
class _EntryRecord:
    host: EntryHost
    reported_at: float
    is_direct: bool


class HostRegistry:
    """A control host's view of all hosts. It does no I/O; times come from ``clock``.

    Only one thread may change it; any thread may read.

    Entry hosts report to one or two control hosts, which tell the other control
    hosts how old these reports are. The total number of hosts is not configured.
    """

    def __init__(self, *, own: ControlHost, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._started_at = clock.now()
        self._entry_records: dict[str, _EntryRecord] = {}
        self._control_records: dict[str, tuple[ControlHost, float]] = {}

    @property
    def own(self) -> ControlHost:
        return self._own

    @property
    def is_learning(self) -> bool:
        """Whether this host has just started and may not have heard of all hosts."""
        return self._clock.now() - self._started_at < LEARNING_SECONDS

    @property
    def control_hosts(self) -> tuple[ControlHost, ...]:
        """The live control hosts, this one first."""
        cutoff = self._clock.now() - CONTROL_HOST_TIMEOUT_SECONDS
        others = [
            host
            for host, reported_at in tuple(self._control_records.values())
            if reported_at >= cutoff
        ]
        return (self._own, *sorted(others, key=lambda host: host.name))

    @property
    def known_control_hosts(self) -> tuple[ControlHost, ...]:
        """Every control host that has not expired, including silent ones."""
        return (self._own, *(host for host, _ in tuple(self._control_records.values())))

    @property
    def known_entry_hosts(self) -> int:
        """The number of entry hosts that have not expired, including silent ones."""
        return len(self._entry_records)

    def record_entry_report(self, host: EntryHost) -> bool:
        """Store a report from the host itself; return whether it is new or changed."""
        previous = self._entry_records.get(host.name)
        self._entry_records[host.name] = _EntryRecord(
            host=host, reported_at=self._clock.now(), is_direct=True
        )
        return previous is None or previous.host != host

    def merge_control_presence(self, presence: ControlPresence) -> None:
        now = self._clock.now()
        self._control_records[presence.host.name] = (presence.host, now)
        for seen in presence.entry_hosts:
            self._merge(seen.host, now - seen.age)

    def direct_reports(self) -> tuple[SeenEntryHost, ...]:
        """Return the live entry hosts that report to this host, for the other hosts."""
        now = self._clock.now()
        return tuple(
            SeenEntryHost(host=record.host, age=now - record.reported_at)
            for record in tuple(self._entry_records.values())
            if record.is_direct
            and now - record.reported_at <= ENTRY_HOST_TIMEOUT_SECONDS
        )

    def entry_hosts(self, *, region: str) -> tuple[EntryHost, ...]:
        """Return the ready hosts of ``region``, or all ready hosts if it has none.

        Those that reach no target, or have an old copy, are left out if enough others
        remain.
        """
        ready = self._ready()
        listed = [host for host in ready if host.region == region] or ready
        serving = _serving(listed)
        return tuple(serving if _are_enough(serving, listed) else listed)

    def has_enough_serving(self, region: str) -> bool:
        """Return whether hosts of ``region`` that can't serve may be left out."""
        listed = [host for host in self._ready() if host.region == region]
        return _are_enough(_serving(listed), listed)

    def has_only_lost_control_hosts(self, domain: str) -> bool:
        """Return whether all control hosts of ``domain`` are down, but not the rest."""
        if domain == self._own.domain:
            return False
        now = self._clock.now()
        reported = [
            reported_at
            for host, reported_at in tuple(self._control_records.values())
            if host.domain == domain
        ]
        if not reported or now - max(reported) < LOST_CONTROL_HOST_SECONDS:
            return False
        return any(
            record.host.domain == domain
            and now - record.reported_at <= RECENT_REPORT_SECONDS
            for record in tuple(self._entry_records.values())
        )

    def relay_hosts(self, host: EntryHost) -> tuple[EntryHost, ...]:
        """Return ready hosts that can reach targets in place of ``host``.

        There are at most ``MAX_RELAY_HOSTS``, from all regions in turn, since requests
        may be allowed in certain regions only. Hosts of the same domain come first.
        Those next in a ring of all names come before others, so that many hosts that
        are cut off don't all get the same ones.
        """
        others = [
            other
            for other in self._ready()
            if other.reaches_targets and other.current and other.name != host.name
        ]
        others.sort(key=lambda o: (o.domain != host.domain, o.name < host.name, o.name))
        positions: Counter[str] = Counter()
        ranked = []
        for other in others:
            ranked.append((positions[other.region], other.region != host.region, other))
            positions[other.region] += 1
        ranked.sort(key=lambda entry: entry[:2])
        return tuple(other for *_, other in ranked[:MAX_RELAY_HOSTS])

    def remove_expired(self) -> None:
        cutoff = self._clock.now() - EXPIRY_SECONDS
        self._entry_records = {
            name: record
            for name, record in self._entry_records.items()
            if record.reported_at > cutoff
        }
        self._control_records = {
            name: control_record
            for name, control_record in self._control_records.items()
            if control_record[1] > cutoff
        }

    def _merge(self, host: EntryHost, reported_at: float) -> None:
        previous = self._entry_records.get(host.name)
        if previous is not None and reported_at <= previous.reported_at:
            return
        self._entry_records[host.name] = _EntryRecord(
            host=host, reported_at=reported_at, is_direct=False
        )

    def _ready(self) -> list[EntryHost]:
        cutoff = self._clock.now() - ENTRY_HOST_TIMEOUT_SECONDS
        return [
            record.host
            for record in tuple(self._entry_records.values())
            if record.host.ready and record.reported_at >= cutoff
        ]


def _serving(hosts: Iterable[EntryHost]) -> list[EntryHost]:
    return [host for host in hosts if host.reaches_targets and host.current]


def _are_enough(serving: Sequence[EntryHost], listed: Sequence[EntryHost]) -> bool:
    return len(serving) >= MIN_SERVING_FRACTION * len(listed)


def sort_by_proximity(
    hosts: Iterable[ControlHost], *, domain: str, region: str
) -> tuple[ControlHost, ...]:
    """Sort control hosts: same failure domain first, then same region, then others."""
    return tuple(
        sorted(
            hosts,
            key=lambda host: (host.domain != domain, host.region != region, host.name),
        )
    )
