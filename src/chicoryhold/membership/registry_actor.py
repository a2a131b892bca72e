"""The actor of a control host that keeps the roster and watches targets."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.hosts.actors import CriticalActor, PeerRequest, Tick
from chicoryhold.hosts.bus import Bus
from chicoryhold.membership.messages import (
    ControlHosts,
    ControlPresence,
    EntryPresence,
)
from chicoryhold.membership.registry import HostRegistry
from chicoryhold.membership.target_reports import TargetReports
from chicoryhold.state.targets import TargetRecord

PRESENCE_INTERVAL = 0.5  # seconds


class HostRegistryActor(CriticalActor):
    """Tells the other control hosts what was heard here, and hears them.

    ``peers`` names the control hosts that this process has ever been told of.
    ``leads`` says whether this host leads the replicated log; only the leader marks
    targets as silent, through ``record_silent``.
    """

    def __init__(
        self, *, registry: HostRegistry, reports: TargetReports, bus: Bus, clock: Clock,
        peers: Callable[[], tuple[str, ...]], leads: Callable[[], bool],
        record_silent: Callable[[tuple[TargetRecord, ...]], None],
    ) -> None:  # fmt: skip
        super().__init__()
        self._registry = registry
        self._reports = reports
        self._bus = bus
        self._clock = clock
        self._peers = peers
        self._leads = leads
        self._record_silent = record_silent
        self._led = False
        self._due = 0.0

    def on_receive(self, message: object) -> None:
        match message:
            case Tick():
                self._tick()
            case PeerRequest(message=EntryPresence() as presence):
                self._on_entry(presence, message)
            case PeerRequest(message=ControlPresence() as presence):
                self._registry.hear_control(presence)
                self._reports.hear_elsewhere(presence.targets)

    def _on_entry(self, presence: EntryPresence, asked: PeerRequest) -> None:
        changed = self._registry.hear_entry(presence.host)
        asked.reply.set_result(
            ControlHosts(
                hosts=self._registry.control_hosts,
                entry_hosts=self._registry.known_entry_hosts,
            )
        )
        if changed:
            logger.bind(
                host=presence.host.name,
                domain=presence.host.domain,
                ready=presence.host.ready,
            ).info("roster: an entry host changed.")
            self._tell_others()

    def _tick(self) -> None:
        now = self._clock.now()
        if now < self._due:
            return
        self._due = now + PRESENCE_INTERVAL
        self._registry.forget_old()
        self._tell_others()
        self._watch_targets()

    def _tell_others(self) -> None:
        presence = ControlPresence(
            host=self._registry.own,
            entry_hosts=self._registry.heard_directly(),
            targets=self._reports.take_untold(),
        )
        for peer in self._peers():
            if peer != self._bus.name:
                self._bus.tell(peer, presence)

    def _watch_targets(self) -> None:
        leads = self._leads()
        if leads and not self._led:
            self._reports.restart_silence_timers()
        self._led = leads
        silent_records = self._reports.silent_records() if leads else ()
        if silent_records:
            logger.bind(targets=[record.instance for record in silent_records]).warning(
                "roster: targets fell silent."
            )
            self._record_silent(silent_records)
