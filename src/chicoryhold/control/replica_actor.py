"""The actor that runs one control replica: storage, messages and control state."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from concurrent.futures import Future

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.codec import decode, encode
from chicoryhold.consensus.effects import (
    Apply,
    Effect,
    LeadershipLost,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Send,
)
from chicoryhold.consensus.in_flight import size_of
from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS, Entry, LogPosition
from chicoryhold.consensus.replica import Replica, Role
from chicoryhold.control.disk_writer import DiskWriter
from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.in_force import InForceReports
from chicoryhold.control.membership_keeper import MembershipKeeper
from chicoryhold.control.messages import (
    FetchChanges,
    FetchImage,
    ImagePiece,
    JoinRequest,
    ReplicaMessage,
    ReplicaStatus,
    ReplicaStatusRequest,
    SourceUnavailable,
)
from chicoryhold.control.overtaking import is_overtaken
from chicoryhold.control.pending_fetches import PendingFetches
from chicoryhold.control.replica_policy import ReplicaPolicy
from chicoryhold.control.replica_requests import (
    ControlView,
    Propose,
    Read,
    ReadPosition,
    Sync,
    process_name,
)
from chicoryhold.control.storage import Storage
from chicoryhold.errors import (
    NotEncodable,
    NotLeader,
    OrderOvertaken,
    ResultUnknown,
    UnknownMessage,
)
from chicoryhold.hosts.actors import CriticalActor, PeerRequest, Tick
from chicoryhold.hosts.bus import Bus
from chicoryhold.state.control_state import ControlState

JOIN_INTERVAL_SECONDS = 1.0
# A snapshot is taken once the log has so many bytes, and this many times its own size.
SNAPSHOT_EVERY_BYTES = 4_194_304
SNAPSHOT_SIZE_FACTOR = 2
RESEND_ADVICE = "the outcome is unknown: resend with the same request id"


@attrs.frozen(kw_only=True)
class _PendingProposal:
    term: int
    reply: Future


class ReplicaActor(CriticalActor):
    """Owns the replica, its storage and the control state.

    ``peers`` returns the names of the processes to which a replica that isn't a voter
    sends its join requests. A snapshot is taken once the log has ``snapshot_every``
    entries, or many bytes, that it would replace.
    """

    def __init__(
        self, *, replica: Replica, storage: Storage, state: ControlState, bus: Bus,
        clock: Clock, snapshot_every: int, peers: Callable[[], Iterable[str]],
        policy: ReplicaPolicy | None = None,
    ) -> None:  # fmt: skip
        super().__init__()
        self._peers = peers
        self._policy = policy or ReplicaPolicy()
        self._replica = replica
        self._disk = DiskWriter(storage=storage, clock=clock)
        self._state = state
        self._bus = bus
        self._clock = clock
        self._snapshot_every = snapshot_every
        self._feed = ChangeFeed(state=state)
        self._in_force = InForceReports(clock=clock)
        self._applied_index = replica.commit_index
        self._pending_proposals: dict[int, _PendingProposal] = {}
        self._pending_reads: list[Read] = []
        self._pending_fetches = PendingFetches(
            feed=self._feed, clock=clock, max_wait=self._policy.max_fetch_wait
        )
        self._membership = MembershipKeeper(
            replica=replica, clock=clock, policy=self._policy
        )
        self._join_due_at = 0.0
        self._logged_role: tuple[Role, str | None] = (Role.FOLLOWER, None)

    def on_receive(self, message: object) -> None:
        match message:
            case Tick():
                self._tick()
            case Propose():
                self._propose(message)
            case Read():
                since = self._clock.now()
                self._pending_reads.append(attrs.evolve(message, since=since))
            case ReadPosition():
                self._read_position(message)
            case PeerRequest():
                self._on_request(message)
        self._run_effects()
        if isinstance(message, Sync):
            message.reply.set_result(None)
        self._log_role()
        self._answer_reads()
        self._answer_fetches()

    def _log_role(self) -> None:
        """Log each change of the role, and of the leader that the replica knows."""
        replica = self._replica
        known = (replica.role, replica.leader)
        if known == self._logged_role:
            return
        self._logged_role = known
        if replica.role is Role.LEADER:
            self._in_force.restart()
        logger.bind(
            role=replica.role.value,
            leader=process_name(replica.leader or ""),
            term=replica.term,
            commit=replica.commit_index,
            last=replica.log.last_index,
            unheard=round(min(replica.unheard_seconds, UNCONFIRMED_AGE_SECONDS), 3),
        ).info("control: the role or the leader has changed.")

    def _tick(self) -> None:
        self._replica.tick()
        self._membership.update()
        self._ask_to_join()

    def _propose(self, request: Propose) -> None:
        if self._is_overtaken(request):
            request.reply.set_exception(OrderOvertaken())
            return
        try:
            index = self._replica.propose(encode(request.change))
        except NotLeader:
            request.reply.set_exception(self._not_leader())
            return
        except NotEncodable as error:
            logger.warning("control: a change was refused: {}.", error)
            request.reply.set_exception(error)
            return
        term = self._replica.term
        self._pending_proposals[index] = _PendingProposal(
            term=term, reply=request.reply
        )

    def _read_position(self, request: ReadPosition) -> None:
        replica = self._replica
        if replica.role is not Role.LEADER:
            request.reply.set_exception(self._not_leader())
            return
        request.reply.set_result(
            LogPosition(term=replica.term, index=replica.log.last_index)
        )

    def _is_overtaken(self, request: Propose) -> bool:
        if request.position is None or self._replica.role is not Role.LEADER:
            return False
        return is_overtaken(
            request.change,
            request.position,
            log=self._replica.log,
            term=self._replica.term,
        )

    def _on_request(self, received: PeerRequest) -> None:
        match received.message:
            case ReplicaMessage():
                self._on_replica_message(received.sender, received.message)
            case JoinRequest():
                self._on_join_request(received.sender, received.message)
            case FetchChanges():
                self._on_fetch(received)
            case FetchImage():
                received.reply.set_result(self._piece(received.message))
            case ReplicaStatusRequest():
                received.reply.set_result(self._status())

    def _on_replica_message(self, sender: str, message: ReplicaMessage) -> None:
        is_member = sender in {
            process_name(i) for i in self._replica.members.identities
        }
        trusted = is_member or self._policy.accept_any_sender
        # A replica that hasn't joined yet doesn't know the members.
        has_no_members = not self._replica.members.voters
        if message.to != self._replica.identity or not (trusted or has_no_members):
            return
        try:
            body = decode(message.body)
        except UnknownMessage as error:
            logger.warning("control: dropped a message from {}: {}", sender, error)
            return
        self._replica.receive(body)

    def _status(self) -> ReplicaStatus:
        return ReplicaStatus(
            identity=self._replica.identity,
            role=self._replica.role.value,
            term=self._replica.term,
            commit_index=self._replica.commit_index,
            revision=self._state.revision,
            leader=process_name(self._replica.leader or ""),
            voters=self._replica.members.voters,
            learners=self._replica.members.learners,
        )

    # Effects, run in the order in which the replica requested them

    def _run_effects(self) -> None:
        while effects := self._replica.take_effects():
            for effect in effects:
                self._run_effect(effect)
        self._compact()

    def _run_effect(self, effect: Effect) -> None:
        match effect:
            case SaveVote(vote=vote):
                self._disk.write(lambda disk: disk.save_vote(vote))
            case SaveEntries(entries=entries):
                self._disk.write(lambda disk: disk.append(entries))
            case SaveSnapshot(snapshot=snapshot, remaining=remaining):
                self._disk.write(lambda disk: disk.save_snapshot(snapshot, remaining))
                self._state.load(snapshot.data)
                self._feed.clear()
                self._applied_index = snapshot.index
            case Send(to=to, message=message):
                body = encode(message)
                self._bus.tell(process_name(to), ReplicaMessage(to=to, body=body))
            case Apply(entry=entry):
                self._apply(entry)
            case LeadershipLost():
                self._fail_proposals()

    def _apply(self, entry: Entry) -> None:
        self._applied_index = entry.index
        if entry.members is not None:
            self._membership.update()  # the next change needn't wait for a tick
        if not entry.command:
            return
        change = decode(entry.command)
        previous_revision = self._state.revision
        outcome = self._state.apply(change)
        if self._state.revision > previous_revision:
            self._feed.record(change)
        proposal = self._pending_proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.reply.set_result(outcome)
        else:
            proposal.reply.set_exception(ResultUnknown(RESEND_ADVICE))

    def _fail_proposals(self) -> None:
        logger.warning(
            "control: leadership lost; the outcome of pending changes is unknown."
        )
        for proposal in self._pending_proposals.values():
            proposal.reply.set_exception(ResultUnknown(RESEND_ADVICE))
        self._pending_proposals.clear()

    def _compact(self) -> None:
        if not self._is_snapshot_due():
            return
        log = self._replica.log
        snapshot = self._replica.compact(
            index=self._applied_index, data=self._state.image()
        )
        remaining = log.slice(log.first_index, limit=log.last_index)
        self._disk.write(lambda disk: disk.save_snapshot(snapshot, remaining))

    def _is_snapshot_due(self) -> bool:
        log = self._replica.log
        if self._applied_index - log.snapshot.index >= self._snapshot_every:
            return True
        limit = max(SNAPSHOT_EVERY_BYTES, SNAPSHOT_SIZE_FACTOR * len(log.snapshot.data))
        if self._applied_index == log.snapshot.index or self._disk.log_bytes < limit:
            return False
        remaining = log.slice(self._applied_index + 1, limit=log.last_index)
        return self._disk.log_bytes - size_of(remaining) >= limit

    # Fetches and reads

    def _on_fetch(self, received: PeerRequest) -> None:
        if not self._serves_fetches():
            leader = process_name(self._replica.leader or "")
            received.reply.set_result(SourceUnavailable(leader=leader))
            return
        self._in_force.record(received.message.reports)
        self._pending_fetches.add(received.message, received.reply)

    def _piece(self, request: FetchImage) -> ImagePiece:
        return self._feed.piece(
            request,
            confirmed_at=self._replica.copy_confirmed_at,
            now=self._clock.now(),
        )

    def _answer_fetches(self) -> None:
        if self._serves_fetches():
            age = self._clock.now() - self._replica.copy_confirmed_at
            self._pending_fetches.answer_ready(
                confirmed_age=min(age, UNCONFIRMED_AGE_SECONDS)
            )
        else:
            self._pending_fetches.refuse_all()

    def _serves_fetches(self) -> bool:
        return self._replica.role is Role.LEADER or self._policy.followers_serve_fetches

    def _answer_reads(self) -> None:
        waiting = []
        for read in self._pending_reads:
            if self._replica.role is not Role.LEADER:
                read.reply.set_exception(self._not_leader())
            elif self._replica.confirmed_at >= read.since:
                view = ControlView(
                    state=self._state,
                    in_force=self._in_force,
                    status=self._status(),
                )
                read.reply.set_result(view)
            else:
                waiting.append(read)
        self._pending_reads = waiting

    def _not_leader(self) -> NotLeader:
        return NotLeader(leader=process_name(self._replica.leader or "") or None)

    # Membership

    def _on_join_request(self, sender: str, request: JoinRequest) -> None:
        """Note the request; if it is the replica's own, pass it on to the leader.

        A new replica may know few others, and none that leads.
        """
        self._membership.record_join(sender, request)
        leader = process_name(self._replica.leader or "")
        is_own = sender == process_name(request.identity)
        if is_own and leader not in ("", self._bus.name):
            self._bus.tell(leader, request)

    def _ask_to_join(self) -> None:
        now = self._clock.now()
        is_voter = self._replica.identity in self._replica.members.voters
        if is_voter or now < self._join_due_at:
            return
        self._join_due_at = now + JOIN_INTERVAL_SECONDS
        for peer in self._peers():
            if peer != self._bus.name:
                self._bus.tell(peer, JoinRequest(identity=self._replica.identity))
