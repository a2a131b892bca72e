"""The leader's side of replication: what it sends, and what a majority has stored."""

from __future__ import annotations

from collections.abc import Callable

from chicoryhold.clock import Clock
from chicoryhold.consensus.committed_log import CommittedLog
from chicoryhold.consensus.election_timer import Timing
from chicoryhold.consensus.in_flight import first_that_fit, size_of
from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import (
    UNCONFIRMED_AGE_SECONDS,
    AppendReply,
    AppendRequest,
    Entry,
    SnapshotPieceReply,
    SnapshotPieceRequest,
    SnapshotRequest,
)
from chicoryhold.consensus.progress import MemberProgress, Progress
from chicoryhold.consensus.reply_watch import ReplyWatch
from chicoryhold.consensus.snapshot_transfer import OutgoingSnapshot

MAX_ENTRIES_PER_REQUEST = 256
# Replies to older broadcasts don't count; in minimum election timeouts.
ROUND_LIFETIME_FACTOR = 4


class Leadership:
    """Replicates the log of a replica while it leads, one term after the other.

    ``send`` queues a message to a member. Only the leader calls anything but
    ``start``, ``quorum_acknowledged_at`` and ``match_index_of``.
    """

    def __init__(
        self, *, identity: str, log: Log, committed: CommittedLog, clock: Clock,
        timing: Timing, send: Callable[[str, object], None],
    ) -> None:  # fmt: skip
        self._identity = identity
        self._log = log
        self._committed = committed
        self._clock = clock
        self._timing = timing
        self._send = send
        self._round_lifetime = ROUND_LIFETIME_FACTOR * timing.election
        self._progress = Progress(
            identity=identity, round_lifetime=self._round_lifetime
        )
        self._watch = ReplyWatch(clock=clock, longest_step=timing.heartbeat)
        self._term = 0
        self._since = float("-inf")
        self._heartbeat_due = float("-inf")

    @property
    def has_committed(self) -> bool:
        """Whether an entry of the leader's own term is committed."""
        return self._committed.committed_term == self._term

    @property
    def is_heartbeat_due(self) -> bool:
        return self._clock.now() >= self._heartbeat_due

    @property
    def unconfirmed_seconds(self) -> float:
        """For how long no majority has acknowledged this leader."""
        return self._clock.now() - max(self.quorum_acknowledged_at(), self._since)

    def start(self, term: int) -> None:
        """Begin to lead in ``term``, before the first entry of that term is appended.

        The logs of the others are assumed to match up to here.
        """
        self._term = term
        self._since = self._clock.now()
        self._progress.reset()
        self._watch.restart()
        for member in self._log.members.identities:
            self._progress.of(member, last_index=self._log.last_index)

    def quorum_acknowledged_at(self) -> float:
        """Return the latest time as of which a majority acknowledged this leader."""
        return self._progress.quorum_acknowledged_at(
            self._log.members, now=self._clock.now()
        )

    def confirmed_at(self) -> float:
        """Return the latest time at which the committed state was known to be current.

        Minus infinity until an entry of the leader's own term is committed.
        """
        if not self.has_committed:
            return float("-inf")
        return self.quorum_acknowledged_at()

    def match_index_of(self, identity: str) -> int:
        """Return the highest index up to which a follower's log is known to match."""
        return self._progress.match_index_of(identity)

    def watch_replies(self) -> None:
        """Count the time for which members haven't replied; call this at each tick."""
        self._watch.advance(self._log.members.identities)

    def silent_members(self, *, longer_than: float) -> tuple[str, ...]:
        """Return members that haven't replied for ``longer_than`` seconds.

        The one that has been silent for the longest time comes first.
        """
        silent = [
            member
            for member in self._log.members.identities
            if member != self._identity
            and self._watch.silent_seconds(member) > longer_than
        ]
        return tuple(sorted(silent, key=self._watch.silent_seconds, reverse=True))

    def watched_seconds(self, member: str) -> float:
        """Return for how many seconds of this term ``member`` could have replied."""
        return self._watch.watched_seconds(member)

    def broadcast(self) -> None:
        """Send every member the entries that it lacks, or a heartbeat."""
        now = self._clock.now()
        self._heartbeat_due = now + self._timing.heartbeat
        self._progress.start_round(now)
        for peer in self._log.members.identities:
            if peer != self._identity:
                self._replicate_to(peer, is_heartbeat=True)

    def on_reply(self, reply: AppendReply) -> None:
        """Handle a member's reply in this term."""
        self._watch.record_reply(reply.follower)
        progress = self._progress.record_reply(
            reply, last_index=self._log.last_index, now=self._clock.now()
        )
        behind = True
        if reply.accepted:
            previous_commit = self._committed.commit_index
            self.advance_commit()
            if self._committed.commit_index > previous_commit:
                # Followers serve committed state, so the new commit index is sent now
                # rather than with the next heartbeat.
                self.broadcast()
            behind = progress.next_index <= self._log.last_index
        if behind:
            self._replicate_to(reply.follower)

    def on_piece_reply(self, reply: SnapshotPieceReply) -> None:
        """Handle the reply of a member that gets a snapshot in this term."""
        self._watch.record_reply(reply.follower)
        self._progress.record_piece_reply(
            reply, last_index=self._log.last_index, now=self._clock.now()
        )
        self._replicate_to(reply.follower)

    def advance_commit(self) -> None:
        """Commit what a majority has stored."""
        index = self._progress.quorum_match_index(
            self._log.members, last_index=self._log.last_index
        )
        # Counting replicas commits only entries of the leader's current term. An
        # entry of an earlier term on a majority may still be overwritten (Raft paper,
        # figure 8).
        if (
            index > self._committed.commit_index
            and self._log.term_at(index) == self._term
        ):
            self._committed.commit_to(index)

    def _replicate_to(self, peer: str, *, is_heartbeat: bool = False) -> None:
        """Send entries while there is room for them; a heartbeat is sent without."""
        progress = self._progress.of(peer, last_index=self._log.last_index)
        if self._log.term_at(progress.next_index - 1) is None:
            if progress.has_replied_since(self._clock.now() - self._round_lifetime):
                self._replicate_snapshot(peer, progress, is_heartbeat=is_heartbeat)
                return
            # Its reply to a heartbeat will tell what it lacks, and in which form.
            progress.next_index = self._log.last_index + 1
        progress.outgoing = None
        entries = self._next_entries(progress)
        if not entries and not is_heartbeat:
            return
        self._send_append(peer, progress, entries)
        # Requests are pipelined: the next one starts after these entries. If this one
        # is lost, the follower rejects the next, and its reply limits ``next_index``
        # to what the follower's log can contain.
        progress.next_index += len(entries)
        if entries:
            progress.in_flight.add(
                last_index=entries[-1].index,
                size=size_of(entries),
                at=self._clock.now(),
            )

    def _next_entries(self, progress: MemberProgress) -> tuple[Entry, ...]:
        if not progress.in_flight.has_room:
            return ()
        return first_that_fit(
            self._log.slice(progress.next_index, limit=MAX_ENTRIES_PER_REQUEST)
        )

    def _send_append(
        self, peer: str, progress: MemberProgress, entries: tuple[Entry, ...]
    ) -> None:
        previous = progress.next_index - 1
        request = AppendRequest(
            term=self._term,
            leader=self._identity,
            previous_index=previous,
            previous_term=self._log.term_at(previous),
            entries=entries,
            commit=self._committed.commit_index,
            round=self._progress.round,
            confirmed_age=self._confirmed_age(),
            reply_sent_at=progress.reply_sent_at,
            reply_held=self._clock.now() - progress.reply_handled_at,
        )
        self._send(peer, request)

    def _replicate_snapshot(
        self, peer: str, progress: MemberProgress, *, is_heartbeat: bool
    ) -> None:
        if not progress.takes_pieces:
            self._send_whole_snapshot(peer, progress)
            return
        snapshot, outgoing = self._log.snapshot, progress.outgoing
        if outgoing is None or outgoing.snapshot is not snapshot:
            outgoing = progress.outgoing = OutgoingSnapshot(snapshot=snapshot)
            progress.in_flight.clear()
        if outgoing.is_piece_due:
            self._send_next_piece(peer, progress, outgoing)
        elif is_heartbeat:
            self._send_piece(peer, outgoing, b"")

    def _send_next_piece(
        self, peer: str, progress: MemberProgress, outgoing: OutgoingSnapshot
    ) -> None:
        now = self._clock.now()
        self._progress.start_round(now)
        data = outgoing.next_piece(size=progress.in_flight.window)
        progress.in_flight.add(
            last_index=outgoing.snapshot.index, size=len(data), at=now
        )
        outgoing.record_sending(round=self._progress.round)
        self._send_piece(peer, outgoing, data)

    def _send_piece(self, peer: str, outgoing: OutgoingSnapshot, data: bytes) -> None:
        snapshot = outgoing.snapshot
        request = SnapshotPieceRequest(
            term=self._term,
            leader=self._identity,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            members=snapshot.members,
            offset=outgoing.held,
            total=len(snapshot.data),
            data=data,
            round=self._progress.round,
        )
        self._send(peer, request)

    def _send_whole_snapshot(self, peer: str, progress: MemberProgress) -> None:
        """Send the snapshot; what follows it is sent as if it had arrived."""
        snapshot = self._log.snapshot
        request = SnapshotRequest(
            term=self._term,
            leader=self._identity,
            snapshot=snapshot,
            round=self._progress.round,
        )
        self._send(peer, request)
        progress.next_index = snapshot.index + 1
        progress.in_flight.clear()
        progress.in_flight.add(
            last_index=snapshot.index, size=len(snapshot.data), at=self._clock.now()
        )

    def _confirmed_age(self) -> float:
        return min(self._clock.now() - self.confirmed_at(), UNCONFIRMED_AGE_SECONDS)
