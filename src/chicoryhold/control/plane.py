"""What a control host does for operators, targets and callers' look-ups."""

from __future__ import annotations

import threading
import time
from concurrent.futures import Future, TimeoutError as FutureTimeout
from uuid import uuid4

import pykka
from loguru import logger
from result import Err, Ok, Result

from chicoryhold.clock import Clock
from chicoryhold.codec import encode
from chicoryhold.consensus.replica import Replica, Role
from chicoryhold.control.replica_actor import Propose, Read, name_of
from chicoryhold.errors import NotLeader, PeerTimeout, ResultUnknown, Unavailable
from chicoryhold.hosts.bus import Bus
from chicoryhold.membership.messages import (
    ConfigurationRead,
    ForwardedChange,
    ForwardedOutcome,
    ReadConfiguration,
)
from chicoryhold.membership.target_reports import ReportStatus, TargetReports
from chicoryhold.state.changes import (
    Body,
    Change,
    EndEvacuation,
    EvacuateDomain,
    Outcome,
    PutConfiguration,
    RecordTargets,
)
from chicoryhold.state.control_state import ControlState
from chicoryhold.state.targets import TargetRecord, TargetState

ANSWER_TIMEOUT = 0.9  # seconds; callers ask another host after a second
LEADER_PAUSE = 0.05  # seconds between looks for a leader
FRESH_SECONDS = 2.0  # age up to which a replica's copy lets it answer reports


class ControlPlane:
    """Passes changes to the leader, wherever it is, and reports their outcome.

    Safe to use from many threads.
    """

    def __init__(
        self, *, replica: Replica, actor: pykka.ActorRef, state: ControlState,
        bus: Bus, clock: Clock, reports: TargetReports,
    ) -> None:  # fmt: skip
        self._replica = replica
        self._actor = actor
        self._state = state
        self._bus = bus
        self._clock = clock
        self._reports = reports
        self._reports_lock = threading.Lock()

    @property
    def state(self) -> ControlState:
        return self._state

    @property
    def leads(self) -> bool:
        return self._replica.role is Role.LEADER

    @property
    def is_fresh(self) -> bool:
        """Whether this host has lately heard a leader that a majority follows."""
        age = self._clock.now() - self._replica.copy_confirmed_at
        return age <= FRESH_SECONDS

    def put_configuration(self, change: PutConfiguration) -> Result[None, Unavailable]:
        """Return once a majority has stored the configuration."""
        version = change.configuration.version
        return self._change(change, what="configuration", version=version)

    def evacuate(self, domain: str) -> Result[None, Unavailable]:
        return self._change(
            EvacuateDomain(domain=domain), what="evacuation", once=True, domain=domain
        )

    def end_evacuation(self, domain: str) -> Result[None, Unavailable]:
        return self._change(
            EndEvacuation(domain=domain),
            what="evacuation end",
            once=True,
            domain=domain,
        )

    def report_target(self, record: TargetRecord) -> Result[None, Unavailable]:
        """Take a target's report; returns once what is new in it is replicated."""
        with self._reports_lock:
            verdict = self._reports.classify(record)
        if verdict is not ReportStatus.RECORD:
            return Ok(None) if self.is_fresh else Err(Unavailable("no leader"))
        done = self._change(
            RecordTargets(records=(record,)),
            what="target",
            target=record.instance,
            state=record.state.value,
            sequence=record.sequence,
            cold=record.cold_seconds,
        )
        if done.is_ok():
            with self._reports_lock:
                self._reports.mark_recorded(record)
        return done

    def remove_target(self, instance: str) -> Result[None, Unavailable]:
        """Record that a target is leaving for good."""
        known = self._state.targets.get(instance)
        if known is None:
            return Ok(None) if self.is_fresh else Err(Unavailable("no leader"))
        record = _gone(known)
        return self._change(
            RecordTargets(records=(record,)), what="target gone", target=instance
        )

    def read_configuration(self) -> Result[ConfigurationRead, Unavailable]:
        """Return the newest accepted configuration, proved to be it."""
        until = self._clock.now() + ANSWER_TIMEOUT
        while (remaining := until - self._clock.now()) > 0:
            read = self._read_once(remaining)
            if read is not None and read.proved:
                return Ok(read)
            time.sleep(LEADER_PAUSE)
        return Err(Unavailable("no leader has proved that its copy is the newest"))

    def record_silent(self, records: tuple[TargetRecord, ...]) -> None:
        """Replicate that targets fell silent; a lost change is made again later."""
        self._actor.tell(
            Propose(change=_change_of(RecordTargets(records=records)), reply=Future())
        )

    # Messages from other control hosts

    def on_forwarded(self, sender: str, message: ForwardedChange) -> Future:
        answer: Future = Future()
        reply: Future = Future()
        reply.add_done_callback(
            lambda done: answer.set_result(ForwardedOutcome(outcome=_outcome_of(done)))
        )
        self._actor.tell(Propose(change=message.change, reply=reply))
        return answer

    def on_read(self, sender: str, message: ReadConfiguration) -> Future:
        answer: Future = Future()
        reply: Future = Future()

        def deliver(done: Future) -> None:
            proved = done.exception() is None
            answer.set_result(self._current(proved=proved))

        reply.add_done_callback(deliver)
        self._actor.tell(Read(reply=reply))
        return answer

    # Steps

    def _change(
        self, body: Body, *, what: str, once: bool = False, **fields: object
    ) -> Result[None, Unavailable]:
        """Propose ``body`` until it has an outcome or the time is up.

        A proposal that seemed lost may still arrive, after a later change that it
        would undo; with ``once`` all tries of this call count as one change.
        """
        started = self._clock.now()
        change = _change_of(body, request_id=uuid4().hex if once else "")
        outcome = self._propose(change, until=started + ANSWER_TIMEOUT)
        log = logger.bind(
            **fields,
            leader=name_of(self._replica.leader or ""),
            seconds=round(self._clock.now() - started, 3),
            revision=outcome.revision if outcome else None,
        )
        if outcome is None:
            log.warning("control: {} has no confirmed outcome.", what)
            return Err(Unavailable("no majority has confirmed the change yet"))
        log.info("control: {} accepted.", what)
        return Ok(None)

    def _propose(self, change: Change, *, until: float) -> Outcome | None:
        while (remaining := until - self._clock.now()) > 0:
            outcome = self._propose_once(change, remaining)
            if outcome is not None:
                return outcome
            time.sleep(LEADER_PAUSE)
        return None

    def _propose_once(self, change: Change, timeout: float) -> Outcome | None:
        leader = name_of(self._replica.leader or "")
        if leader == self._bus.name:
            reply: Future = Future()
            self._actor.tell(Propose(change=change, reply=reply))
            try:
                return reply.result(timeout)
            except (NotLeader, ResultUnknown, FutureTimeout):
                return None
        if not leader:
            return None
        answer = self._ask(leader, ForwardedChange(change=change), timeout)
        return answer.outcome if isinstance(answer, ForwardedOutcome) else None

    def _read_once(self, timeout: float) -> ConfigurationRead | None:
        leader = name_of(self._replica.leader or "")
        if leader == self._bus.name:
            reply: Future = Future()
            self._actor.tell(Read(reply=reply))
            try:
                reply.result(timeout)
            except (NotLeader, FutureTimeout):
                return None
            return self._current(proved=True)
        if not leader:
            return None
        answer = self._ask(leader, ReadConfiguration(), timeout)
        return answer if isinstance(answer, ConfigurationRead) else None

    def _ask(self, leader: str, message: object, timeout: float) -> object | None:
        try:
            return self._bus.call(leader, message, timeout=timeout)
        except PeerTimeout:
            return None

    def _current(self, *, proved: bool) -> ConfigurationRead:
        return ConfigurationRead(
            proved=proved,
            version=self._state.configuration.version,
            text=self._state.configuration_text,
        )


def _change_of(body: Body, *, request_id: str = "") -> Change:
    return Change(request_id=request_id, operator="", body=encode(body))


def _outcome_of(done: Future) -> Outcome | None:
    return done.result() if done.exception() is None else None


def _gone(known: TargetRecord) -> TargetRecord:
    return TargetRecord(
        instance=known.instance,
        born_ms=known.born_ms,
        sequence=known.sequence,
        address=known.address,
        service=known.service,
        domain=known.domain,
        slots=known.slots,
        state=TargetState.GONE,
    )
