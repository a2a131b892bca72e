"""The actor of a control host that keeps the host registry and watches targets."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from concurrent.futures import Future

from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS
from chicoryhold.hosts.actors import (
    CriticalActor,
    PeerRequest,
    Tick,
    dropping_bad_messages,
)
from chicoryhold.hosts.bus import Bus
from chicoryhold.membership.messages import (
    ControlHosts,
    ControlPresence,
    EntryPresence,
    SeenLimit,
)
from chicoryhold.membership.registry import HostRegistry
from chicoryhold.membership.target_reports import TargetReports
from chicoryhold.pauses import PauseWatch
from chicoryhold.quarantine.messages import (
    CrashReport,
    QuarantineChanged,
    RequestSucceeded,
    WatchQuarantine,
)
from chicoryhold.quarantine.records import CrashRecords
from chicoryhold.routing.stated_limits import StatedLimits
from chicoryhold.state.targets import TargetRecord

PRESENCE_INTERVAL_SECONDS = 0.5
ALL_LIMITS_INTERVAL_TICKS = 4


class HostRegistryActor(CriticalActor):
    """Exchanges presence with the other control hosts and detects silent targets.

    ``peers`` returns the names of all control hosts that this process knows of.
    ``limits`` are those of targets, which entry hosts report. ``leads`` returns whether
    this host leads the replicated log; only the leader marks targets as silent, through
    ``record_silent``. ``targets`` returns all targets that exist, by instance.
    ``crashes`` are the reports of all entry hosts about requests that crash targets.
    ``confirmed_age`` returns how many seconds ago the control state here was confirmed.
    """

    def __init__(
        self, *, registry: HostRegistry, reports: TargetReports, bus: Bus, clock: Clock,
        peers: Callable[[], tuple[str, ...]], leads: Callable[[], bool],
        record_silent: Callable[[tuple[TargetRecord, ...]], None], limits: StatedLimits,
        targets: Callable[[], Mapping[str, TargetRecord]], crashes: CrashRecords,
        confirmed_age: Callable[[], float],
    ) -> None:  # fmt: skip
        super().__init__()
        self._registry = registry
        self._reports = reports
        self._bus = bus
        self._clock = clock
        self._pauses = PauseWatch(clock=clock)
        self._peers = peers
        self._leads = leads
        self._record_silent = record_silent
        self._limits = limits
        self._targets = targets
        self._crashes = crashes
        self._confirmed_age = confirmed_age
        self._watchers: dict[str, Future] = {}
        self._tick_count = 0
        self._was_leader = False
        self._next_due = 0.0

    def on_receive(self, message: object) -> None:
        match message:
            case Tick():
                self._pauses.check()
                self._tick()
            case PeerRequest():
                with dropping_bad_messages(message):
                    self._on_request(message)

    def _on_request(self, message: PeerRequest) -> None:
        match message:
            case PeerRequest(message=EntryPresence() as presence):
                self._on_entry_presence(presence, message)
            case PeerRequest(message=WatchQuarantine()):
                self._watchers[message.sender] = message.reply
            case PeerRequest(message=CrashReport() as report):
                self._on_crash(report)
            case PeerRequest(message=RequestSucceeded() as success):
                self._on_success(success)
            case PeerRequest(message=ControlPresence() as presence):
                self._registry.merge_control_presence(presence)
                self._limits.merge(presence.limits)
                if self._crashes.merge(presence.quarantined):
                    self._tell_watchers()
                self._reports.record_remote_reports(presence.targets)

    def _on_crash(self, report: CrashReport) -> None:
        if self._crashes.record_crash(report):
            self._tell_watchers()

    def _on_success(self, success: RequestSucceeded) -> None:
        if self._crashes.record_success(success.request):
            self._tell_watchers()

    def _tell_watchers(self) -> None:
        changed = QuarantineChanged(requests=self._crashes.quarantine.all())
        watchers, self._watchers = self._watchers, {}
        for reply in watchers.values():
            reply.set_result(changed)

    def _on_entry_presence(self, presence: EntryPresence, request: PeerRequest) -> None:
        host = presence.host
        changed = self._registry.record_entry_report(host)
        self._limits.merge(presence.limits)
        for report in presence.crashes:
            self._on_crash(report)
        request.reply.set_result(
            ControlHosts(
                hosts=self._registry.control_hosts,
                entry_hosts=self._registry.known_entry_hosts,
                relay_hosts=(
                    () if host.reaches_targets else self._registry.relay_hosts(host)
                ),
                limits=self._limits.all(),
                quarantined=self._crashes.quarantine.all(),
                confirmed_age=min(self._confirmed_age(), UNCONFIRMED_AGE_SECONDS),
                others_serve=self._registry.has_enough_serving(host.region),
            )
        )
        if changed:
            logger.bind(
                host=host.name,
                domain=host.domain,
                ready=host.ready,
                reaches_targets=host.reaches_targets,
                current=host.current,
            ).info("registry: an entry host is new or changed.")
            self._broadcast_presence()

    def _tick(self) -> None:
        now = self._clock.now()
        if now < self._next_due:
            return
        self._next_due = now + PRESENCE_INTERVAL_SECONDS
        self._tick_count += 1
        self._registry.remove_expired()
        self._limits.keep_only(self._targets())
        self._broadcast_presence()
        self._check_silent_targets()

    def _broadcast_presence(self) -> None:
        presence = ControlPresence(
            host=self._registry.own,
            entry_hosts=self._registry.direct_reports(),
            targets=self._reports.take_unannounced(),
            limits=self._limits_to_tell(),
            quarantined=self._crashes.quarantine.all(),
        )
        for peer in self._peers():
            if peer != self._bus.name:
                self._bus.tell(peer, presence)

    def _limits_to_tell(self) -> tuple[SeenLimit, ...]:
        """Return what has changed, and from time to time all, as messages get lost."""
        changes = self._limits.take_changes()
        tells_all = self._tick_count % ALL_LIMITS_INTERVAL_TICKS == 0
        return self._limits.all() if tells_all else changes

    def _check_silent_targets(self) -> None:
        leads = self._leads()
        if leads and not self._was_leader:
            self._reports.restart_silence_timers()
        self._was_leader = leads
        silent_records = self._reports.silent_records() if leads else ()
        if silent_records:
            logger.bind(targets=[record.instance for record in silent_records]).warning(
                "registry: targets stopped reporting."
            )
            self._record_silent(silent_records)
