"""Raft without I/O: takes messages and clock ticks, returns ordered effects.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
(2014), with pre-vote, check-quorum and single-server membership changes from
Ongaro's dissertation.
"""

from __future__ import annotations

import enum
from random import Random

import attrs

from chicoryhold.clock import Clock
from chicoryhold.consensus.committed_log import CommittedLog
from chicoryhold.consensus.effects import Effect, LeadershipLost, Send
from chicoryhold.consensus.election import Election
from chicoryhold.consensus.election_timer import LateTicks, Timing
from chicoryhold.consensus.followership import Followership, LeaderRequest
from chicoryhold.consensus.leadership import Leadership
from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    Members,
    Snapshot,
    SnapshotPieceReply,
    SnapshotPieceRequest,
    SnapshotRequest,
    Vote,
    VoteReply,
    VoteRequest,
)
from chicoryhold.errors import NotLeader


class Role(enum.Enum):
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Replica:
    """One member of a Raft group.

    Public methods queue effects, which :meth:`take_effects` returns. The driver must
    run them in order and finish each save before the next effect: the replica counts
    an entry as stored as soon as it has requested the save.
    """

    def __init__(
        self, *, identity: str, log: Log, vote: Vote, clock: Clock, random: Random,
        timing: Timing | None = None,
    ) -> None:  # fmt: skip
        self._identity = identity
        self._log = log
        self._clock = clock
        self._timing = timing or Timing()
        self._role = Role.FOLLOWER
        self._leader: str | None = None
        self._effects: list[Effect] = []
        self._committed = CommittedLog(log=log, request=self._request)
        self._leadership = Leadership(
            identity=identity,
            log=log,
            committed=self._committed,
            clock=clock,
            timing=self._timing,
            send=self._send,
        )
        self._election = Election(
            identity=identity,
            log=log,
            vote=vote,
            clock=clock,
            random=random,
            timing=self._timing,
            request=self._request,
        )
        self._followership = Followership(
            identity=identity,
            log=log,
            committed=self._committed,
            clock=clock,
            term=lambda: self.term,
            send=self._send,
        )
        self._applied_confirmed_at = float("-inf")
        self._late_ticks = LateTicks(
            clock=clock, longest_interval=self._timing.heartbeat
        )

    @property
    def identity(self) -> str:
        return self._identity

    @property
    def role(self) -> Role:
        return self._role

    @property
    def term(self) -> int:
        return self._election.term

    @property
    def leader(self) -> str | None:
        """The identity of the leader that this replica follows, if any."""
        return self._leader

    @property
    def unheard_seconds(self) -> float:
        """Seconds since the last message of a leader was handled here."""
        return self._election.unheard_seconds

    @property
    def log(self) -> Log:
        return self._log

    @property
    def members(self) -> Members:
        return self._log.members

    @property
    def commit_index(self) -> int:
        return self._committed.commit_index

    @property
    def confirmed_at(self) -> float:
        """The latest time at which a majority confirmed this replica as the leader.

        Everything committed by any leader before that time is committed here too.
        Minus infinity unless this replica leads and has committed an entry of its own
        term; before that it may not know everything that earlier leaders committed.
        """
        if self._role is not Role.LEADER:
            return float("-inf")
        return self._leadership.confirmed_at()

    @property
    def copy_confirmed_at(self) -> float:
        """The latest time at which the committed state here was known to be current."""
        return max(self.confirmed_at, self._followership.copy_confirmed_at)

    @property
    def applied_confirmed_at(self) -> float:
        """The latest time at which the state that is applied was known to be current.

        Other threads than the driver's decide by this one: what is committed may not be
        applied yet.
        """
        return self._applied_confirmed_at

    def silent_members(self, *, longer_than: float) -> tuple[str, ...]:
        """Return members that haven't replied for ``longer_than`` seconds.

        Empty unless this replica has been the leader for that long. Time in which it
        didn't run doesn't count.
        """
        if self._role is not Role.LEADER:
            return ()
        return self._leadership.silent_members(longer_than=longer_than)

    def watched_seconds(self, member: str) -> float:
        """Return for how many seconds ``member`` could have replied to this leader."""
        if self._role is not Role.LEADER:
            return 0.0
        return self._leadership.watched_seconds(member)

    def take_effects(self) -> list[Effect]:
        """Return the effects requested since the last call, oldest first.

        The driver has run those that earlier calls returned.
        """
        effects = self._effects
        self._effects = []
        if not effects:
            self._applied_confirmed_at = self.copy_confirmed_at
        return effects

    def tick(self) -> None:
        """Handle timeouts; call this several times per heartbeat interval."""
        is_late = self._late_ticks.is_late()
        if self._role is Role.LEADER:
            self._tick_leader(is_late=is_late)
        elif self._election.is_due:
            if not is_late:
                self._campaign(pre_vote=True)
        elif self._role is Role.CANDIDATE and self._election.is_request_due:
            self._election.request_votes()

    def propose(self, command: bytes) -> int:
        """Append ``command`` and return its index.

        Raises ``NotLeader`` if this replica isn't the leader.
        """
        return self._append(Entry(index=0, term=0, command=command))

    def propose_members(self, members: Members) -> int | None:
        """Append a membership change and return its index.

        Returns ``None`` while an earlier change is uncommitted, or until an entry of
        the current term is committed. Raises ``ValueError`` if more than one voter
        would change.
        """
        if self._role is not Role.LEADER:
            raise NotLeader(leader=self._leader)
        has_pending_change = self._log.members_index > self._committed.commit_index
        if has_pending_change or not self._leadership.has_committed:
            return None
        changed = set(members.voters) ^ set(self.members.voters)
        if len(changed) > 1:
            raise ValueError(f"voters may change by one, not by {sorted(changed)!r}")
        return self._append(Entry(index=0, term=0, members=members))

    def match_index_of(self, identity: str) -> int:
        """Return the highest index up to which a follower's log is known to match."""
        return self._leadership.match_index_of(identity)

    def compact(self, *, index: int, data: bytes) -> Snapshot:
        """Replace the log up to ``index`` by a snapshot with ``data``.

        ``data`` must be the state after the entry at ``index`` was applied.
        """
        return self._committed.compact(index=index, data=data)

    def receive(self, message: object) -> None:
        """Handle a message from another replica."""
        match message:
            case VoteRequest():
                self._on_vote_request(message)
            case VoteReply():
                self._on_vote_reply(message)
            case AppendRequest():
                self._on_append(message)
            case AppendReply():
                self._on_append_reply(message)
            case SnapshotRequest():
                self._on_snapshot(message)
            case SnapshotPieceRequest():
                self._on_snapshot_piece(message)
            case SnapshotPieceReply():
                self._on_snapshot_piece_reply(message)

    # Elections

    def _campaign(self, *, pre_vote: bool) -> None:
        self._election.reset_timeout()
        if self._identity not in self.members.voters:
            return
        self._role = Role.CANDIDATE
        self._leader = None
        self._election.campaign(pre_vote=pre_vote)
        self._proceed_with_majority()

    def _on_vote_request(self, request: VoteRequest) -> None:
        has_leader = self._has_leader()
        if not request.trial and has_leader:
            # A candidate that returns from a network partition must not depose a
            # functioning leader.
            return
        if not request.trial and request.term > self.term:
            self._become_follower(request.term, leader=None)
        granted = self._election.reply_to(request, has_leader=has_leader)
        is_pre_candidate = self._role is Role.CANDIDATE and self._election.is_pre_vote
        if granted and is_pre_candidate and self._election.yields_to(request):
            self._become_follower(self.term, leader=None)

    def _on_vote_reply(self, reply: VoteReply) -> None:
        if not reply.granted and reply.term > self.term:
            self._become_follower(reply.term, leader=None)
        elif self._role is Role.CANDIDATE and self._election.record_vote(reply):
            self._proceed_with_majority()

    def _proceed_with_majority(self) -> None:
        """After a majority: request votes if it was a pre-vote, otherwise lead."""
        if not self._election.has_majority:
            return
        if self._election.is_pre_vote:
            self._campaign(pre_vote=False)
        else:
            self._become_leader()

    def _become_leader(self) -> None:
        self._role = Role.LEADER
        self._leader = self._identity
        self._leadership.start(self.term)
        # Entries of earlier terms are committed only through an entry of this term,
        # so append one without waiting for a proposal.
        self._append(Entry(index=0, term=0))

    def _become_follower(self, term: int, *, leader: str | None) -> None:
        if self._role is Role.LEADER:
            self._followership.confirm_copy(self.confirmed_at)
            self._request(LeadershipLost())
        self._role = Role.FOLLOWER
        self._leader = leader
        if term > self.term:
            self._election.enter_term(term)
        self._election.reset_timeout()

    def _has_leader(self) -> bool:
        """Whether there is a functioning leader, as far as this replica knows."""
        if self._role is not Role.LEADER:
            return self._election.has_recent_leader
        acknowledged_at = self._leadership.quorum_acknowledged_at()
        return acknowledged_at > self._clock.now() - self._timing.election

    # Replication by the leader

    def _tick_leader(self, *, is_late: bool) -> None:
        self._leadership.watch_replies()
        is_unconfirmed = (
            self._leadership.unconfirmed_seconds > 2 * self._timing.election
        )
        if is_unconfirmed and not is_late:
            self._become_follower(self.term, leader=None)
        elif self._leadership.is_heartbeat_due:
            self._leadership.broadcast()

    def _append(self, entry: Entry) -> int:
        if self._role is not Role.LEADER:
            raise NotLeader(leader=self._leader)
        index = self._log.last_index + 1
        self._committed.store([attrs.evolve(entry, index=index, term=self.term)])
        self._leadership.broadcast()
        self._leadership.advance_commit()
        self._committed.apply()
        return index

    def _on_append_reply(self, reply: AppendReply) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, leader=None)
        elif self._role is Role.LEADER and reply.term == self.term:
            self._leadership.on_reply(reply)
            self._committed.apply()

    def _on_snapshot_piece_reply(self, reply: SnapshotPieceReply) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, leader=None)
        elif self._role is Role.LEADER and reply.term == self.term:
            self._leadership.on_piece_reply(reply)

    # Replication at a follower

    def _on_append(self, request: AppendRequest) -> None:
        if self._accept_leader(request):
            self._followership.on_append(request)
            self._committed.apply()

    def _on_snapshot(self, request: SnapshotRequest) -> None:
        if self._accept_leader(request):
            self._followership.on_snapshot(request)

    def _on_snapshot_piece(self, request: SnapshotPieceRequest) -> None:
        if self._accept_leader(request):
            self._followership.on_piece(request)

    def _accept_leader(self, request: LeaderRequest) -> bool:
        """Follow the sender of ``request``, unless its term has ended."""
        if request.term < self.term:
            self._followership.reject(request)
            return False
        if request.term > self.term or self._role is not Role.FOLLOWER:
            self._become_follower(request.term, leader=request.leader)
        self._leader = request.leader
        self._election.record_leader_contact()
        return True

    # Helpers

    def _send(self, to: str, message: object) -> None:
        self._request(Send(to=to, message=message))

    def _request(self, effect: Effect) -> None:
        self._effects.append(effect)
