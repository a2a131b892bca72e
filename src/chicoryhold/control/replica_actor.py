"""The actor that runs one control replica: disk, peers, state and followers."""

from __future__ import annotations

import time
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
from chicoryhold.consensus.messages import NEVER_CONFIRMED, Entry
from chicoryhold.consensus.replica import Replica, Role
from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.in_force import InForceReports
from chicoryhold.control.membership import next_members
from chicoryhold.control.messages import (
    FetchChanges,
    FetchImage,
    JoinRequest,
    ReplicaMessage,
    ReplicaStatus,
    ReplicaStatusRequest,
    SourceUnavailable,
)
from chicoryhold.control.pending_fetches import LONGEST_FETCH, PendingFetches
from chicoryhold.control.storage import Storage
from chicoryhold.errors import NotLeader, ResultUnknown
from chicoryhold.hosts.actors import CriticalActor, PeerRequest, Tick
from chicoryhold.hosts.bus import Bus
from chicoryhold.state.changes import Change
from chicoryhold.state.control_state import ControlState

DISK_RETRY_PAUSE = 0.2  # seconds
JOIN_INTERVAL = 1.0
JOIN_MEMORY = 5.0
RESEND_ADVICE = "the outcome is unknown: resend with the same request id"


@attrs.frozen(kw_only=True)
class Propose:
    """Replicate a change; ``reply`` gets its outcome."""

    change: Change
    reply: Future


@attrs.frozen(kw_only=True)
class Read:
    """Give the current control state to ``reply`` once it is proved current."""

    reply: Future
    since: float = attrs.field(default=0.0)


@attrs.frozen(kw_only=True)
class _OpenProposal:
    term: int
    reply: Future


@attrs.frozen(kw_only=True)
class ReplicaPolicy:
    """How a group of control replicas is run.

    ``voter_limit`` keeps further replicas learners; ``silent_seconds`` is how long a
    voter may be silent before a learner takes its place. With ``serves_copies`` a
    replica that doesn't lead answers fetches from its copy, which says how old it
    is. With ``open_membership`` any process may send consensus messages. A fetch
    waits ``longest_fetch`` seconds for news.
    """

    voter_limit: int | None = None
    silent_seconds: float = 10.0
    serves_copies: bool = False
    open_membership: bool = False
    longest_fetch: float = LONGEST_FETCH


class ReplicaActor(CriticalActor):
    """Owns the replica, its storage and the control state.

    ``peers`` names the processes that a replica asks to let it join.
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
        self._storage = storage
        self._state = state
        self._bus = bus
        self._clock = clock
        self._snapshot_every = snapshot_every
        self._feed = ChangeFeed(state=state)
        self._in_force = InForceReports(clock=clock)
        self._applied = replica.commit_index
        self._proposals: dict[int, _OpenProposal] = {}
        self._reads: list[Read] = []
        self._fetches = PendingFetches(
            feed=self._feed, clock=clock, longest=self._policy.longest_fetch
        )
        self._joins: dict[str, float] = {}
        self._join_due = 0.0

    def on_receive(self, message: object) -> None:
        match message:
            case Tick():
                self._tick()
            case Propose():
                self._propose(message)
            case Read():
                since = self._clock.now()
                self._reads.append(attrs.evolve(message, since=since))
            case PeerRequest():
                self._on_asked(message)
        self._run_effects()
        self._answer_reads()
        self._answer_fetches()

    def _tick(self) -> None:
        self._replica.tick()
        self._step_membership()
        self._ask_to_join()

    def _propose(self, request: Propose) -> None:
        try:
            index = self._replica.propose(encode(request.change))
        except NotLeader:
            request.reply.set_exception(self._not_leader())
            return
        term = self._replica.term
        self._proposals[index] = _OpenProposal(term=term, reply=request.reply)

    def _on_asked(self, asked: PeerRequest) -> None:
        match asked.message:
            case ReplicaMessage():
                self._on_replica_message(asked.sender, asked.message)
            case JoinRequest():
                self._on_join(asked.sender, asked.message)
            case FetchChanges():
                self._on_fetch(asked)
            case FetchImage():
                asked.reply.set_result(self._feed.piece(asked.message))
            case ReplicaStatusRequest():
                asked.reply.set_result(self._status())

    def _on_replica_message(self, sender: str, message: ReplicaMessage) -> None:
        known = sender in {name_of(i) for i in self._replica.members.everyone}
        trusted = known or self._policy.open_membership
        fresh = not self._replica.members.voters
        if message.to == self._replica.identity and (trusted or fresh):
            self._replica.receive(decode(message.body))

    def _status(self) -> ReplicaStatus:
        return ReplicaStatus(
            identity=self._replica.identity,
            role=self._replica.role.value,
            term=self._replica.term,
            commit_index=self._replica.commit_index,
            revision=self._state.revision,
            leader=name_of(self._replica.leader or ""),
            voters=self._replica.members.voters,
            learners=self._replica.members.learners,
        )

    # Effects, strictly in order

    def _run_effects(self) -> None:
        while effects := self._replica.take():
            for effect in effects:
                self._run_effect(effect)
        self._compact()

    def _run_effect(self, effect: Effect) -> None:
        match effect:
            case SaveVote(vote=vote):
                self._save(lambda: self._storage.save_vote(vote))
            case SaveEntries(entries=entries):
                self._save(lambda: self._storage.append(entries))
            case SaveSnapshot(snapshot=snapshot):
                self._save(lambda: self._storage.save_snapshot(snapshot, ()))
                self._state.load(snapshot.data)
                self._feed.clear()
                self._applied = snapshot.index
            case Send(to=to, message=message):
                body = encode(message)
                self._bus.tell(name_of(to), ReplicaMessage(to=to, body=body))
            case Apply(entry=entry):
                self._apply(entry)
            case LeadershipLost():
                self._fail_proposals()

    def _apply(self, entry: Entry) -> None:
        self._applied = entry.index
        if not entry.command:
            return
        change = decode(entry.command)
        before = self._state.revision
        outcome = self._state.apply(change)
        if self._state.revision > before:
            self._feed.record(change)
        proposal = self._proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.reply.set_result(outcome)
        else:
            proposal.reply.set_exception(ResultUnknown(RESEND_ADVICE))

    def _fail_proposals(self) -> None:
        logger.warning("control: leadership lost. Open changes have no known outcome.")
        for proposal in self._proposals.values():
            proposal.reply.set_exception(ResultUnknown(RESEND_ADVICE))
        self._proposals.clear()

    def _compact(self) -> None:
        first = self._replica.log.first_index
        if self._applied - first + 1 < self._snapshot_every:
            return
        snapshot = self._replica.compact(index=self._applied, data=self._state.image())
        log = self._replica.log
        remaining = log.slice(log.first_index, limit=log.last_index)
        self._save(lambda: self._storage.save_snapshot(snapshot, remaining))

    def _save(self, action: Callable[[], None]) -> None:
        """Run ``action`` until the disk takes it.

        Nothing that depends on it may be sent before, so this replica stands still
        meanwhile, and the others go on without it.
        """
        failed = False
        while True:
            try:
                action()
                break
            except OSError as error:
                if not failed:
                    logger.bind(reason=str(error)).error(
                        "control: the disk refuses a write. It is tried again."
                    )
                failed = True
                time.sleep(DISK_RETRY_PAUSE)
        if failed:
            logger.info("control: the disk takes writes again.")

    # Followers of the control state

    def _on_fetch(self, asked: PeerRequest) -> None:
        if not self._serves_fetches():
            leader = name_of(self._replica.leader or "")
            asked.reply.set_result(SourceUnavailable(leader=leader))
            return
        self._in_force.record(asked.message.reports)
        self._fetches.add(asked.message, asked.reply)

    def _answer_fetches(self) -> None:
        if self._serves_fetches():
            age = self._clock.now() - self._replica.copy_confirmed_at
            self._fetches.answer_ready(confirmed_age=min(age, NEVER_CONFIRMED))
        else:
            self._fetches.refuse_all()

    def _serves_fetches(self) -> bool:
        return self._replica.role is Role.LEADER or self._policy.serves_copies

    def _answer_reads(self) -> None:
        waiting = []
        for read in self._reads:
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
        self._reads = waiting

    def _not_leader(self) -> NotLeader:
        return NotLeader(leader=name_of(self._replica.leader or "") or None)

    # Membership

    def _on_join(self, sender: str, request: JoinRequest) -> None:
        if sender == name_of(request.identity):
            self._joins[request.identity] = self._clock.now()

    def _step_membership(self) -> None:
        if self._replica.role is not Role.LEADER:
            return
        now = self._clock.now()
        recent = [i for i, heard in self._joins.items() if now - heard < JOIN_MEMORY]
        members = next_members(
            self._replica.members,
            joining=recent,
            caught_up=self._is_caught_up,
            voter_limit=self._policy.voter_limit,
            silent=self._replica.silent_members(
                longer_than=self._policy.silent_seconds
            ),
        )
        if members and self._replica.propose_members(members):
            logger.info("control: membership becomes {}.", members)

    def _is_caught_up(self, identity: str) -> bool:
        return self._replica.match_of(identity) >= self._replica.commit_index

    def _ask_to_join(self) -> None:
        now = self._clock.now()
        is_voter = self._replica.identity in self._replica.members.voters
        if is_voter or now < self._join_due:
            return
        self._join_due = now + JOIN_INTERVAL
        for peer in self._peers():
            if peer != self._bus.name:
                self._bus.tell(peer, JoinRequest(identity=self._replica.identity))


@attrs.frozen(kw_only=True)
class ControlView:
    """What the leader knows, for reading only, proved current when it was given."""

    state: ControlState
    in_force: InForceReports
    status: ReplicaStatus


def name_of(identity: str) -> str:
    """Return the process name in a replica identity."""
    return identity.rpartition(".")[0]
