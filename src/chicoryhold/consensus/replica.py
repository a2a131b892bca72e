"""Raft as a pure class: messages and time in, ordered effects out.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
(2014), with the pre-vote, check-quorum and one-at-a-time membership changes of
Ongaro's dissertation.
"""

from __future__ import annotations

import enum
from random import Random

import attrs

from chicoryhold.clock import Clock
from chicoryhold.consensus.effects import (
    Apply,
    Effect,
    LeadershipLost,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Send,
)
from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import (
    UNCONFIRMED_AGE_SECONDS,
    AppendReply,
    AppendRequest,
    Entry,
    Members,
    Snapshot,
    SnapshotRequest,
    Vote,
    VoteReply,
    VoteRequest,
)
from chicoryhold.errors import NotLeader

ENTRIES_PER_MESSAGE = 256
FIRST_ELECTION = (0.3, 1.0)  # of the election timeout, until a leader was heard
LATER_ELECTION = (1.0, 2.0)  # of the election timeout


class Role(enum.Enum):
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen(kw_only=True)
class Timing:
    """Intervals in seconds. An election timeout is drawn from [1, 2) x the minimum."""

    heartbeat: float = 0.1
    election: float = 0.6


@attrs.define(kw_only=True)
class _Progress:
    """What the leader knows of one follower."""

    next_index: int
    match: int = 0
    acknowledged: float = float("-inf")


class Replica:
    """One member of the replicated log.

    Each public method appends to a list of effects, returned by :meth:`take`. The
    driver must run them in order and finish each save before the next effect: the
    log counts an entry as stored here as soon as its save was requested.
    """

    def __init__(
        self, *, identity: str, log: Log, vote: Vote, clock: Clock, random: Random,
        timing: Timing | None = None,
    ) -> None:  # fmt: skip
        self._identity = identity
        self._log = log
        self._vote = vote
        self._clock = clock
        self._random = random
        self._timing = timing or Timing()
        self._role = Role.FOLLOWER
        self._leader: str | None = None
        self._commit = log.snapshot.index
        self._effects: list[Effect] = []
        self._progress: dict[str, _Progress] = {}
        self._ballots: set[str] = set()
        self._trial = False
        self._round = 0
        self._round_sent: dict[int, float] = {}
        self._heard_leader = float("-inf")
        self._copy_confirmed_at = float("-inf")
        self._leader_since = float("-inf")
        self._heartbeat_due = float("-inf")
        # Nobody may lead after a start of all; a leader that lives stops the campaign
        # by its heartbeat, and the trial vote keeps it from disturbing anyone.
        first = self._timing.election * random.uniform(*FIRST_ELECTION)
        self._election_due = clock.now() + first

    @property
    def identity(self) -> str:
        return self._identity

    @property
    def role(self) -> Role:
        return self._role

    @property
    def term(self) -> int:
        return self._vote.term

    @property
    def leader(self) -> str | None:
        """The identity of the leader that this replica follows, if any."""
        return self._leader

    @property
    def log(self) -> Log:
        return self._log

    @property
    def members(self) -> Members:
        return self._log.members

    @property
    def commit_index(self) -> int:
        return self._commit

    @property
    def confirmed_at(self) -> float:
        """The latest time at which this leader is proved to have been the leader.

        Everything committed by any leader before that time is committed here too.
        Returns minus infinity unless this replica leads and has committed an entry
        of its own term; before that it may not know what earlier leaders committed.
        """
        if self._role is not Role.LEADER:
            return float("-inf")
        if self._log.term_at(self._commit) != self.term:
            return float("-inf")
        return self._quorum_acknowledged()

    @property
    def copy_confirmed_at(self) -> float:
        """When what is committed here was last known to be the newest.

        At a follower it is told by the leader and counted from the arrival of the
        message, so it doesn't notice how long that message was under way.
        """
        if self._role is Role.LEADER:
            return self.confirmed_at
        return self._copy_confirmed_at

    def silent_members(self, *, longer_than: float) -> tuple[str, ...]:
        """Return the members that haven't answered this leader for so many seconds."""
        now = self._clock.now()
        if self._role is not Role.LEADER or now - self._leader_since < longer_than:
            return ()
        return tuple(
            member
            for member in self.members.identities
            if member != self._identity
            and now - self._acknowledged_by(member) > longer_than
        )

    def take_effects(self) -> list[Effect]:
        """Return the effects requested since the last call, oldest first."""
        effects = self._effects
        self._effects = []
        return effects

    def tick(self) -> None:
        """Act on the passing of time; call it several times a heartbeat."""
        now = self._clock.now()
        if self._role is Role.LEADER:
            self._tick_leader(now)
        elif now >= self._election_due:
            self._start_election(trial=True)

    def propose(self, command: bytes) -> int:
        """Append ``command`` and return its index; raises ``NotLeader`` elsewhere."""
        return self._append(Entry(index=0, term=0, command=command))

    def propose_members(self, members: Members) -> int | None:
        """Change the membership by one step, or return ``None`` if one is pending."""
        if self._role is not Role.LEADER:
            raise NotLeader(leader=self._leader)
        own_term_committed = self._log.term_at(self._commit) == self.term
        if self._log.members_index > self._commit or not own_term_committed:
            return None
        changed = set(members.voters) ^ set(self.members.voters)
        if len(changed) > 1:
            raise ValueError(f"voters may change by one, not by {sorted(changed)!r}")
        return self._append(Entry(index=0, term=0, members=members))

    def match_of(self, identity: str) -> int:
        """Return up to which index a follower is known to hold the leader's log."""
        progress = self._progress.get(identity)
        return progress.match if progress else 0

    def compact(self, *, index: int, data: bytes) -> Snapshot:
        """Replace the log up to ``index``, already applied, by a snapshot."""
        term = self._log.term_at(index)
        if term is None or index > self._commit:
            raise ValueError(f"index {index} is not committed in this log")
        members = self._members_at(index)
        snapshot = Snapshot(index=index, term=term, members=members, data=data)
        self._log.compact(snapshot)
        return snapshot

    def receive(self, message: object) -> None:
        """Act on a message from another replica."""
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

    # Elections

    def _start_election(self, *, trial: bool) -> None:
        self._postpone_election()
        if self._identity not in self.members.voters:
            return
        self._role = Role.CANDIDATE
        self._leader = None
        self._trial = trial
        self._ballots = {self._identity}
        term = self.term + 1
        if not trial:
            self._save_vote(Vote(term=term, candidate=self._identity))
        for voter in self._other_voters():
            request = VoteRequest(
                term=term,
                candidate=self._identity,
                last_index=self._log.last_index,
                last_term=self._log.last_term,
                trial=trial,
            )
            self._send(voter, request)
        self._count_ballots()

    def _on_vote_request(self, request: VoteRequest) -> None:
        if not request.trial and self._hears_a_leader():
            # A candidate that was cut off must not depose a leader that works.
            return
        if not request.trial and request.term > self.term:
            self._become_follower(request.term, leader=None)
        granted = self._would_grant(request)
        if granted and not request.trial:
            self._postpone_election()
            self._save_vote(Vote(term=request.term, candidate=request.candidate))
        term = request.term if granted else self.term
        reply = VoteReply(
            term=term, voter=self._identity, granted=granted, trial=request.trial
        )
        self._send(request.candidate, reply)

    def _would_grant(self, request: VoteRequest) -> bool:
        ours = (self._log.last_term, self._log.last_index)
        if (request.last_term, request.last_index) < ours:
            return False
        if request.trial:
            return request.term > self.term and not self._hears_a_leader()
        free = self._vote.candidate in (None, request.candidate)
        return request.term == self.term and free

    def _on_vote_reply(self, reply: VoteReply) -> None:
        if not reply.granted and reply.term > self.term:
            self._become_follower(reply.term, leader=None)
            return
        if self._role is not Role.CANDIDATE or reply.trial != self._trial:
            return
        expected = self.term + 1 if reply.trial else self.term
        if reply.granted and reply.term == expected:
            self._ballots.add(reply.voter)
            self._count_ballots()

    def _count_ballots(self) -> None:
        votes = self._ballots & set(self.members.voters)
        if len(votes) < self.members.majority:
            return
        if self._trial:
            self._start_election(trial=False)
        else:
            self._become_leader()

    def _become_leader(self) -> None:
        now = self._clock.now()
        self._role = Role.LEADER
        self._leader = self._identity
        self._leader_since = now
        self._round_sent = {}
        self._progress = {}
        # An entry of the new term lets earlier entries be committed at once.
        self._append(Entry(index=0, term=0))

    def _become_follower(self, term: int, *, leader: str | None) -> None:
        if self._role is Role.LEADER:
            self._effects.append(LeadershipLost())
        self._role = Role.FOLLOWER
        self._leader = leader
        if term > self.term:
            self._save_vote(Vote(term=term))
        self._postpone_election()

    @property
    def _has_heard_leader(self) -> bool:
        return self._role is Role.LEADER or self._heard_leader > float("-inf")

    def _hears_a_leader(self) -> bool:
        now = self._clock.now()
        if self._role is Role.LEADER:
            return self._quorum_acknowledged() > now - self._timing.election
        return now - self._heard_leader < self._timing.election

    def _postpone_election(self) -> None:
        # After a start of all, no leader is disturbed by trying again soon, and a
        # split vote would cost everybody a timeout or two.
        span = LATER_ELECTION if self._has_heard_leader else FIRST_ELECTION
        wait = self._timing.election * self._random.uniform(*span)
        self._election_due = self._clock.now() + wait

    # Replication by the leader

    def _tick_leader(self, now: float) -> None:
        silent = now - max(self._quorum_acknowledged(), self._leader_since)
        if silent > 2 * self._timing.election:
            self._become_follower(self.term, leader=None)
            return
        if now >= self._heartbeat_due:
            self._broadcast()

    def _append(self, entry: Entry) -> int:
        if self._role is not Role.LEADER:
            raise NotLeader(leader=self._leader)
        index = self._log.last_index + 1
        self._store([attrs.evolve(entry, index=index, term=self.term)])
        self._broadcast()
        self._advance_commit()
        return index

    def _broadcast(self) -> None:
        now = self._clock.now()
        self._heartbeat_due = now + self._timing.heartbeat
        self._round += 1
        self._round_sent[self._round] = now
        oldest = now - 4 * self._timing.election
        self._round_sent = {
            number: sent for number, sent in self._round_sent.items() if sent > oldest
        }
        for peer in self.members.identities:
            if peer != self._identity:
                self._replicate_to(peer)

    def _replicate_to(self, peer: str) -> None:
        progress = self._progress_of(peer)
        previous = progress.next_index - 1
        previous_term = self._log.term_at(previous)
        if previous_term is None:
            self._send_snapshot(peer)
            return
        entries = self._log.slice(progress.next_index, limit=ENTRIES_PER_MESSAGE)
        request = AppendRequest(
            term=self.term,
            leader=self._identity,
            previous_index=previous,
            previous_term=previous_term,
            entries=entries,
            commit=self._commit,
            round=self._round,
            confirmed_age=self._confirmed_age(),
        )
        # Later messages go on where this one ends; if it is lost, the follower
        # refuses the next one and says where it stands.
        progress.next_index += len(entries)
        self._send(peer, request)

    def _confirmed_age(self) -> float:
        return min(self._clock.now() - self.confirmed_at, UNCONFIRMED_AGE_SECONDS)

    def _send_snapshot(self, peer: str) -> None:
        request = SnapshotRequest(
            term=self.term,
            leader=self._identity,
            snapshot=self._log.snapshot,
            round=self._round,
        )
        self._send(peer, request)

    def _on_append_reply(self, reply: AppendReply) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, leader=None)
            return
        if self._role is not Role.LEADER or reply.term < self.term:
            return
        progress = self._progress_of(reply.follower)
        sent = self._round_sent.get(reply.round, float("-inf"))
        progress.acknowledged = max(progress.acknowledged, sent)
        if reply.accepted:
            progress.match = max(progress.match, reply.match)
            progress.next_index = max(progress.next_index, reply.match + 1)
            committed = self._commit
            self._advance_commit()
            if self._commit > committed:
                # Followers serve what is committed, so they hear of it at once.
                self._broadcast()
            behind = progress.next_index <= self._log.last_index
        else:
            progress.next_index = max(1, min(progress.next_index - 1, reply.match + 1))
            behind = True
        if behind and self._role is Role.LEADER:
            self._replicate_to(reply.follower)

    def _advance_commit(self) -> None:
        matches = [
            self._log.last_index if voter == self._identity else self.match_of(voter)
            for voter in self.members.voters
        ]
        matches.sort(reverse=True)
        index = matches[self.members.majority - 1]
        # Only entries of the own term are committed by counting (Raft, figure 8).
        if index > self._commit and self._log.term_at(index) == self.term:
            self._commit_to(index)

    def _quorum_acknowledged(self) -> float:
        now = self._clock.now()
        times = [
            now if voter == self._identity else self._acknowledged_by(voter)
            for voter in self.members.voters
        ]
        times.sort(reverse=True)
        return times[self.members.majority - 1]

    def _acknowledged_by(self, voter: str) -> float:
        progress = self._progress.get(voter)
        return progress.acknowledged if progress else float("-inf")

    def _progress_of(self, peer: str) -> _Progress:
        progress = self._progress.get(peer)
        if progress is None:
            progress = _Progress(next_index=self._log.last_index + 1)
            self._progress[peer] = progress
        return progress

    # Replication at a follower

    def _on_append(self, request: AppendRequest) -> None:
        if not self._accept_leader(request.term, request.leader):
            self._reply_append(request.leader, False, self._log.last_index, 0)
            return
        held = self._log.term_at(request.previous_index)
        if request.previous_index < self._log.snapshot.index:
            # All of it up to the snapshot is committed, so it matches.
            match = self._log.snapshot.index
            self._reply_append(request.leader, True, match, request.round)
            return
        if held != request.previous_term:
            match = min(self._log.last_index, request.previous_index - 1)
            self._reply_append(request.leader, False, match, request.round)
            return
        self._store_missing(request.entries)
        match = request.previous_index + len(request.entries)
        self._commit_to(min(request.commit, match))
        if request.commit <= match and request.confirmed_age < UNCONFIRMED_AGE_SECONDS:
            at = self._clock.now() - request.confirmed_age
            self._copy_confirmed_at = max(self._copy_confirmed_at, at)
        self._reply_append(request.leader, True, match, request.round)

    def _store_missing(self, entries: tuple[Entry, ...]) -> None:
        for position, entry in enumerate(entries):
            if self._log.term_at(entry.index) != entry.term:
                self._store(entries[position:])
                return

    def _on_snapshot(self, request: SnapshotRequest) -> None:
        if not self._accept_leader(request.term, request.leader):
            self._reply_append(request.leader, False, self._log.last_index, 0)
            return
        snapshot = request.snapshot
        if snapshot.index > self._commit:
            self._log.compact(snapshot)
            self._commit = snapshot.index
            self._effects.append(SaveSnapshot(snapshot=snapshot))
        self._reply_append(request.leader, True, snapshot.index, request.round)

    def _accept_leader(self, term: int, leader: str) -> bool:
        if term < self.term:
            return False
        if term > self.term or self._role is not Role.FOLLOWER:
            self._become_follower(term, leader=leader)
        self._leader = leader
        self._heard_leader = self._clock.now()
        self._postpone_election()
        return True

    def _reply_append(self, to: str, accepted: bool, match: int, round: int) -> None:
        reply = AppendReply(
            term=self.term,
            follower=self._identity,
            accepted=accepted,
            match=match,
            round=round,
        )
        self._send(to, reply)

    # Shared steps

    def _store(self, entries: tuple[Entry, ...] | list[Entry]) -> None:
        self._log.write(entries)
        self._effects.append(SaveEntries(entries=tuple(entries)))

    def _commit_to(self, index: int) -> None:
        while self._commit < index:
            self._commit += 1
            self._effects.append(Apply(entry=self._log.entry(self._commit)))

    def _members_at(self, index: int) -> Members:
        for position in range(index, self._log.snapshot.index, -1):
            members = self._log.entry(position).members
            if members is not None:
                return members
        return self._log.snapshot.members

    def _save_vote(self, vote: Vote) -> None:
        self._vote = vote
        self._effects.append(SaveVote(vote=vote))

    def _send(self, to: str, message: object) -> None:
        self._effects.append(Send(to=to, message=message))

    def _other_voters(self) -> list[str]:
        return [voter for voter in self.members.voters if voter != self._identity]
