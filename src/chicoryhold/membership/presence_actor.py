"""The actor of an entry host that reports to control hosts and discovers others."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.gateway.currency import CopyCurrency
from chicoryhold.hosts.actors import CriticalActor, Tick
from chicoryhold.hosts.bus import Bus
from chicoryhold.hosts.request_rounds import RequestRounds
from chicoryhold.membership.messages import (
    ControlHost,
    ControlHosts,
    EntryHost,
    EntryPresence,
)
from chicoryhold.membership.registry import sort_by_proximity
from chicoryhold.quarantine.guard import RequestGuard
from chicoryhold.quarantine.messages import QuarantineChanged, WatchQuarantine
from chicoryhold.routing.stated_limits import StatedLimits

REPORT_INTERVAL_SECONDS = 0.5
DISCOVERY_INTERVAL_SECONDS = 0.05  # while no control host replies
# Reports are repeated sooner than replies arrive from other regions or on slow links.
OPEN_REPORT_SECONDS = 5.0
WATCH_INTERVAL_SECONDS = 2.0  # the request is repeated, as its reply may get lost
REACHABLE_SECONDS = 1.2  # a host counts as reachable this long after its reply
SECOND_HOST_INTERVAL_REPORTS = 2  # every second one also goes to a second host
ROTATION_INTERVAL_REPORTS = 8  # every eighth one also goes to the next host in turn


@attrs.frozen(kw_only=True)
class ReportNow:
    """Makes the presence actor report at once, as the host's state has changed."""


@attrs.frozen(kw_only=True)
class _ReplyReceived:
    name: str
    reply: ControlHosts


@attrs.frozen(kw_only=True)
class _QuarantineChanged:
    reply: QuarantineChanged


class ControlHostList:
    """The control hosts that an entry host knows, in order of proximity.

    Only the presence actor changes it; any thread may read.
    """

    def __init__(
        self, *, seeds: Callable[[], tuple[str, ...]], domain: str, region: str,
        clock: Clock,
    ) -> None:  # fmt: skip
        self._seeds = seeds
        self._domain = domain
        self._region = region
        self._clock = clock
        self._hosts: tuple[ControlHost, ...] = ()
        self._replied_at: dict[str, float] = {}
        self._entry_hosts = 0
        self._relay_hosts: dict[str, tuple[EntryHost, ...]] = {}

    @property
    def entry_hosts(self) -> int:
        """The number of entry hosts by the latest reply; 0 before the first one."""
        return self._entry_hosts

    @property
    def relay_hosts(self) -> tuple[EntryHost, ...]:
        """Entry hosts that reach targets, if this one doesn't, by the recent replies.

        A control host that has just started knows few hosts, so one reply isn't enough.
        Older replies count while no control host is reachable.
        """
        names = self.reachable or tuple(self._relay_hosts)
        known = {
            host.name: host
            for name in names
            for host in self._relay_hosts.get(name, ())
        }
        return tuple(known.values())

    @property
    def names(self) -> tuple[str, ...]:
        """Names on the bus: known hosts by proximity, then the seeds."""
        known = tuple(host.name for host in self._hosts)
        return known + tuple(seed for seed in self._seeds() if seed not in known)

    @property
    def reachable(self) -> tuple[str, ...]:
        """The names that replied recently, nearest first."""
        cutoff = self._clock.now() - REACHABLE_SECONDS
        return tuple(
            name
            for name in self.names
            if self._replied_at.get(name, float("-inf")) >= cutoff
        )

    @property
    def names_live_first(self) -> tuple[str, ...]:
        """All names: those that replied recently, by proximity, then the others."""
        live = self.reachable
        return live + tuple(name for name in self.names if name not in live)

    def domain_of(self, name: str) -> str:
        return next((host.domain for host in self._hosts if host.name == name), "")

    def record_reply(self, name: str, reply: ControlHosts) -> bool:
        """Store a reply; return whether the list of hosts has changed."""
        self._replied_at[name] = self._clock.now()
        self._entry_hosts = reply.entry_hosts
        self._relay_hosts[name] = reply.relay_hosts
        merged = {host.name: host for host in self._hosts}
        merged.update({host.name: host for host in reply.hosts})
        sorted_hosts = sort_by_proximity(
            merged.values(), domain=self._domain, region=self._region
        )
        changed = sorted_hosts != self._hosts
        self._hosts = sorted_hosts
        return changed


class PresenceActor(CriticalActor):
    """Reports every half second to the nearest control host that replies.

    While none replies it reports to all of them, more often. ``describe`` returns the
    state to report. ``on_reachable`` is called when one replies after a time in which
    none did. ``limits`` are passed on to control hosts, and taken from them, as are the
    crashes that ``guard`` has noticed and the requests that it keeps back. ``currency``
    is told how old the copies of control hosts are.
    """

    def __init__(
        self, *, control_hosts: ControlHostList, bus: Bus, clock: Clock,
        describe: Callable[[], EntryHost], limits: StatedLimits, guard: RequestGuard,
        currency: CopyCurrency, on_reachable: Callable[[], None] = lambda: None,
    ) -> None:  # fmt: skip
        super().__init__()
        self._on_reachable = on_reachable
        self._control_hosts = control_hosts
        self._reports = RequestRounds(
            bus=bus, clock=clock, open_seconds=OPEN_REPORT_SECONDS
        )
        self._watches = RequestRounds(
            bus=bus, clock=clock, open_seconds=OPEN_REPORT_SECONDS
        )
        self._clock = clock
        self._describe = describe
        self._limits = limits
        self._guard = guard
        self._currency = currency
        self._next_watch_at = 0.0
        self._next_due = 0.0
        self._report_count = 0

    def on_receive(self, message: object) -> None:
        match message:
            case Tick():
                self._currency.check()
                if self._clock.now() >= self._next_due:
                    self._report()
                if self._clock.now() >= self._next_watch_at:
                    self._watch_quarantine()
            case _QuarantineChanged():
                self._guard.merge(message.reply.requests)
                self._watch_quarantine()
            case ReportNow():
                self._report()
            case _ReplyReceived():
                was_unreachable = not self._control_hosts.reachable
                self._currency.record_told(
                    message.reply.confirmed_age,
                    others_serve=message.reply.others_serve,
                )
                self._limits.merge_reply(message.reply.limits)
                self._guard.merge(message.reply.quarantined)
                if self._control_hosts.record_reply(message.name, message.reply):
                    logger.bind(hosts=list(self._control_hosts.names)).info(
                        "presence: the control hosts changed."
                    )
                if was_unreachable:
                    self._on_reachable()

    def _report(self) -> None:
        connected = bool(self._control_hosts.reachable)
        interval = REPORT_INTERVAL_SECONDS if connected else DISCOVERY_INTERVAL_SECONDS
        self._next_due = self._clock.now() + interval
        presence = EntryPresence(
            host=self._describe(),
            limits=self._limits.untold(),
            crashes=self._guard.recent_reports(),
        )
        self._reports.start()
        for name in self._choose_recipients():
            self._send_report(name, presence)

    def _watch_quarantine(self) -> None:
        """Let the nearest control host reply as soon as the quarantine changes."""
        nearest = self._control_hosts.reachable[:1]
        if not nearest:
            return
        self._next_watch_at = self._clock.now() + WATCH_INTERVAL_SECONDS
        self._watches.start()
        self._watches.ask(
            nearest[0],
            WatchQuarantine(),
            actor=self.actor_ref,
            kinds=QuarantineChanged,
            message=lambda reply: _QuarantineChanged(reply=reply),
        )

    def _choose_recipients(self) -> tuple[str, ...]:
        names = self._control_hosts.names_live_first
        self._report_count += 1
        if not self._control_hosts.reachable:
            return names
        recipients = list(names[:1])
        if self._report_count % SECOND_HOST_INTERVAL_REPORTS == 0:
            recipients += names[1:2]
        if self._report_count % ROTATION_INTERVAL_REPORTS == 0:
            # Finds hosts that are back, or that have never replied to this one.
            recipients.append(
                names[self._report_count // ROTATION_INTERVAL_REPORTS % len(names)]
            )
        return tuple(dict.fromkeys(recipients))

    def _send_report(self, name: str, presence: EntryPresence) -> None:
        self._reports.ask(
            name,
            presence,
            actor=self.actor_ref,
            kinds=ControlHosts,
            message=lambda reply: _ReplyReceived(name=name, reply=reply),
        )
