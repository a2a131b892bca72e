"""Which hosts are alive, from what was heard directly and what others heard."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from chicoryhold.clock import Clock
from chicoryhold.membership.messages import (
    ControlHost,
    ControlPresence,
    EntryHost,
    SeenEntryHost,
)

ENTRY_SILENT_AFTER = 2.0  # seconds
CONTROL_SILENT_AFTER = 2.5  # seconds
FORGOTTEN_AFTER = 30.0  # seconds


@attrs.frozen(kw_only=True)
class _Seen:
    host: EntryHost
    heard_at: float
    directly: bool


class HostRegistry:
    """A control host's view of all hosts. Pure: times come from ``clock``.

    Entry hosts report to one or two control hosts, which tell the others how long
    ago they heard them. Nobody knows how many hosts there are.
    """

    def __init__(self, *, own: ControlHost, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._entries: dict[str, _Seen] = {}
        self._controls: dict[str, tuple[ControlHost, float]] = {}

    @property
    def own(self) -> ControlHost:
        return self._own

    @property
    def control_hosts(self) -> tuple[ControlHost, ...]:
        """The live control hosts, this one first."""
        oldest = self._clock.now() - CONTROL_SILENT_AFTER
        others = [host for host, at in self._controls.values() if at >= oldest]
        return (self._own, *sorted(others, key=lambda host: host.name))

    @property
    def known_control_hosts(self) -> tuple[ControlHost, ...]:
        """Every control host heard in the last while, also if it is silent now."""
        return (self._own, *(host for host, _ in tuple(self._controls.values())))

    @property
    def known_entry_hosts(self) -> int:
        """How many entry hosts were heard in the last while, silent ones included."""
        return len(self._entries)

    def hear_entry(self, host: EntryHost) -> bool:
        """Take a report of the host itself; returns whether it changes anything."""
        known = self._entries.get(host.name)
        self._entries[host.name] = _Seen(
            host=host, heard_at=self._clock.now(), directly=True
        )
        return known is None or known.host != host

    def hear_control(self, presence: ControlPresence) -> None:
        now = self._clock.now()
        self._controls[presence.host.name] = (presence.host, now)
        for seen in presence.entry_hosts:
            self._merge(seen.host, now - seen.age)

    def heard_directly(self) -> tuple[SeenEntryHost, ...]:
        """What to tell the other control hosts."""
        now = self._clock.now()
        return tuple(
            SeenEntryHost(host=seen.host, age=now - seen.heard_at)
            for seen in tuple(self._entries.values())
            if seen.directly and now - seen.heard_at <= ENTRY_SILENT_AFTER
        )

    def entry_hosts(self, *, region: str) -> tuple[EntryHost, ...]:
        """Return the hosts to name to a caller of ``region``: its own, else all."""
        ready = self._ready()
        near = [host for host in ready if host.region == region]
        return tuple(near or ready)

    def forget_old(self) -> None:
        oldest = self._clock.now() - FORGOTTEN_AFTER
        self._entries = {
            name: seen for name, seen in self._entries.items() if seen.heard_at > oldest
        }
        self._controls = {
            name: known for name, known in self._controls.items() if known[1] > oldest
        }

    def _merge(self, host: EntryHost, heard_at: float) -> None:
        known = self._entries.get(host.name)
        if known is not None and heard_at <= known.heard_at:
            return
        self._entries[host.name] = _Seen(host=host, heard_at=heard_at, directly=False)

    def _ready(self) -> list[EntryHost]:
        oldest = self._clock.now() - ENTRY_SILENT_AFTER
        return [
            seen.host
            for seen in tuple(self._entries.values())
            if seen.host.ready and seen.heard_at >= oldest
        ]


def by_nearness(
    hosts: Iterable[ControlHost], *, domain: str, region: str
) -> tuple[ControlHost, ...]:
    """Sort control hosts: the own failure domain's, then the region's, then others."""
    return tuple(
        sorted(
            hosts,
            key=lambda host: (host.domain != domain, host.region != region, host.name),
        )
    )
