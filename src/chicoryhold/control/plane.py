"""A control host's operations on the replicated control state."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, TimeoutError as FutureTimeout
from uuid import uuid4

import pykka
from loguru import logger
from result import Err, Ok, Result

from chicoryhold.clock import Clock
from chicoryhold.codec import decode, encode
from chicoryhold.consensus.messages import LogPosition
from chicoryhold.consensus.replica import Replica, Role
from chicoryhold.control.leader_requests import LeaderRequests
from chicoryhold.control.replica_requests import (
    Propose,
    Read,
    ReadPosition,
    Sync,
)
from chicoryhold.errors import (
    Unavailable,
    UnknownMessage,
)
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

ANSWER_TIMEOUT_SECONDS = 0.9  # callers use another host after one second
RETRY_DELAY_SECONDS = 0.05  # between attempts to reach the leader
# After a cut of the link, the end of a connection comes so long after its last request.
DEPARTURE_SECONDS = 0.1
CATCH_UP_POLL_SECONDS = 0.01
MAX_COPY_AGE_SECONDS = 2.0  # an older copy isn't used to answer targets' reports


HasLeft = Callable[[], bool]  # whether the sender of an order has given it up


def never_leaves() -> bool:
    """Return false: for a sender that waits until the order has an outcome."""
    return False


class ControlPlane:
    """Sends changes to the leader, from any control host, and returns their outcome.

    Thread-safe.
    """

    def __init__(
        self, *, replica: Replica, actor: pykka.ActorRef, state: ControlState,
        bus: Bus, clock: Clock, reports: TargetReports,
    ) -> None:  # fmt: skip
        self._replica = replica
        self._actor = actor
        self._state = state
        self._clock = clock
        self._reports = reports
        self._reports_lock = threading.Lock()
        self._leader = LeaderRequests(
            replica=replica,
            actor=actor,
            bus=bus,
            read_own=lambda: self._configuration_read(proved=True),
        )

    @property
    def state(self) -> ControlState:
        return self._state

    @property
    def leads(self) -> bool:
        return self._replica.role is Role.LEADER

    @property
    def is_fresh(self) -> bool:
        """Whether this host's copy was recently confirmed to be current.

        This requires a leader that a majority follows.
        """
        age = self._clock.now() - self._replica.applied_confirmed_at
        return age <= MAX_COPY_AGE_SECONDS

    def put_configuration(self, change: PutConfiguration) -> Result[None, Unavailable]:
        """Return once a majority has stored the configuration."""
        version = change.configuration.version
        return self._replicate(change, change_name="configuration", version=version)

    def evacuate(
        self, domain: str, *, has_left: HasLeft = never_leaves
    ) -> Result[None, Unavailable]:
        return self._replicate(
            EvacuateDomain(domain=domain),
            change_name="evacuation",
            has_left=has_left,
            domain=domain,
        )

    def end_evacuation(
        self, domain: str, *, has_left: HasLeft = never_leaves
    ) -> Result[None, Unavailable]:
        return self._replicate(
            EndEvacuation(domain=domain),
            change_name="evacuation end",
            has_left=has_left,
            domain=domain,
        )

    def report_target(self, record: TargetRecord) -> Result[None, Unavailable]:
        """Process a target's report; returns once any new state is replicated."""
        with self._reports_lock:
            verdict = self._reports.classify(record)
        if verdict is not ReportStatus.RECORD:
            return Ok(None) if self.is_fresh else Err(Unavailable("no leader"))
        done = self._replicate(
            RecordTargets(records=(record,)),
            change_name="target",
            target=record.instance,
            state=record.state.value,
            sequence=record.sequence,
            cold=record.cold_seconds,
        )
        if done.is_ok():
            with self._reports_lock:
                self._reports.mark_recorded(record)
        return done

    def remove_target(
        self, instance: str, *, has_left: HasLeft = never_leaves
    ) -> Result[None, Unavailable]:
        """Record that a target is gone for good, if it still waits for the answer.

        The call names no process, so it is that of the newest record. A copy that is
        behind may have an earlier one of the same name, or none: to record that this
        one is gone would be acknowledged and have no effect. And if the target doesn't
        wait any more, the newest one may be a later process.
        """
        if not self._catch_up(self._clock.now() + ANSWER_TIMEOUT_SECONDS):
            return Err(Unavailable("this control host's copy isn't up to date"))
        known = self._state.targets.get(instance)
        if has_left():
            return _given_up("target removal", target=instance)
        if known is None:
            return Ok(None)
        record = _as_gone(known)
        return self._replicate(
            RecordTargets(records=(record,)),
            change_name="target removal",
            target=instance,
        )

    def read_configuration(self) -> Result[ConfigurationRead, Unavailable]:
        """Return the newest accepted configuration, as confirmed by the leader."""
        deadline = self._clock.now() + ANSWER_TIMEOUT_SECONDS
        while (remaining := deadline - self._clock.now()) > 0:
            read = self._leader.try_read(remaining)
            if read is not None and read.proved:
                return Ok(read)
            time.sleep(RETRY_DELAY_SECONDS)
        return Err(Unavailable("no leader has proved that its copy is the newest"))

    def record_silent(self, records: tuple[TargetRecord, ...]) -> None:
        """Propose ``records`` of silent targets; a lost proposal is repeated later."""
        self._actor.tell(
            Propose(change=_change_of(RecordTargets(records=records)), reply=Future())
        )

    # Messages from other control hosts

    def on_forwarded(self, sender: str, message: ForwardedChange) -> Future:
        answer: Future = Future()
        try:
            decode(message.change.body)
        except UnknownMessage as error:
            # In the log it would stop every replica that applies it.
            logger.warning("control: dropped a change from {}: {}", sender, error)
            answer.set_result(ForwardedOutcome(outcome=None))
            return answer
        reply: Future = Future()
        reply.add_done_callback(
            lambda done: answer.set_result(
                ForwardedOutcome(outcome=_outcome_or_none(done))
            )
        )
        self._actor.tell(
            Propose(change=message.change, reply=reply, position=message.position)
        )
        return answer

    def on_read(self, sender: str, message: ReadConfiguration) -> Future:
        if message.position_only:
            return self._on_read_position()
        answer: Future = Future()
        reply: Future = Future()

        def deliver(done: Future) -> None:
            proved = done.exception() is None
            answer.set_result(self._configuration_read(proved=proved))

        reply.add_done_callback(deliver)
        self._actor.tell(Read(reply=reply))
        return answer

    def _on_read_position(self) -> Future:
        answer: Future = Future()
        reply: Future = Future()

        def deliver(done: Future) -> None:
            position = done.result() if done.exception() is None else None
            answer.set_result(ConfigurationRead(proved=False, position=position))

        reply.add_done_callback(deliver)
        self._actor.tell(ReadPosition(reply=reply))
        return answer

    # Helpers

    def _replicate(
        self,
        body: Body,
        *,
        change_name: str,
        has_left: HasLeft | None = None,
        **fields: object,
    ) -> Result[None, Unavailable]:
        """Propose ``body`` until it has an outcome or ``ANSWER_TIMEOUT_SECONDS`` pass.

        A proposal that seemed lost may still be applied, after a later change that it
        would undo. Changes that aren't ordered by what they say need ``has_left``: they
        are proposed only while their sender waits, and not after a later one on the
        same matter. All attempts of this call then have the same request id, so that
        only the first one to arrive is applied.
        """
        started = self._clock.now()
        deadline = started + ANSWER_TIMEOUT_SECONDS
        if has_left is None:
            outcome = self._propose(_change_of(body), deadline=deadline)
        else:
            change = _change_of(body, request_id=uuid4().hex)
            outcome = self._propose_in_order(change, has_left, deadline=deadline)
            if outcome is None and has_left():
                return _given_up(change_name, **fields)
        log = logger.bind(
            **fields,
            leader=self._leader.name,
            seconds=round(self._clock.now() - started, 3),
            revision=outcome.revision if outcome else None,
        )
        if outcome is None:
            log.warning("control: {} not confirmed in time.", change_name)
            return Err(Unavailable("no majority has confirmed the change yet"))
        log.info("control: {} accepted.", change_name)
        return Ok(None)

    def _propose(self, change: Change, *, deadline: float) -> Outcome | None:
        while (remaining := deadline - self._clock.now()) > 0:
            outcome = self._leader.try_propose(change, remaining)
            if outcome is not None:
                return outcome
            time.sleep(RETRY_DELAY_SECONDS)
        return None

    def _propose_in_order(
        self, change: Change, has_left: HasLeft, *, deadline: float
    ) -> Outcome | None:
        """Propose an order that must not take effect after a later one of its sender.

        See :mod:`chicoryhold.control.overtaking`.
        """
        time.sleep(DEPARTURE_SECONDS)
        while (remaining := deadline - self._clock.now()) > 0:
            position = self._leader.try_read_position(remaining)
            if has_left():
                return None
            remaining = deadline - self._clock.now()
            if position is not None and remaining > 0:
                outcome = self._leader.try_propose(change, remaining, position=position)
                if outcome is not None:
                    return outcome
            time.sleep(RETRY_DELAY_SECONDS)
        return None

    def _catch_up(self, deadline: float) -> bool:
        """Return once the state here has all that the leader's log had at the call."""
        position: LogPosition | None = None
        while (remaining := deadline - self._clock.now()) > 0:
            if position is None:
                position = self._leader.try_read_position(remaining)
            if position and self._replica.commit_index >= position.index:
                return self._has_applied(deadline - self._clock.now())
            time.sleep(CATCH_UP_POLL_SECONDS)
        return False

    def _has_applied(self, timeout: float) -> bool:
        """Wait until what is committed here is applied; return whether it is."""
        reply: Future = Future()
        self._actor.tell(Sync(reply=reply))
        try:
            reply.result(max(0.0, timeout))
        except FutureTimeout:
            return False
        return True

    def _configuration_read(self, *, proved: bool) -> ConfigurationRead:
        return ConfigurationRead(
            proved=proved,
            version=self._state.configuration.version,
            text=self._state.configuration_text,
        )


def _given_up(change_name: str, **fields: object) -> Result[None, Unavailable]:
    logger.bind(**fields).info("control: {} dropped: its sender has left.", change_name)
    return Err(Unavailable("the sender has given it up"))


def _change_of(body: Body, *, request_id: str = "") -> Change:
    return Change(request_id=request_id, operator="", body=encode(body))


def _outcome_or_none(done: Future) -> Outcome | None:
    return done.result() if done.exception() is None else None


def _as_gone(known: TargetRecord) -> TargetRecord:
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
